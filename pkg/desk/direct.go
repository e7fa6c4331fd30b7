package desk

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// comeBack is when a caller that can't be served for want of a current view should come back, in milliseconds; the balancer
// takes an instance out after two seconds and callers come back by another one.
const comeBack clock.Millis = 300

// Direct is the filter that finds the route and the workspace of a request and sets its time limit.
type Direct struct {
	Clock    clock.Clock
	Snapshot func() *catalogue.Snapshot
	// Age returns how old the view of what operators confirmed is, in milliseconds.
	Age func(now clock.Millis) clock.Millis
	// Denial is the age up to which a request may be turned away because it is not in the view.
	Denial clock.Millis
	// Keys is the age up to which keys may be used.
	Keys clock.Millis
}

// Filter passes the call on with its route.
func (f *Direct) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	s, now := f.Snapshot(), f.Clock.Now()
	if s.Routes == nil {
		return request.Refuse(request.ReasonStaleView, comeBack, "no configuration was read yet")
	}
	age := f.Age(now)
	r := s.Routes.Find(c.Request.Host, c.Request.Path)
	if r == nil {
		return f.deny(age, request.Refuse(request.ReasonNotFound, 0, "no route for the host and path in configuration %d", s.Routes.Version))
	}
	c.Route, c.Priority = r, r.Priority
	c.After = c.Request.After
	c.ViewAt = now - age
	c.TableVersion = s.Routes.Version
	if refusal := KeyRefusal(s, c, age, f.Keys); refusal != nil {
		return f.deny(age, refusal)
	}
	if holder, known := s.Routes.Keys[c.Request.Credential]; known {
		c.Request.Workspace = holder.Workspace
		if holder.Priority != nil {
			c.Priority = *holder.Priority
		}
	}
	if limit := c.Request.ArrivedAt + r.TimeLimit; r.TimeLimit > 0 && (c.Request.Deadline == 0 || limit < c.Request.Deadline) {
		c.Request.Deadline = limit
	}
	return next.Handle(ctx, c)
}

// deny returns the refusal when the view is new enough to deny a request by it, and a request to come back otherwise.
func (f *Direct) deny(age clock.Millis, r *request.Refusal) *request.Refusal {
	if age <= f.Denial || r.Reason == request.ReasonStaleView {
		return r
	}
	return request.Refuse(request.ReasonStaleView, comeBack, "the view is %d ms old, too old to deny by: %s", age, r.Detail)
}

// KeyRefusal returns why the key of a call may not be used now, or nil; limit is the age up to which keys may be used.
func KeyRefusal(s *catalogue.Snapshot, c *request.Call, age, limit clock.Millis) *request.Refusal {
	if s.Routes.Keys == nil || c.Route.Anonymous {
		return nil
	}
	if age > limit {
		return request.Refuse(request.ReasonStaleView, comeBack, "the view of the keys is %d ms old, the limit is %d ms", age, limit)
	}
	if _, known := s.Routes.Keys[c.Request.Credential]; !known {
		return request.Refuse(request.ReasonUnauthorized, 0, "the key is not in configuration %d", s.Routes.Version)
	}
	return nil
}
