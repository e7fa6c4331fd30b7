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

// StandIn is a stand-in that Serve can run.
type StandIn interface {
	// Handler serves the protocol of the stand-in and its control endpoints.
	Handler() http.Handler
}

const (
	// sendBufferBytes is the send buffer of a connection; it is small, so that writes to a slow reader soon block.
	sendBufferBytes = 16 << 10
	headerTimeout   = 10 * time.Second
)

// Serve listens on an address (host:port), writes {"Listening": address} to out as one line of JSON and serves until ctx ends.
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
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ConnContext: limitSendBuffer}
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

func limitSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	return ctx
}

// queryInt returns an integer query parameter, or fallback if it is missing or not an integer.
func queryInt(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}
