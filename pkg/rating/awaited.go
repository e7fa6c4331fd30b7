package rating

import (
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Awaited is an attempt that has not ended; a Comparison guards its fields.
type Awaited struct {
	route, upstream string
	onTarget        bool
	// lateAt is when an answer that has not begun is late, or 0 if that isn't known.
	lateAt clock.Millis
	// begun is true once it was counted whether the answer began in time, late if it did not, and paced once the stream was counted.
	begun, late, paced bool
}

// Await begins an attempt, whose answer counts as late from lateAt on even before it comes; 0 means that this isn't known.
func (c *Comparison) Await(route, upstream string, onTarget bool, lateAt clock.Millis) *Awaited {
	a := &Awaited{route: route, upstream: upstream, onTarget: onTarget, lateAt: lateAt}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaited == nil {
		c.awaited = map[*Awaited]bool{}
	}
	c.awaited[a] = true
	return a
}

// Begun counts an answer that has begun, and begun in time unless it was late before.
func (c *Comparison) Begun(a *Awaited) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.awaited, a)
	c.countBegun(a)
}

// countBegun counts once that it is known whether an answer began in time. The caller must hold mu.
func (c *Comparison) countBegun(a *Awaited) {
	if !a.begun {
		a.begun = true
		c.increment(countBegun, a.onTarget, a.route)
	}
}

// Paced counts the stream of an attempt that is still running.
func (c *Comparison) Paced(a *Awaited, isSlow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.paced = true
	c.recordStream(a.route, a.upstream, a.onTarget, isSlow)
}

// Drop forgets an attempt; what was counted of it stays.
func (c *Comparison) Drop(a *Awaited) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.awaited, a)
}

// Ended counts an attempt that has ended like RecordAttempt, but for what was counted before.
func (c *Comparison) Ended(a *Awaited, result request.Result, slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.awaited, a)
	c.recordAttempt(a, result, slow)
}

// EndedStream counts a stream that has ended like RecordStream, unless Paced has counted it.
func (c *Comparison) EndedStream(a *Awaited, isSlow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !a.paced {
		c.recordStream(a.route, a.upstream, a.onTarget, isSlow)
	}
}

// countLate counts the attempts without an answer that are late by now. The caller must hold mu.
func (c *Comparison) countLate(now clock.Millis) {
	for a := range c.awaited {
		if a.lateAt == 0 || now < a.lateAt {
			continue
		}
		delete(c.awaited, a)
		a.late = true
		c.countBegun(a)
		c.increment(countAnswers, a.onTarget, a.route)
		c.countSlow(a)
	}
}

// countSlow counts a late answer. The caller must hold mu.
func (c *Comparison) countSlow(a *Awaited) {
	c.increment(countSlow, a.onTarget, a.route)
	if a.onTarget {
		c.increment(countLateUpstreams, a.onTarget, a.upstream)
	}
}
