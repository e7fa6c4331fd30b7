package dispatch

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// minRetryAfter is the least time that a refused caller is told to wait, in milliseconds.
const minRetryAfter clock.Millis = 100

// Admit is the filter that refuses calls for which the instance or the workspace has no room.
type Admit struct {
	settings.Common
	Snapshot func() *catalogue.Snapshot
	// Admission is shared by all calls of the instance.
	Admission *Admission
}

// Filter lets the call in or refuses it at once.
func (f *Admit) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	start := f.Clock.Now()
	if r := f.Admission.Enter(f.Snapshot(), c, start); r != nil {
		return r
	}
	defer func() { f.Admission.Leave(c, f.Clock.Now()-start) }()
	return next.Handle(ctx, c)
}

// jitter spreads a wait over up to twice its length, so that refused callers don't return together.
func jitter(id string, wait clock.Millis) clock.Millis {
	return wait + clock.Millis(float64(wait)*request.Fraction("retry-after", id))
}

// callPriority is the priority of the call's profile or service.
func callPriority(c *request.Call) int {
	switch {
	case c.Service != nil:
		return c.Service.Priority
	case c.Profile != nil:
		return c.Profile.Priority
	}
	return 0
}

// priorityRange returns the lowest and the highest priority of the configuration.
func priorityRange(s *catalogue.Snapshot) (low, high int) {
	first := true
	take := func(p int) {
		if first {
			low, high, first = p, p, false
		}
		low, high = min(low, p), max(high, p)
	}
	for _, p := range s.Config.Profiles {
		take(p.Priority)
	}
	for _, v := range s.Config.Services {
		take(v.Priority)
	}
	return low, high
}
