package membership

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// redialDelay is how long calls to a member fail at once after a connection attempt failed, in milliseconds.
const redialDelay clock.Millis = 250

// link is the connection to one member. One goroutine at a time dials, without holding mu, so that each call waits no longer
// than its own context allows.
type link struct {
	address string

	mu     sync.Mutex
	client *rpc.Client
	// done is closed when the connection of client has ended.
	done   chan struct{}
	closed bool
	// dialing is closed when the current connection attempt has ended; nil when there is none.
	dialing chan struct{}
	dialErr error
	// retryAt is the monotonic time before which dialErr is returned without another attempt.
	retryAt clock.Millis
}

// acquire returns the client of the link and dials if needed; on an error no part of a call was sent.
func (l *link) acquire(ctx context.Context, n *Network) (*rpc.Client, error) {
	for {
		client, dialing, err := l.tryAcquire(n)
		if client != nil || err != nil {
			return client, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns the client, the error of the last attempt, or a channel that is closed when the current attempt has ended.
func (l *link) tryAcquire(n *Network) (*rpc.Client, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && isClosed(l.done) {
		_ = l.client.Close()
		l.client = nil
	}
	switch {
	case l.client != nil:
		return l.client, nil, nil
	case l.closed:
		return nil, nil, net.ErrClosed
	case l.dialing != nil:
		return nil, l.dialing, nil
	case l.dialErr != nil && n.Common.Clock.Now() < l.retryAt:
		return nil, nil, l.dialErr
	}
	l.dialing = make(chan struct{})
	go l.dial(n)
	return nil, l.dialing, nil
}

// dial makes one connection attempt and wakes the calls that wait for it.
func (l *link) dial(n *Network) {
	client, done, err := connect(l.address, n)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialErr = err
	l.retryAt = n.Common.Clock.Now() + redialDelay
	if err == nil && l.closed {
		_ = client.Close()
		client = nil
	}
	l.client, l.done = client, done
	close(l.dialing)
	l.dialing = nil
}

// connect returns a client and a channel that is closed when its connection has ended.
func connect(address string, n *Network) (*rpc.Client, chan struct{}, error) {
	d := net.Dialer{Timeout: handshakeTimeout.Duration()}
	raw, err := d.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	// The handshake sets its own deadline, which a metered connection would replace by the longer idle timeout.
	if err := n.clientHandshake(raw); err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	codec := newClientCodec(n.meter(raw))
	return rpc.NewClientWithCodec(codec), codec.done, nil
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// discard closes a client whose connection failed, so that the next call dials again.
func (l *link) discard(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	_ = client.Close()
}

func (l *link) close() {
	l.mu.Lock()
	client := l.client
	l.client, l.closed = nil, true
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// CallError reports a failed call to a member; Sent is false when the call provably had no effect.
type CallError struct {
	Member string
	Method string
	Sent   bool
	Cause  error
}

// Error names the method, the member and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s of %s: %v", e.Method, e.Member, e.Cause)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *CallError) Unwrap() error { return e.Cause }
