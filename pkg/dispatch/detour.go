package dispatch

import (
	"context"
	"errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/placement"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// maxDetours is the number of other instances that may decline a call before this instance tries its own links again.
	maxDetours = 3
	// unreachedForDetour is the number of upstreams that a call fails to reach until it goes through another instance.
	unreachedForDetour = 2
)

// Detours tells which services are not reached from here, and through which instances their calls go.
type Detours interface {
	Observe(u *catalogue.Upstream, reached bool, startedAt clock.Millis)
	Cut(service string) bool
	Next(service, requestID string, tried []string) *catalogue.Upstream
	Avoid(service, instance string)
	Via(service, instance string) *catalogue.Upstream
}

// InstanceSender sends a call to the instance in c.Upstream once; it doesn't call next.
type InstanceSender interface {
	Filter(ctx context.Context, c *request.Call, next request.Handler) error
}

// detour returns the instance through which the next attempt of the call goes, or nil if it uses the links of this one. The other instance
// runs the call once; this one goes on deciding on retries. A call that another instance has handed over goes no further.
func (f *Dispatch) detour(c *request.Call, p *callProgress) (via *catalogue.Upstream, refusal *request.Refusal) {
	if f.Detours == nil {
		return nil, nil
	}
	service := Service(c)
	cut := f.Detours.Cut(service)
	if c.Request.HandedOver {
		if cut {
			return nil, request.Refuse(request.ReasonNoUpstream, jitter(c.Request.ID, clock.Second/2), "no upstream of %s is reached", service)
		}
		return nil, nil
	}
	pool := f.Snapshot().Routes.Pools[service]
	if pool == nil || !cut && p.unreached < unreachedForDetour || len(p.declinedBy) >= maxDetours {
		return nil, nil
	}
	if via = f.Detours.Next(service, c.Request.ID, p.declinedBy); via != nil {
		f.prepareDetour(c, pool)
	}
	return via, nil
}

func (f *Dispatch) prepareDetour(c *request.Call, pool *catalogue.Pool) {
	c.Pool, c.TokensAhead, c.FirstByteTimeout = pool, 0, 0
	if !c.HeadWritten && c.Runs+1 < c.Route.MaxAttempts {
		c.FirstByteTimeout = f.firstByteTimeout(c, placement.Forecast{})
	}
}

// holder returns an instance that holds slots for a call that was refused because those of this instance are taken, or nil if there is none.
func (f *Dispatch) holder(c *request.Call, p *callProgress, refusal *request.Refusal) *catalogue.Upstream {
	if f.Detours == nil || refusal == nil || refusal.Reason != request.ReasonOverloaded || c.Request.HandedOver || len(p.declinedBy) >= maxDetours {
		return nil
	}
	name := f.Slots.Holder(f.Snapshot().Pools[c.Pool.Name], c.Request.ID, p.declinedBy, f.Clock.Now())
	if name == "" {
		return nil
	}
	via := f.Detours.Via(c.Pool.Name, name)
	if via != nil {
		f.prepareDetour(c, c.Pool)
	}
	return via
}

// sendThrough sends the call through another instance; the outcome tells nothing of upstreams.
func (f *Dispatch) sendThrough(ctx context.Context, c *request.Call, a *attempt) error {
	c.OnFirstEvent = a.FirstEvent
	err := f.Through.Filter(ctx, c, nil)
	var r *request.Refusal
	if errors.As(err, &r) {
		r.UpstreamDown = false
	}
	return err
}

// observeReach records whether an attempt reached its upstream.
func (f *Dispatch) observeReach(c *request.Call, p *callProgress, err error, startedAt clock.Millis) {
	if f.Detours == nil {
		return
	}
	var r *request.Refusal
	unreached := errors.As(err, &r) && r.Unreached
	if r != nil && r.Outcome == request.NotRun && (r.Reason == request.ReasonDeadline || r.Reason == request.ReasonCallerGone) && !unreached {
		// It wasn't tried.
		return
	}
	if unreached {
		p.unreached++
	}
	f.Detours.Observe(c.Upstream, !unreached, startedAt)
}

// mayDetour reports whether a call whose attempt reached no upstream, or was declined by another instance, is tried again at once. Nothing
// has reached an upstream then, so that it takes no retry from the budget.
func (f *Dispatch) mayDetour(ctx context.Context, c *request.Call, p *callProgress, r *request.Refusal, via bool) bool {
	if f.Detours == nil || c.Request.HandedOver || r.Outcome != request.NotRun || ctx.Err() != nil || f.timeToRetry(c.Request.Deadline, c.Route) <= 0 {
		return false
	}
	if via {
		p.declinedBy = append(p.declinedBy, c.Upstream.Name)
		switch {
		case !p.crowded:
			f.Detours.Avoid(c.Upstream.Service, c.Upstream.Name)
		case len(p.declinedBy) == maxDetours:
			f.Slots.HoldersBusy(c.Upstream.Service, f.Clock.Now())
		}
		log := f.Log
		if p.crowded {
			// Refusals of calls that find no slot anywhere say as much.
			log = log.V(1)
		}
		log.Info("another instance didn't take the request", "request", c.Request.ID, "route", c.Route.Name, "instance", c.Upstream.Name,
			"reason", r.Reason, "error", r.Error())
		return true
	}
	if !r.Unreached {
		return false
	}
	if next, _ := f.detour(c, p); next == nil {
		return false
	}
	c.Excluded = append(c.Excluded, c.Upstream.Name)
	return true
}
