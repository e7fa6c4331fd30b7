package membership

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// maxMessageBytes limits one message between instances.
	maxMessageBytes = 16 << 20
	// handshakeTimeout limits dialing and the handshake of a connection, each, in milliseconds.
	handshakeTimeout = 2 * clock.Second
	// callTimeout limits a call that sets no limit of its own, in milliseconds.
	callTimeout = 2 * clock.Second
	// idleTimeout is the time without data after which a connection is closed, in milliseconds.
	idleTimeout = 120 * clock.Second
	// maxInboundConns limits the open connections from other instances.
	maxInboundConns = 1024
)

// Network carries net/rpc calls between instances over authenticated connections; it is safe for concurrent use.
type Network struct {
	Common settings.Common
	// Key is the secret that all instances share.
	Key []byte
	// Self is this instance.
	Self catalogue.Member

	server       rpc.Server
	sent         atomic.Int64
	received     atomic.Int64
	inboundConns atomic.Int64

	mu        sync.Mutex
	addresses map[string]string
	links     map[string]*link
}

// Register makes the methods of a receiver callable as name.Method.
func (n *Network) Register(name string, receiver any) error {
	return errors.Wrapf(n.server.RegisterName(name, receiver), "register %s", name)
}

// Traffic returns the bytes sent to and received from other instances since the start.
func (n *Network) Traffic() (sent, received int64) { return n.sent.Load(), n.received.Load() }

// Serve answers calls of other instances until ctx ends, and closes l and all connections.
func (n *Network) Serve(ctx context.Context, l net.Listener) error {
	log := n.Common.Log.WithName("membership")
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			n.closeLinks()
			return group.Wait()
		}
		if err != nil {
			log.Error(err, "accepting a connection failed")
			if clock.Sleep(ctx, n.Common.Clock, 50) != nil {
				continue
			}
			continue
		}
		if n.inboundConns.Add(1) > maxInboundConns {
			n.inboundConns.Add(-1)
			_ = conn.Close()
			continue
		}
		group.Go(func() error {
			defer n.inboundConns.Add(-1)
			n.serveConn(ctx, conn)
			return nil
		})
	}
}

func (n *Network) serveConn(ctx context.Context, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	// The handshake sets its own deadline, which a metered connection would replace by the longer idle timeout.
	if err := n.serverHandshake(raw); err != nil {
		n.Common.Log.WithName("membership").V(1).Info("peer handshake failed", "from", raw.RemoteAddr().String(), "error", err.Error())
		return
	}
	// Connections of a listener that accounts for memory count the messages that they receive.
	memory, _ := raw.(messageMemory)
	n.server.ServeCodec(newServerCodec(n.meter(raw), memory))
}

// SetMembers sets the addresses of the members and closes the connections to all other instances.
func (n *Network) SetMembers(members []catalogue.Member) {
	addresses := make(map[string]string, len(members))
	for _, m := range members {
		addresses[m.Name] = m.PeerAddress
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses = addresses
	for name, l := range n.links {
		if addresses[name] != l.address {
			l.close()
			delete(n.links, name)
		}
	}
}

// Call calls a method of a member; an error is a *CallError, which reports whether the call may have taken effect, and the reply must
// not be used after it.
func (n *Network) Call(ctx context.Context, member, method string, args, reply any) error {
	return n.CallWithin(ctx, callTimeout, member, method, args, reply)
}

// CallWithin is Call with another timeout, in milliseconds.
func (n *Network) CallWithin(ctx context.Context, timeout clock.Millis, member, method string, args, reply any) error {
	l, err := n.link(member)
	if err != nil {
		return &CallError{Member: member, Method: method, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	client, err := l.acquire(ctx, n)
	if err != nil {
		return &CallError{Member: member, Method: method, Cause: err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		return nil
	}
	var serverErr rpc.ServerError
	if !errors.As(err, &serverErr) {
		l.discard(client)
	}
	return &CallError{Member: member, Method: method, Sent: true, Cause: err}
}

func (n *Network) link(member string) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address, found := n.addresses[member]
	if !found || address == "" {
		return nil, errors.Newf("no address of %s is known", member)
	}
	l := n.links[member]
	if l == nil {
		if n.links == nil {
			n.links = map[string]*link{}
		}
		l = &link{address: address}
		n.links[member] = l
	}
	return l, nil
}

func (n *Network) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, l := range n.links {
		l.close()
		delete(n.links, name)
	}
}
