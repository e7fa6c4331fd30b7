package desk

import (
	"context"
	"net"
	"net/http"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// headTime bounds the reading of a request's head.
	headTime = 10 * clock.Second
	// keptTime bounds how long an idle connection of a caller is kept.
	keptTime = 120 * clock.Second
	// headBytes bounds a request's head.
	headBytes = 64 << 10
	// sendBufferBytes bounds what the kernel takes on for a reader that is slow.
	sendBufferBytes = 64 << 10
)

// NewServer returns an HTTP server for callers or operators, with bounds on what a connection may hold.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headTime.Duration(),
		IdleTimeout:       keptTime.Duration(),
		MaxHeaderBytes:    headBytes,
		ConnContext:       boundBuffer,
	}
}

func boundBuffer(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	return ctx
}
