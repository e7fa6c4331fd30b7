package dispatch

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// minRetryAfter is the shortest wait, before jitter, of a caller that is refused for lack of capacity or during a drain, in
// milliseconds.
const minRetryAfter clock.Millis = 100

// Admit is the admission control filter; it refuses calls over a limit of the instance or of the workspace.
type Admit struct {
	settings.Common
	Snapshot func() *catalogue.Snapshot
	// Admission holds the state shared by all calls of the instance.
	Admission *Admission
}

// Filter passes an admitted call to next, and refuses any other at once instead of queueing it.
func (f *Admit) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	start := f.Clock.Now()
	if r := f.Admission.Admit(f.Snapshot(), c, start); r != nil {
		return r
	}
	defer func() { f.Admission.Release(c, f.Clock.Now()-start) }()
	return next.Handle(ctx, c)
}

// jitter adds up to 100% to a wait, so that refused callers don't retry in a burst; the result is fixed for an id.
func jitter(id string, wait clock.Millis) clock.Millis {
	return wait + clock.Millis(float64(wait)*request.HashFraction("retry-after", id))
}

// callPriority returns the priority of the call's service or profile, or 0 if it has neither.
func callPriority(c *request.Call) int {
	switch {
	case c.Service != nil:
		return c.Service.Priority
	case c.Profile != nil:
		return c.Profile.Priority
	}
	return 0
}

// priorityRange returns the lowest and the highest configured priority.
func priorityRange(s *catalogue.Snapshot) (low, high int) {
	first := true
	include := func(p int) {
		if first {
			low, high, first = p, p, false
		}
		low, high = min(low, p), max(high, p)
	}
	for _, p := range s.Config.Profiles {
		include(p.Priority)
	}
	for _, v := range s.Config.Services {
		include(v.Priority)
	}
	return low, high
}
