package dispatch

import (
	"slices"
	"sync"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// abortReserve holds the retry that is reserved before an attempt is aborted. Timers of an attempt may fire when it has ended; they get none.
type abortReserve struct {
	mu     sync.Mutex
	retry  *ReservedRetry
	closed bool
}

// reserve reserves a retry by f unless there is one, and reports whether one is reserved.
func (r *abortReserve) reserve(f func() *ReservedRetry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if r.retry == nil {
		r.retry = f()
	}
	return r.retry != nil
}

// isReserved reports whether a retry is reserved.
func (r *abortReserve) isReserved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retry != nil
}

// take returns whether a retry was reserved, and uses it up.
func (r *abortReserve) take(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retry != nil && r.retry.Use(now)
}

// close returns a retry that was not used.
func (r *abortReserve) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.retry.Close()
}

// allowAbort lets the next attempt of the call be aborted for its slowness, but only with a retry in reserve and another upstream for it:
// an upstream that is slow or silent may still answer, and without another attempt its answer is all that the caller can get.
func (f *Dispatch) allowAbort(c *request.Call) *abortReserve {
	r := &abortReserve{}
	service, upstream, deadline, route := c.Upstream.Service, c.Upstream.Name, c.Request.Deadline, c.Route
	handedOver, attemptLeft := c.Request.HandedOver, c.Runs+1 < route.MaxAttempts
	c.ReserveRetry = func() bool {
		return r.reserve(func() *ReservedRetry {
			if handedOver || !attemptLeft || f.tooLate(deadline, route) || !f.hasAlternative(service, upstream) {
				return nil
			}
			return f.Budgets.Reserve(service, f.Clock.Now())
		})
	}
	return r
}

// tooLate reports whether too little time is left before the deadline for another attempt.
func (f *Dispatch) tooLate(deadline clock.Millis, route *catalogue.Route) bool {
	return f.timeToRetry(deadline, route) < 0
}

// timeToRetry returns the time in which another attempt may still begin before the deadline, in milliseconds.
func (f *Dispatch) timeToRetry(deadline clock.Millis, route *catalogue.Route) clock.Millis {
	return deadline - f.Clock.Now() - clock.Millis(minTimeLeftShare*float64(route.Target))
}

// hasAlternative reports whether an upstream other than the given one is warm and hasn't failed lately. An instance that is shutting down
// has none, since a new attempt would have less time than the one that it replaces.
func (f *Dispatch) hasAlternative(service, upstream string) bool {
	s, now := f.Snapshot(), f.Clock.Now()
	if s.Draining {
		return false
	}
	return slices.ContainsFunc(f.open(s.Pools[service], now), func(u *catalogue.Upstream) bool {
		return u.Name != upstream && now >= u.ColdUntil && !f.Outliers.ShouldAvoid(u.Name, now)
	})
}
