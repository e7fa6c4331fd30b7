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

	mu     sync.Mutex
	client *rpc.Client
	closed bool
}

// dial returns the open client, or connects; callers that come meanwhile wait for the same connection.
func (l *link) dial(ctx context.Context, n *Network) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	d := net.Dialer{Timeout: handshakeTime.Duration()}
	raw, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	conn := n.meter(raw)
	if err := n.greetPeer(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	l.client = rpc.NewClientWithCodec(newClientCodec(conn))
	return l.client, nil
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
