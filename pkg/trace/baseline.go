package trace

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// simpleRetries is how often a baseline tries another upstream.
const simpleRetries = 2

// allowed returns the versions that the call may run on, in the order of the workspace.
func (in *instance) allowed(c *request.Call) []*catalogue.Version {
	var out []*catalogue.Version
	for _, id := range c.Workspace.Versions {
		if in.snapshot.PermitVersion(c.Workspace.Name, id) == nil && len(in.upstreams(id)) > 0 {
			out = append(out, in.snapshot.Config.Versions[id])
		}
	}
	return out
}

func (in *instance) upstreams(id catalogue.VersionID) []*catalogue.Upstream {
	return dispatch.NewIndex(in.snapshot).Versions(id)
}

// chooseInTurn takes the allowed versions in turn.
type chooseInTurn struct {
	instance *instance
	turn     int
}

// Filter chooses the next version.
func (f *chooseInTurn) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if allowed := f.instance.allowed(c); c.Service == nil && len(allowed) > 0 {
		f.turn++
		c.Version = allowed[f.turn%len(allowed)]
	}
	return next.Handle(ctx, c)
}

// chooseByEstimate takes the best version by the operator's statements.
type chooseByEstimate struct {
	instance *instance
	better   func(a, b *catalogue.Version, task string) bool
}

func higherQuality(a, b *catalogue.Version, task string) bool {
	return a.Quality[task] > b.Quality[task]
}

func lowerPrice(a, b *catalogue.Version, _ string) bool { return a.OutputCost < b.OutputCost }

// Filter chooses the version.
func (f *chooseByEstimate) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Service != nil {
		return next.Handle(ctx, c)
	}
	for _, v := range f.instance.allowed(c) {
		if c.Version == nil || f.better(v, c.Version, c.Profile.Task) {
			c.Version = v
		}
	}
	return next.Handle(ctx, c)
}

// chooseLeastLoaded takes an allowed version that the least loaded upstream serves.
type chooseLeastLoaded struct{ instance *instance }

// Filter chooses the version.
func (f *chooseLeastLoaded) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Service != nil {
		return next.Handle(ctx, c)
	}
	var least *catalogue.Upstream
	for _, v := range f.instance.allowed(c) {
		u := leastLoaded(f.instance, c, f.instance.upstreams(v.ID))
		if least == nil || f.instance.loadOf(u) < f.instance.loadOf(least) {
			least, c.Version = u, v
		}
	}
	return next.Handle(ctx, c)
}

func (in *instance) loadOf(u *catalogue.Upstream) int {
	return u.Load.InFlight + in.flights.InFlight(u.Name)
}

// pickFunc picks an upstream among at least one.
type pickFunc func(in *instance, c *request.Call, from []*catalogue.Upstream) *catalogue.Upstream

func inTurn() pickFunc {
	turn := 0
	return func(_ *instance, _ *request.Call, from []*catalogue.Upstream) *catalogue.Upstream {
		turn++
		return from[turn%len(from)]
	}
}

func leastLoaded(in *instance, _ *request.Call, from []*catalogue.Upstream) *catalogue.Upstream {
	least := from[0]
	for _, u := range from[1:] {
		if in.loadOf(u) < in.loadOf(least) {
			least = u
		}
	}
	return least
}

// placeSimply picks upstreams without shares, queue and retry budget.
type placeSimply struct {
	instance *instance
	pick     pickFunc
}

// Filter sends the call on, and again when that may be done.
func (f *placeSimply) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	for attempt := 0; ; attempt++ {
		x := dispatch.NewIndex(f.instance.snapshot)
		var from []*catalogue.Upstream
		if c.Service != nil {
			from = x.Services(c.Service.Name)
		} else if c.Version != nil {
			from = x.Versions(c.Version.ID)
		}
		if len(from) == 0 {
			return dispatch.NoUpstream(c)
		}
		c.Upstream = f.pick(f.instance, c, from)
		err := f.send(ctx, c, next)
		if err == nil || attempt == simpleRetries || !dispatch.MayRetry(err, c.Request.Repeatable) {
			return err
		}
	}
}

func (f *placeSimply) send(ctx context.Context, c *request.Call, next request.Handler) error {
	const noLimit = 1 << 30
	name := c.Upstream.Name
	f.instance.flights.Acquire(name, noLimit)
	defer f.instance.flights.Release(name)
	return next.Handle(ctx, c)
}
