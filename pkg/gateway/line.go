package gateway

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/pricing"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// descriptorsPerRequest are the sockets of a request: one to the caller and one to the upstream, and one that is closing.
	descriptorsPerRequest = 3
	// kilobytesPerRequest is the memory that a request takes at most on average: its body, buffers and stacks.
	kilobytesPerRequest = 128
	// memoryPart is the part of the memory that requests may take.
	memoryPart = 0.5
	// staleMargin is kept from the bound on the use of keys, in milliseconds, for the way to the upstream.
	staleMargin clock.Millis = 400
)

// line joins the filters that a request passes, in order.
func (h *House) line() request.Handler {
	budgets := &dispatch.Budgets{Share: h.Settings.Policy.RetryShare}
	h.relay = &delivery.Relay{
		Clock:   h.Clock,
		Log:     h.Log.WithName("courier"),
		Wire:    h.Wire,
		Permit:  h.permit,
		Dial:    h.Dial,
		Observe: h.observe,
	}
	h.relay.Open()
	return h.counted(request.Line(
		&desk.Direct{Snapshot: h.control.Snapshot, Clock: h.Clock, Age: h.control.Age, Denial: h.Settings.Bounds.ConfigApply, Keys: h.keyLimit()},
		&pricing.Sizes{Log: h.Log.WithName("tariff"), Least: &h.least, Budgets: budgets},
		&dispatch.Dispatch{
			Clock:    h.Clock,
			Log:      h.Log.WithName("concierge"),
			Zone:     h.Settings.Zone,
			Snapshot: h.control.Snapshot,
			Board:    h.board,
			Outliers: h.outliers,
			Releases: h.releases,
			Budgets:  budgets,
			Paces:    h.paces,
			Lanes:    h.lanes,
			Places:   h.loads,
		},
		h.relay,
	))
}

// counted counts each call in the metrics.
func (h *House) counted(line request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		err := line.Handle(ctx, c)
		h.metrics.Count(c, err, h.Clock.Now()-c.Request.ArrivedAt)
		return err
	})
}

func (h *House) intake() Intake {
	m := h.Settings.Machine
	limit := min(m.Descriptors/descriptorsPerRequest, int(memoryPart*float64(m.MemoryMegabytes<<10)/kilobytesPerRequest))
	return Intake{
		Log:      h.Log.WithName("desk"),
		Clock:    h.Clock,
		Line:     h.line(),
		Snapshot: h.control.Snapshot,
		InFlight: h.inFlight,
		Limit:    limit,
		Closing:  h.draining.Load,
	}
}

func (h *House) keyLimit() clock.Millis { return h.Settings.Bounds.Revocation - staleMargin }

// permit checks a call once more right before its first byte leaves, on the view as it is then.
func (h *House) permit(c *request.Call) error {
	s, now := h.control.Snapshot(), h.Clock.Now()
	if r := desk.KeyRefusal(s, c, h.control.Age(now), h.keyLimit()); r != nil {
		return r
	}
	for _, u := range s.Pools[c.Upstream.Service] {
		if u.Name == c.Upstream.Name && u.Incarnation == c.Upstream.Incarnation {
			return nil
		}
	}
	return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonUpstreamRefused, Detail: "the upstream may get no new work",
		Cause: &catalogue.ForbiddenError{Rule: "the upstream is leaving or gone"}}
}
