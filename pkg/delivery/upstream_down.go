package delivery

import (
	"context"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// downCheckTimeout bounds the connection attempt that tells whether an upstream has ended, in milliseconds.
	downCheckTimeout clock.Millis = 200
	// keptOpen is how long an upstream that runs keeps a connection without a request open, in milliseconds. A proxy in front of one that has
	// ended accepts a connection and closes it at once.
	keptOpen clock.Millis = 50
)

// upstreamDown reports whether the upstream has ended with the attempt, before its answer began: it closed the connection and takes no
// new one. An upstream that broke off a single answer still takes them.
func (a *relayAttempt) upstreamDown(err error) bool {
	if a.firstByte > 0 || !closedByPeer(err) {
		return false
	}
	ctx, cancel := context.WithTimeout(a.ctx, downCheckTimeout.Duration())
	defer cancel()
	conn, err := a.Dial(ctx, "tcp", a.call.Upstream.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(keptOpen.Duration())); err != nil {
		return true
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// closedByPeer reports whether an attempt failed because the upstream closed or reset the connection.
func closedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errNoEvent, errPartialEvent)
}
