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
	// messageBytes bounds one message between instances.
	messageBytes = 16 << 20
	// handshakeTime bounds the proof of the key on a new connection, in milliseconds.
	handshakeTime = 2 * clock.Second
	// callTime bounds a call whose context has no deadline, in milliseconds.
	callTime = 2 * clock.Second
	// idleTime is the time without a message after which a connection is closed, in milliseconds.
	idleTime = 120 * clock.Second
	// maxAccepted bounds the connections that other instances may have open here.
	maxAccepted = 1024
)

// Network carries calls between entry instances by net/rpc; it is safe for concurrent use.
type Network struct {
	Common settings.Common
	// Key is the secret that all instances share.
	Key []byte
	// Self is this instance.
	Self catalogue.Member

	server   rpc.Server
	sent     atomic.Int64
	received atomic.Int64
	accepted atomic.Int64

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

// Serve takes calls of other instances until ctx ends.
func (n *Network) Serve(ctx context.Context, l net.Listener) error {
	log := n.Common.Log.WithName("caravan")
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
			log.Error(err, "accept failed")
			if clock.Sleep(ctx, n.Common.Clock, 50) != nil {
				continue
			}
			continue
		}
		if n.accepted.Add(1) > maxAccepted {
			n.accepted.Add(-1)
			_ = conn.Close()
			continue
		}
		group.Go(func() error {
			defer n.accepted.Add(-1)
			n.serveConn(ctx, conn)
			return nil
		})
	}
}

func (n *Network) serveConn(ctx context.Context, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	// The handshake has its own time limit, which a metered connection would replace by the longer one for idle time.
	if err := n.acceptPeer(raw); err != nil {
		n.Common.Log.WithName("caravan").V(1).Info("connection refused", "from", raw.RemoteAddr().String(), "why", err.Error())
		return
	}
	n.server.ServeCodec(newServerCodec(n.meter(raw)))
}

// SetMembers sets the addresses that calls go to, and closes connections to others.
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

// Call calls a method of a member; the reply must not be used after an error.
// Its errors are *CallError, which tells whether the call may have taken effect.
func (n *Network) Call(ctx context.Context, member, method string, args, reply any) error {
	return n.CallWithin(ctx, callTime, member, method, args, reply)
}

// CallWithin is Call with a bound on its time, in milliseconds.
func (n *Network) CallWithin(ctx context.Context, limit clock.Millis, member, method string, args, reply any) error {
	l, err := n.link(member)
	if err != nil {
		return &CallError{Member: member, Method: method, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	client, err := l.dial(ctx, n)
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
	var told rpc.ServerError
	if !errors.As(err, &told) {
		l.drop(client)
	}
	return &CallError{Member: member, Method: method, Sent: true, Cause: err}
}

func (n *Network) link(member string) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address, known := n.addresses[member]
	if !known || address == "" {
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
