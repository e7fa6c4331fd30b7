package trace

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// baselineRetries is the number of retries of a baseline policy.
const baselineRetries = 2

// permittedVersions returns the available versions that the workspace of the call may use, in the order of the workspace.
func (in *instance) permittedVersions(c *request.Call) []*catalogue.Version {
	var permitted []*catalogue.Version
	for _, id := range c.Workspace.Versions {
		if in.snapshot.PermitVersion(c.Workspace.Name, id) == nil && len(in.upstreamsOf(id)) > 0 {
			permitted = append(permitted, in.snapshot.Config.Versions[id])
		}
	}
	return permitted
}

func (in *instance) upstreamsOf(id catalogue.VersionID) []*catalogue.Upstream {
	return dispatch.NewIndex(in.snapshot).ByVersion(id)
}

// roundRobinVersionFilter cycles through the permitted versions.
type roundRobinVersionFilter struct {
	instance *instance
	calls    int
}

// Filter sets the next version in turn on a chat completion.
func (f *roundRobinVersionFilter) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if permitted := f.instance.permittedVersions(c); c.Service == nil && len(permitted) > 0 {
		f.calls++
		c.Version = permitted[f.calls%len(permitted)]
	}
	return next.Handle(ctx, c)
}

// estimateVersionFilter takes the best permitted version by the price or quality that operators state.
type estimateVersionFilter struct {
	instance *instance
	better   func(a, b *catalogue.Version, task string) bool
}

func higherQuality(a, b *catalogue.Version, task string) bool {
	return a.Quality[task] > b.Quality[task]
}

func lowerPrice(a, b *catalogue.Version, _ string) bool { return a.OutputCost < b.OutputCost }

// Filter sets the best version by estimate on a chat completion.
func (f *estimateVersionFilter) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Service != nil {
		return next.Handle(ctx, c)
	}
	for _, v := range f.instance.permittedVersions(c) {
		if c.Version == nil || f.better(v, c.Version, c.Profile.Task) {
			c.Version = v
		}
	}
	return next.Handle(ctx, c)
}

// leastLoadedVersionFilter takes the permitted version that the least loaded upstream serves.
type leastLoadedVersionFilter struct{ instance *instance }

// Filter sets the version of the least loaded upstream on a chat completion.
func (f *leastLoadedVersionFilter) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Service != nil {
		return next.Handle(ctx, c)
	}
	var least *catalogue.Upstream
	for _, v := range f.instance.permittedVersions(c) {
		u := pickLeastLoaded(f.instance, c, f.instance.upstreamsOf(v.ID))
		if least == nil || f.instance.inFlightAt(u) < f.instance.inFlightAt(least) {
			least, c.Version = u, v
		}
	}
	return next.Handle(ctx, c)
}

func (in *instance) inFlightAt(u *catalogue.Upstream) int {
	return u.Load.InFlight + in.inFlight.InFlight(u.Name)
}

// pickFunc picks an upstream from a non-empty list of candidates.
type pickFunc func(in *instance, c *request.Call, candidates []*catalogue.Upstream) *catalogue.Upstream

func pickRoundRobin() pickFunc {
	calls := 0
	return func(_ *instance, _ *request.Call, candidates []*catalogue.Upstream) *catalogue.Upstream {
		calls++
		return candidates[calls%len(candidates)]
	}
}

func pickLeastLoaded(in *instance, _ *request.Call, candidates []*catalogue.Upstream) *catalogue.Upstream {
	least := candidates[0]
	for _, u := range candidates[1:] {
		if in.inFlightAt(u) < in.inFlightAt(least) {
			least = u
		}
	}
	return least
}

// simplePlacementFilter picks upstreams without per-instance shares, queueing and a retry budget.
type simplePlacementFilter struct {
	instance *instance
	pick     pickFunc
}

// Filter sends the call to the picked upstream, and retries safe failures at most baselineRetries times.
func (f *simplePlacementFilter) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	for attempt := 0; ; attempt++ {
		index := dispatch.NewIndex(f.instance.snapshot)
		var candidates []*catalogue.Upstream
		if c.Service != nil {
			candidates = index.ByService(c.Service.Name)
		} else if c.Version != nil {
			candidates = index.ByVersion(c.Version.ID)
		}
		if len(candidates) == 0 {
			return dispatch.NoUpstream(c)
		}
		c.Upstream = f.pick(f.instance, c, candidates)
		err := f.send(ctx, c, next)
		if err == nil || attempt == baselineRetries || !dispatch.MayRetry(err, c.Request.Repeatable) {
			return err
		}
	}
}

func (f *simplePlacementFilter) send(ctx context.Context, c *request.Call, next request.Handler) error {
	const noLimit = 1 << 30
	name := c.Upstream.Name
	f.instance.inFlight.Acquire(name, noLimit)
	defer f.instance.inFlight.Release(name)
	return next.Handle(ctx, c)
}
