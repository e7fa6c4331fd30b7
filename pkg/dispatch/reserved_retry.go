package dispatch

import (
	"slices"
	"sync/atomic"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// reservedRetry is a retry that was taken from the budget before the attempt that it replaces was aborted.
type reservedRetry struct{ reserved atomic.Bool }

// take returns whether a retry is reserved, and uses it up.
func (r *reservedRetry) take() bool { return r.reserved.Swap(false) }

// allowAbort lets the next attempt of the call be aborted for its slowness, but only with a retry in reserve and another upstream for it:
// an upstream that is slow or silent may still answer, and without another attempt its answer is all that the caller can get.
func (f *Dispatch) allowAbort(c *request.Call) *reservedRetry {
	r := &reservedRetry{}
	service, upstream, deadline, route := c.Upstream.Service, c.Upstream.Name, c.Request.Deadline, c.Route
	attemptLeft := c.Runs+1 < route.MaxAttempts
	c.ReserveRetry = func() bool {
		if r.reserved.Load() {
			return true
		}
		if !attemptLeft || f.tooLate(deadline, route) || !f.hasAlternative(service, upstream) || !f.Budgets.TryWithdraw(service) {
			return false
		}
		r.reserved.Store(true)
		return true
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
	return slices.ContainsFunc(s.Pools[service], func(u *catalogue.Upstream) bool {
		return u.Name != upstream && now >= u.ColdUntil && !f.Outliers.ShouldAvoid(u.Name, now)
	})
}
