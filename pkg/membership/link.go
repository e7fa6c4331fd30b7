package membership

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// redialPause is how long calls to a member fail at once after a connection to it failed, in milliseconds.
const redialPause clock.Millis = 250

// link is the connection to one member. It is opened by one goroutine at a time, outside of the lock, so that callers
// wait no longer than their own contexts allow.
type link struct {
	address string

	mu     sync.Mutex
	client *rpc.Client
	// over is closed once the connection of client has ended.
	over   chan struct{}
	closed bool
	// opening is closed when the attempt under way has ended; nil when there is none.
	opening chan struct{}
	failure error
	// retryAt is the monotonic time before which failure is returned without another attempt.
	retryAt clock.Millis
}

// dial returns the client of the link and connects when needed; nothing of a call was sent when it fails.
func (l *link) dial(ctx context.Context, n *Network) (*rpc.Client, error) {
	for {
		client, opening, err := l.state(n)
		if client != nil || err != nil {
			return client, err
		}
		select {
		case <-opening:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// state returns the client, or the error of the last attempt, or what to wait for.
func (l *link) state(n *Network) (*rpc.Client, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && isClosed(l.over) {
		_ = l.client.Close()
		l.client = nil
	}
	switch {
	case l.client != nil:
		return l.client, nil, nil
	case l.closed:
		return nil, nil, net.ErrClosed
	case l.opening != nil:
		return nil, l.opening, nil
	case l.failure != nil && n.Common.Clock.Now() < l.retryAt:
		return nil, nil, l.failure
	}
	l.opening = make(chan struct{})
	go l.open(n)
	return nil, l.opening, nil
}

// open makes one attempt to connect.
func (l *link) open(n *Network) {
	client, over, err := connect(l.address, n)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failure = err
	l.retryAt = n.Common.Clock.Now() + redialPause
	if err == nil && l.closed {
		_ = client.Close()
		client = nil
	}
	l.client, l.over = client, over
	close(l.opening)
	l.opening = nil
}

// connect returns a client and a channel that is closed once its connection has ended.
func connect(address string, n *Network) (*rpc.Client, chan struct{}, error) {
	d := net.Dialer{Timeout: handshakeTime.Duration()}
	raw, err := d.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	// The handshake has its own time limit, which a metered connection would replace by the longer one for idle time.
	if err := n.greetPeer(raw); err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	codec := newClientCodec(n.meter(raw))
	return rpc.NewClientWithCodec(codec), codec.over, nil
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// drop closes a client whose connection failed.
func (l *link) drop(client *rpc.Client) {
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

// CallError says that a call to a member failed; Sent is false when it provably had no effect.
type CallError struct {
	Member string
	Method string
	Sent   bool
	Cause  error
}

// Error tells the call and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s of %s: %v", e.Method, e.Member, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
