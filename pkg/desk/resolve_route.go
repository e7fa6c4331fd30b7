package desk

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// minStaleRetryAfter is the shortest retry delay for callers refused by an instance whose view is stale, in milliseconds. The load
// balancer takes such an instance out of rotation after two seconds, and retries reach another one.
const minStaleRetryAfter clock.Millis = 300

// staleRetryAfter returns the retry delay for a caller refused for an age of the view above the limit, in milliseconds. An instance that is
// still asked long after that isn't the only one: the store is away, and the longer it has been the longer it is likely to be. The
// delay is spread, so that callers don't return all at once.
func staleRetryAfter(id string, age, limit clock.Millis) clock.Millis {
	wait := age - limit
	return minStaleRetryAfter + wait/2 + clock.Millis(float64(wait)*request.HashFraction("stale", id))
}

// ResolveRoute is the filter that resolves the route and the workspace of a request and sets its deadline.
type ResolveRoute struct {
	Clock    clock.Clock
	Snapshot func() *catalogue.Snapshot
	// Age returns the age of the view of the operators' confirmed changes, in milliseconds.
	Age func(now clock.Millis) clock.Millis
	// MaxDenialAge is the maximum age of the view at which a request may be refused for an unknown route or key, in milliseconds.
	MaxDenialAge clock.Millis
	// MaxKeyAge is the maximum age of the view at which workspace keys are accepted, in milliseconds.
	MaxKeyAge clock.Millis
}

// Filter refuses a call without a route or a valid key, and passes on any other.
func (f *ResolveRoute) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	s, now := f.Snapshot(), f.Clock.Now()
	if s.Routes == nil {
		return request.Refuse(request.ReasonStaleView, minStaleRetryAfter, "no configuration was read yet")
	}
	if s.Routes.Version < c.Request.MinTableVersion {
		return request.Refuse(request.ReasonStaleView, minStaleRetryAfter, "configuration %d is in force here, the request was accepted by %d", s.Routes.Version, c.Request.MinTableVersion)
	}
	age := f.Age(now)
	r := s.Routes.Find(c.Request.Host, c.Request.Path)
	if r == nil {
		return f.refuseIfFresh(age, request.Refuse(request.ReasonNotFound, 0, "no route for the host and path in configuration %d", s.Routes.Version))
	}
	c.Route, c.Priority = r, r.Priority
	c.LastEventID = c.Request.LastEventID
	c.SnapshotAt = now - age
	c.TableVersion = s.Routes.Version
	if refusal := KeyRefusal(s, c, age, f.MaxKeyAge); refusal != nil {
		return f.refuseIfFresh(age, refusal)
	}
	if key, ok := s.Routes.Keys[c.Request.Credential]; ok {
		c.Request.Workspace = key.Workspace
		if key.Priority != nil {
			c.Priority = *key.Priority
		}
	}
	if limit := c.Request.ArrivedAt + r.TimeLimit; r.TimeLimit > 0 && (c.Request.Deadline == 0 || limit < c.Request.Deadline) {
		c.Request.Deadline = limit
	}
	return next.Handle(ctx, c)
}

// refuseIfFresh returns the refusal when the view is fresh enough to justify it, and a retryable one otherwise.
func (f *ResolveRoute) refuseIfFresh(age clock.Millis, r *request.Refusal) *request.Refusal {
	if age <= f.MaxDenialAge || r.Reason == request.ReasonStaleView {
		return r
	}
	return request.Refuse(request.ReasonStaleView, minStaleRetryAfter, "the view is %d ms old, too old to deny by: %s", age, r.Detail)
}

// KeyRefusal returns the refusal for a call whose key is unknown or whose view is older than limit milliseconds, or nil.
func KeyRefusal(s *catalogue.Snapshot, c *request.Call, age, limit clock.Millis) *request.Refusal {
	if s.Routes.Keys == nil || c.Route.Anonymous {
		return nil
	}
	if age > limit {
		return request.Refuse(request.ReasonStaleView, staleRetryAfter(c.Request.ID, age, limit), "the view of the keys is %d ms old, the limit is %d ms", age, limit)
	}
	if _, ok := s.Routes.Keys[c.Request.Credential]; !ok {
		return request.Refuse(request.ReasonUnauthorized, 0, "the key is not in configuration %d", s.Routes.Version)
	}
	return nil
}
