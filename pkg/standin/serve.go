package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// StandIn is what a stand-in shows to the process that serves it.
type StandIn interface {
	// Handler returns the protocol of the stand-in and its control paths.
	Handler() http.Handler
}

const (
	// sendBuffer is the send buffer of a connection, in bytes; it is small so that a slow reader is felt.
	sendBuffer = 16 << 10
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
)

// Serve listens on the address, writes {"Listening": address} as a line of JSON to out and serves until ctx ends.
func Serve(ctx context.Context, address string, s StandIn, out io.Writer) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if l, ok := s.(interface {
		Listener(net.Listener) net.Listener
	}); ok {
		ln = l.Listener(ln)
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ConnContext: shrinkBuffer}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	ready := struct{ Listening string }{ln.Addr().String()}
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return err
	}
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func shrinkBuffer(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	return ctx
}

// number returns a query parameter that is a whole number, or the fallback.
func number(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}
