package desk

import (
	"context"
	"net"
	"net/http"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	readHeaderTimeout = 10 * clock.Second
	idleTimeout       = 120 * clock.Second
	maxHeaderBytes    = 64 << 10
	// sendBufferBytes limits what the kernel buffers for a slow reader.
	sendBufferBytes = 64 << 10
)

// NewServer returns an HTTP server that bounds the time and memory a connection may take.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       limitSendBuffer,
	}
}

func limitSendBuffer(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	return ctx
}
