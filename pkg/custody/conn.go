package custody

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

// writeBytes is the length of one write to the network, after which the client counts as reading.
const writeBytes = 16 << 10

// errOverBound ends a connection whose client sent more than is held for it.
var errOverBound = errors.New("no memory is left for the connection")

// phase is what a connection waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseHead
	phaseBody
	// phaseServing is the time from the end of a request to the end of its response.
	phaseServing
	// phaseOpaque is that of protocols other than HTTP.
	phaseOpaque
)

// Conn is a connection whose memory is accounted for. Its methods for requests may be called on a nil Conn, which bounds nothing.
type Conn struct {
	net.Conn
	account *Account
	// usage is that of the client address.
	usage *usage

	// The fields below are guarded by the mutex of the account.

	phase phase
	// limits are those in force when the phase began that is not phaseHead.
	limits Limits
	// expired is true once an idle connection was given up, unless something is received after all; it isn't accounted for any more.
	expired bool
	// ahead is true if bytes of the next request were received before the response has ended.
	ahead bool
	// since is when the phase began, deadline when a body must have ended, and movedAt when the client last sent or read something.
	since, deadline, movedAt clock.Millis
	// moved is the number of bytes received in the phase.
	moved int64
	// writing is true while bytes wait for the client to read.
	writing bool
	// held is what the connection counts, and body the part of it that is its body.
	held, body int64
	// key and keyUsage are those of the request; keyUsage is nil if it has none.
	key      string
	keyUsage *usage
	address  netip.Addr
}

// Read counts what it reads of a head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		_ = c.Close()
		return 0, errOverBound
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads, unless the connection has expired.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) received(p []byte) bool {
	a := c.account
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	c.movedAt = now
	a.resume(c)
	switch c.phase {
	case phaseIdle:
		c.phase, c.since, c.moved = phaseHead, now, 0
	case phaseServing:
		c.ahead = true
	}
	c.moved += int64(len(p))
	return c.phase != phaseHead || a.takeHead(c, headCost(p))
}

// Write writes p in parts, each of which shows that the client reads.
func (c *Conn) Write(p []byte) (written int, err error) {
	defer c.endWrite()
	for {
		c.beginWrite()
		part := p[written:min(len(p), written+writeBytes)]
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) beginWrite() {
	now := c.account.Clock.Now()
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.writing, c.movedAt = true, now
}

func (c *Conn) endWrite() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.writing = false
}

// Close closes the connection and gives back what it holds.
func (c *Conn) Close() error {
	c.account.mu.Lock()
	c.account.remove(c)
	c.account.leaveExpired(c)
	c.account.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending side, so that a client that still sends gets the response before the connection is reset.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// TakeBody takes n bytes for a body or a message until it is given back or the response has ended, and reports whether there was room.
func (c *Conn) TakeBody(n int64) bool {
	if c == nil {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.account.take(c, n, true)
}

// GiveBody gives back bytes of TakeBody before the response has ended.
func (c *Conn) GiveBody(n int64) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	n = min(n, c.body)
	c.body -= n
	c.account.bodyBytes -= n
	c.account.add(c, -n)
}

// BeginRequest takes what a request with a head of that cost counts, and reports whether there was room. Its body must end in bodyTime, in
// milliseconds. An empty key is none.
func (c *Conn) BeginRequest(headCost int64, key string, bodyTime clock.Millis) bool {
	if c == nil {
		return true
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.deadline = c.since + bodyTime
	if _, found := a.conns[c]; found && key != "" {
		a.joinKey(c, key)
	}
	// What was counted while the head was read lacks the part that came with the request before.
	counted := c.held - ConnBytes
	return a.take(c, max(0, headCost-counted)+RequestBytes, false)
}

// EndBody tells that the request is complete, so that the connection no longer waits for its client.
func (c *Conn) EndBody() {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.phase = phaseServing
}

// headCost returns what the part of a head counts that p has before the body or the next request.
func headCost(p []byte) int64 {
	if i := bytes.Index(p, headEnd); i >= 0 {
		p = p[:i+len(headEnd)]
	}
	return HeadCost(int64(len(p)), countLines(p))
}

// headEnd ends a head. One that ends otherwise counts with what follows it.
var headEnd = []byte("\r\n\r\n")

// HeadCost returns what a head of that many bytes and fields counts.
func HeadCost(bytes, fields int64) int64 { return textCopies*bytes + fieldBytes*fields }

// Attach makes the server account for its connections, which have to come from a listener of an account.
func Attach(s *http.Server) {
	previous := s.ConnContext
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		c, ok := conn.(*Conn)
		if !ok {
			return ctx
		}
		if previous != nil {
			ctx = previous(ctx, c.Conn)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.setState(state)
		}
	}
}

type connKey struct{}

// FromContext returns the connection of a request, or nil if it isn't accounted for.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// setState follows the states of the HTTP server, which is active once the head of a request was read.
func (c *Conn) setState(state http.ConnState) {
	if state != http.StateActive && state != http.StateIdle {
		return
	}
	a := c.account
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateActive {
		// A pipelined request needs no read.
		a.resume(c)
	}
	if _, found := a.conns[c]; !found {
		return
	}
	ahead := c.ahead
	c.ahead = false
	c.since, c.moved, c.movedAt = now, 0, now
	c.limits = a.limits()
	if state == http.StateIdle {
		c.phase = phaseIdle
		if ahead {
			c.phase = phaseHead
		}
		a.release(c, ConnBytes)
		return
	}
	c.phase, c.deadline = phaseBody, 0
	if c.limits.Body > 0 {
		c.deadline = now + c.limits.Body
	}
}
