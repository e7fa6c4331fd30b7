package gateway

import (
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/scaling"
)

// buildScaling creates the parts that order upstreams.
func (in *Instance) buildScaling(d *duties) {
	d.meter = &scaling.Meter{Clock: in.Clock, ReadingTime: in.readingTime}
	d.runner = &scaling.Runner{
		Clock: in.Clock, Log: in.Log.WithName("scaling"), Meter: d.meter, Lease: d.keeper, Platform: d.guard,
		Snapshot: in.control.Snapshot, ListAge: in.listAge, OnZone: in.registerZoneMetrics,
	}
}

// withMeter adds the filter that measures the demand, where upstreams are ordered.
func (in *Instance) withMeter(filters []request.Filter) []request.Filter {
	if in.duties == nil || in.duties.meter == nil {
		return filters
	}
	return append(filters, in.duties.meter)
}

// addOwnDemand adds the demand at this instance to the items that it shares with its peers.
func (in *Instance) addOwnDemand(items map[string]float32) {
	if in.duties != nil && in.duties.meter != nil {
		in.duties.meter.AddOwn(items)
	}
}

// applyPeerDemand takes the demand at the other instances from their items.
func (in *Instance) applyPeerDemand(items map[string]float32) {
	if in.duties != nil && in.duties.meter != nil {
		in.duties.meter.SetPeers(items)
	}
}

// scalingState returns the numbers of upstreams that are ordered, or nil where none are.
func (in *Instance) scalingState() []scaling.ZoneState {
	if in.duties == nil || in.duties.runner == nil {
		return nil
	}
	return in.duties.runner.Zones()
}

// readingTime returns the time that an upstream takes to read the prompt of a call, in milliseconds; it is 0 while nothing is known of
// the model.
func (in *Instance) readingTime(c *request.Call) float64 {
	if c.Request.Prompt == nil {
		return 0
	}
	return in.latencies.ReadingTime(c.Model, c.Request.Prompt.Tokens)
}

// listAge returns the time since the upstream list was read.
func (in *Instance) listAge() clock.Millis {
	at := in.control.listReadAt.Load()
	if at == 0 {
		return unknownAge
	}
	return in.Clock.Now() - clock.Millis(at)
}

// registerZoneMetrics registers the metrics of the number of upstreams of a service in an availability zone.
func (in *Instance) registerZoneMetrics(service, zone string) {
	for _, c := range []struct {
		name, help string
		read       func(z scaling.ZoneState) int
	}{
		{"carawayknot_upstreams_running", "Upstreams that run.", func(z scaling.ZoneState) int { return z.Running }},
		{"carawayknot_upstreams_wanted", "Upstreams that should run, at the instance that orders them.", func(z scaling.ZoneState) int { return z.Wanted }},
		{"carawayknot_upstreams_ordered", "Upstreams of an order that is under way, or 0.", func(z scaling.ZoneState) int { return z.Ordered }},
	} {
		in.metrics.RegisterGauge(c.name, c.help, func() float64 {
			for _, z := range in.scalingState() {
				if z.Service == service && z.Zone == zone {
					return float64(c.read(z))
				}
			}
			return 0
		}, "service", service, "zone", zone)
	}
}
