package custody

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// ConnBytes is what an open connection counts: its goroutines and the buffers of net/http.
	ConnBytes = 16 << 10
	// RequestBytes is what a request counts besides its head and its body: goroutines, the connection to the upstream, and the part of the
	// response that each request may buffer.
	RequestBytes = 64 << 10
	// fieldBytes is what a header field counts besides its text: the entries in the maps of the request and of its copies.
	fieldBytes = 350
	// smallHeadBytes is what a head may count although no room is left.
	smallHeadBytes = 8 << 10
	// textCopies is the number of copies of the text of a head.
	textCopies = 2
	// bodyShare is the part of the bytes that bodies may take, so that requests without one are served beside many of them.
	bodyShare = 0.75
	// clientShare is the part of the connections and of the bytes that a single client address, or API key, may take.
	clientShare = 0.875
)

// Limits bound the time that a client may take, in milliseconds.
type Limits struct {
	// Head bounds the time from the first to the last byte of a request's head.
	Head clock.Millis
	// Idle bounds the time of a connection between requests, and the time in which a client reads nothing of a response that waits for it.
	Idle clock.Millis
	// Body bounds the time of a body, unless BeginRequest sets another one.
	Body clock.Millis
}

// Stats counts what an account holds and refused since its start.
type Stats struct {
	Conns     int
	HeldBytes int64
	// Refused counts connections that were closed at once for want of room, Evicted those that made room for others, and TimedOut those that
	// took too long.
	Refused, Evicted, TimedOut int64
	// Denied counts requests for bytes that were over the bound.
	Denied int64
}

// Account bounds the connections of a listener and the bytes that are held for them; it is safe for concurrent use.
type Account struct {
	Clock clock.Clock
	Log   logr.Logger
	// Bytes and Conns are the bounds.
	Bytes int64
	Conns int
	// Limits returns the time limits in force; nil means none.
	Limits func() Limits

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	addresses map[netip.Addr]*usage
	keys      map[string]*usage
	// bodyBytes is the part of stats.HeldBytes that bodies hold.
	bodyBytes int64
	stats     Stats
	// expired is the number of idle connections that were given up and aren't closed yet.
	expired int
	// noneSlowUntil is the time until which no slow connection is looked for again.
	noneSlowUntil clock.Millis
	// logged has the counts of the last log line; only Run uses it.
	logged Stats
}

// usage is what the connections of one client address, or the requests with one key, hold.
type usage struct {
	// count is the number of connections or requests.
	count int
	bytes int64
}

// Stats returns the current counts.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	s.Conns = len(a.conns)
	return s
}

// TryTake takes bytes that belong to no single connection, and reports whether there was room for them.
func (a *Account) TryTake(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodyBytes+n > bodyBound(a.Bytes) || a.stats.HeldBytes+n > a.Bytes {
		a.stats.Denied++
		return false
	}
	a.stats.HeldBytes += n
	a.bodyBytes += n
	return true
}

// Give gives back bytes of TryTake.
func (a *Account) Give(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stats.HeldBytes -= n
	a.bodyBytes -= n
}

func bodyBound(n int64) int64 { return int64(bodyShare * float64(n)) }

func clientBound[T int | int64](n T) T { return T(clientShare * float64(n)) }

// admit adds a connection, in place of a less useful one if there is no room; it returns nil if there is none.
func (a *Account) admit(raw net.Conn, p phase) *Conn {
	now := a.Clock.Now()
	c := &Conn{Conn: raw, account: a, address: remoteAddress(raw), phase: p, since: now, movedAt: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns, a.addresses, a.keys = map[*Conn]struct{}{}, map[netip.Addr]*usage{}, map[string]*usage{}
	}
	if !a.hasRoom(c) && (!a.evict(now, c, leastUseful) || !a.hasRoom(c)) {
		a.stats.Refused++
		return nil
	}
	c.limits = a.limits()
	a.insert(c)
	return c
}

// insert accounts for a connection that holds nothing yet.
func (a *Account) insert(c *Conn) {
	u := a.addresses[c.address]
	if u == nil {
		u = &usage{}
		a.addresses[c.address] = u
	}
	c.usage = u
	a.conns[c] = struct{}{}
	u.count++
	a.add(c, ConnBytes)
}

func (a *Account) hasRoom(c *Conn) bool {
	u := a.addresses[c.address]
	return len(a.conns) < a.Conns && a.stats.HeldBytes+ConnBytes <= a.Bytes &&
		(u == nil || u.count < clientBound(a.Conns) && u.bytes+ConnBytes <= clientBound(a.Bytes))
}

// add counts n bytes for c, which may be negative.
func (a *Account) add(c *Conn, n int64) {
	c.held += n
	c.usage.bytes += n
	if c.keyUsage != nil {
		c.keyUsage.bytes += n
	}
	a.stats.HeldBytes += n
}

// remove drops a connection and all that it holds.
func (a *Account) remove(c *Conn) {
	if _, found := a.conns[c]; !found {
		return
	}
	delete(a.conns, c)
	a.release(c, 0)
	c.usage.count--
	if c.usage.count == 0 {
		delete(a.addresses, c.address)
	}
}

// leaveExpired drops c from the expired connections.
func (a *Account) leaveExpired(c *Conn) {
	if c.expired {
		c.expired = false
		a.expired--
	}
}

// resume accounts for c again if it has expired although a request had arrived before.
func (a *Account) resume(c *Conn) {
	if !c.expired {
		return
	}
	a.leaveExpired(c)
	a.insert(c)
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// release gives back what c holds beyond keep bytes.
func (a *Account) release(c *Conn, keep int64) {
	a.bodyBytes -= c.body
	c.body = 0
	a.add(c, keep-c.held)
	a.leaveKey(c)
}

// joinKey counts what c takes from now on for a key, until it is released.
func (a *Account) joinKey(c *Conn, key string) {
	a.leaveKey(c)
	u := a.keys[key]
	if u == nil {
		u = &usage{}
		a.keys[key] = u
	}
	c.key, c.keyUsage = key, u
	u.count++
	u.bytes += c.held
}

func (a *Account) leaveKey(c *Conn) {
	u := c.keyUsage
	if u == nil {
		return
	}
	c.keyUsage = nil
	u.count--
	u.bytes -= c.held
	if u.count == 0 {
		delete(a.keys, c.key)
	}
}

// take counts n bytes for c, of its body or not, if there is room; slow connections make room for others.
func (a *Account) take(c *Conn, n int64, body bool) bool {
	if _, found := a.conns[c]; !found {
		return false
	}
	for !a.fits(c, n, body) {
		if !a.evict(a.Clock.Now(), c, holdsMost) {
			a.stats.Denied++
			return false
		}
	}
	a.add(c, n)
	if body {
		c.body += n
		a.bodyBytes += n
	}
	return true
}

// takeHead counts n bytes for the head of c, and reports whether it may be read on: without room a small one may, so that its request is refused.
func (a *Account) takeHead(c *Conn, n int64) bool {
	if a.take(c, n, false) {
		return true
	}
	if _, found := a.conns[c]; !found || c.held-ConnBytes+n > smallHeadBytes {
		return false
	}
	a.add(c, n)
	return true
}

func (a *Account) fits(c *Conn, n int64, body bool) bool {
	if body {
		// A body that is the only one is taken whatever its length, which the configuration bounds.
		if a.bodyBytes == c.body {
			return true
		}
		if a.bodyBytes+n > bodyBound(a.Bytes) {
			return false
		}
	}
	bound := clientBound(a.Bytes)
	return a.stats.HeldBytes+n <= a.Bytes && c.usage.bytes+n <= bound && (c.keyUsage == nil || c.keyUsage.bytes+n <= bound)
}

func remoteAddress(conn net.Conn) netip.Addr {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}
