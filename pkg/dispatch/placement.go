package dispatch

import (
	"errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/placement"
	"carawayknot.example/carawayknot/pkg/request"
)

// Placement predicts what the upstreams of a service would give a call. It knows nothing of services whose upstreams don't report the pace of
// their machines.
type Placement interface {
	Choose(c *request.Call, upstreams []*catalogue.Upstream, now clock.Millis) (placement.Choice, bool)
	Start(c *request.Call, choice placement.Choice, now clock.Millis) *placement.Stay
	InTime(c *request.Call, model string, upstreams []*catalogue.Upstream, now clock.Millis) (chance float64, ok bool)
}

// selectWarm selects one of the warm upstreams, by predictions where there are any.
func (f *Dispatch) selectWarm(c *request.Call, selector *Selector, warm []*catalogue.Upstream) placement.Choice {
	if f.Placement != nil {
		if choice, ok := f.Placement.Choose(c, selector.healthy(warm), selector.Now); ok {
			return choice
		}
	}
	return placement.Choice{Upstream: selector.Select(warm)}
}

// startPlaced counts an attempt that is about to be sent; choice is that of its upstream.
func (f *Dispatch) startPlaced(c *request.Call, choice placement.Choice) *placement.Stay {
	if f.Placement == nil {
		return nil
	}
	return f.Placement.Start(c, choice, f.Clock.Now())
}

// upstreamFailed reports whether an attempt failed because its upstream is gone, or another one is at its address.
func upstreamFailed(err error) bool {
	var r *request.Refusal
	if !errors.As(err, &r) {
		return false
	}
	return r.Unreached || r.UpstreamDown || r.WrongUpstream
}

// InTime predicts the chance that a model's answer to the call would begin within the target latency of the route, and reports whether
// anything is known of it.
func (f *Dispatch) InTime(c *request.Call, model string) (chance float64, ok bool) {
	if f.Placement == nil || c.Pool == nil || c.Request.Prompt == nil {
		return 0, false
	}
	now := f.Clock.Now()
	warm, _ := splitCold(f.open(f.Snapshot().Pools[c.Pool.Name], now), now)
	return f.Placement.InTime(c, model, warm, now)
}
