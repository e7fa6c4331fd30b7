package caravan

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
)

// link keeps one connection to a member.
type link struct {
	address string

	mu      sync.Mutex
	client  *rpc.Client
	attempt *attempt
	closed  bool
	// over is closed once the connection of client has ended.
	over chan struct{}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// attempt is one try to connect, which all callers that come meanwhile wait for.
type attempt struct {
	done   chan struct{}
	client *rpc.Client
	err    error
}

// dial returns the open client, or connects.
func (l *link) dial(ctx context.Context, n *Network) (*rpc.Client, error) {
	client, a := l.current(n)
	if client != nil {
		return client, nil
	}
	select {
	case <-a.done:
		return a.client, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// current returns the open client, or the present attempt, which it starts when there is none.
func (l *link) current(n *Network) (*rpc.Client, *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && isClosed(l.over) {
		_ = l.client.Close()
		l.client = nil
	}
	if l.client != nil || l.attempt != nil {
		return l.client, l.attempt
	}
	a := &attempt{done: make(chan struct{})}
	l.attempt = a
	go l.connect(n, a)
	return nil, a
}

// connect ends after the time limits of connecting and of the handshake at the latest.
func (l *link) connect(n *Network, a *attempt) {
	conn, err := l.open(n)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(a.done)
	l.attempt = nil
	if err == nil && l.closed {
		_ = conn.Close()
		err = net.ErrClosed
	}
	if err != nil {
		a.err = err
		return
	}
	codec := newClientCodec(conn)
	a.client = rpc.NewClientWithCodec(codec)
	l.client = a.client
	l.over = codec.over
}

func (l *link) open(n *Network) (net.Conn, error) {
	d := net.Dialer{Timeout: handshakeTime.Duration()}
	raw, err := d.Dial("tcp", l.address)
	if err != nil {
		return nil, err
	}
	conn := n.meter(raw)
	if err := n.greetPeer(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// drop closes the client unless another one took its place.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = client.Close()
	if l.client == client {
		l.client = nil
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
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
