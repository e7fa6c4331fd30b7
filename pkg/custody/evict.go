package custody

import (
	"bytes"
	"context"
	"time"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// stallTime is how long a client may neither send nor read before its connection may make room for others, in milliseconds.
	stallTime clock.Millis = 1000
	// minBytesPerSecond is the average pace of a request below which the same holds.
	minBytesPerSecond = 16 << 10
	// evictPause is the time for which a vain search for slow connections isn't repeated, in milliseconds.
	evictPause clock.Millis = 20
	// sweepPeriod is the time between two checks of the time limits, in milliseconds.
	sweepPeriod clock.Millis = 1000
)

// need is what room is needed for.
type need int

const (
	// leastUseful looks for any connection, holdsMost only for those that hold a request.
	leastUseful need = iota
	holdsMost
)

// evict closes the connection whose client is the slowest, and reports whether there was one; an idle connection yields only to another one.
func (a *Account) evict(now clock.Millis, newcomer *Conn, n need) bool {
	if now < a.noneSlowUntil {
		return false
	}
	var victim *Conn
	var most clock.Millis
	fromAddress := a.addressIsFull(newcomer)
	for c := range a.conns {
		if c == newcomer || fromAddress && c.address != newcomer.address || n == holdsMost && c.held <= ConnBytes {
			continue
		}
		if s := c.slowness(now); s > most {
			victim, most = c, s
		}
	}
	if victim == nil {
		a.noneSlowUntil = now + evictPause
		return false
	}
	a.stats.Evicted++
	a.closeLocked(victim)
	return true
}

// addressIsFull reports whether the client address of c, and not the account as a whole, has no room.
func (a *Account) addressIsFull(c *Conn) bool {
	u := a.addresses[c.address]
	return u != nil && (u.count >= clientBound(a.Conns) || u.bytes+RequestBytes > clientBound(a.Bytes))
}

// waitingRank puts connections within a request before idle ones, whatever their age.
const waitingRank clock.Millis = 1 << 40

// slowness ranks a connection among those that may be closed; 0 means that it may not.
func (c *Conn) slowness(now clock.Millis) clock.Millis {
	still := now - c.movedAt
	switch {
	case c.phase == phaseIdle || c.phase == phaseOpaque:
		if still < stallTime {
			return 0
		}
		return still
	case c.phase == phaseServing && !c.writing:
		return 0
	case still >= stallTime:
		return waitingRank + still
	}
	elapsed := now - c.since
	if c.phase != phaseServing && elapsed >= stallTime && c.moved*int64(clock.Second) < minBytesPerSecond*int64(elapsed) {
		return waitingRank
	}
	return 0
}

// closeLocked drops a connection at once; its goroutines end with their next read or write. An idle one goes on if a request has just arrived.
func (a *Account) closeLocked(c *Conn) {
	a.remove(c)
	if c.phase == phaseIdle {
		// A read that has bytes already returns them whatever the deadline is.
		c.expired = true
		a.expired++
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	// Closing may wait for other goroutines of the connection.
	go func() { _ = c.Conn.Close() }()
}

// EvictSlow closes connections whose clients keep a request from ending, so that others are served; on a nil Account it does nothing.
func (a *Account) EvictSlow() {
	if a == nil {
		return
	}
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now < a.noneSlowUntil {
		return
	}
	a.noneSlowUntil = now + evictPause
	for c := range a.conns {
		if c.held > ConnBytes && c.slowness(now) >= waitingRank {
			a.stats.Evicted++
			a.closeLocked(c)
		}
	}
}

// Run closes connections of the accounts that exceed their time limits, until ctx ends.
func Run(ctx context.Context, c clock.Clock, accounts ...*Account) error {
	last := c.Now()
	for {
		if err := clock.Sleep(ctx, c, sweepPeriod); err != nil {
			return err
		}
		now := c.Now()
		// After a pause of the process the requests that arrived meanwhile are read first.
		paused := now-last >= 2*sweepPeriod
		last = now
		for _, a := range accounts {
			if !paused {
				a.sweep(now)
			}
			a.logChanges()
		}
	}
}

func (a *Account) sweep(now clock.Millis) {
	l := a.limits()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if c.overdue(now, l) {
			a.stats.TimedOut++
			a.closeLocked(c)
		}
	}
}

// drainPeriod is the time between two checks of Drain, in milliseconds.
const drainPeriod clock.Millis = 20

// Drain closes all idle connections, also those that become idle, until no connection is left or ctx ends; on a nil Account it does
// nothing.
func (a *Account) Drain(ctx context.Context) {
	if a == nil {
		return
	}
	for a.closeIdle() > 0 {
		if clock.Sleep(ctx, a.Clock, drainPeriod) != nil {
			return
		}
	}
}

// closeIdle gives up all idle connections, and returns the number of connections that aren't closed yet.
func (a *Account) closeIdle() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if c.phase == phaseIdle {
			a.closeLocked(c)
		}
	}
	return len(a.conns) + a.expired
}

// overdue reports whether the client takes longer than the present limits allow, and those in force when its idle time or its request began.
func (c *Conn) overdue(now clock.Millis, l Limits) bool {
	switch {
	case c.writing, c.phase == phaseIdle:
		return l.Idle > 0 && now-c.movedAt > max(l.Idle, c.limits.Idle)
	case c.phase == phaseHead:
		return l.Head > 0 && now-c.since > max(l.Head, c.limits.Head)
	case c.phase == phaseBody:
		return c.deadline > 0 && now > c.deadline
	}
	return false
}

func (a *Account) limits() Limits {
	if a.Limits == nil {
		return Limits{}
	}
	return a.Limits()
}

// logChanges logs what was refused since the last line.
func (a *Account) logChanges() {
	s, old := a.Stats(), a.logged
	if s.Refused == old.Refused && s.Evicted == old.Evicted && s.TimedOut == old.TimedOut && s.Denied == old.Denied {
		return
	}
	a.logged = s
	a.Log.Info("clients were refused or cut off", "connections", s.Conns, "heldBytes", s.HeldBytes, "refused", s.Refused-old.Refused,
		"evicted", s.Evicted-old.Evicted, "timedOut", s.TimedOut-old.TimedOut, "denied", s.Denied-old.Denied)
}

func countLines(p []byte) int64 { return int64(bytes.Count(p, []byte{'\n'})) }
