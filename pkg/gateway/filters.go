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
	// descriptorsPerRequest counts the sockets of a request: to the caller, to the upstream, and one that is closing.
	descriptorsPerRequest = 3
	// kilobytesPerRequest is an upper bound on the average memory of a request: body, buffers and stacks.
	kilobytesPerRequest = 128
	// memoryFraction is the fraction of the memory available to requests.
	memoryFraction = 0.5
	// keyAgeMargin is subtracted from the time for which a revoked key may still be used, to cover the way to the upstream.
	keyAgeMargin clock.Millis = 400
)

// filterChain returns the chain of filters that each request passes, in order.
func (h *Instance) filterChain() request.Handler {
	budgets := &dispatch.RetryBudgets{Share: h.Settings.Policy.RetryShare}
	h.relay = &delivery.Relay{
		Clock:   h.Clock,
		Log:     h.Log.WithName("delivery"),
		Wire:    h.Wire,
		Permit:  h.recheck,
		Dial:    h.Dial,
		Observe: h.observe,
	}
	h.relay.Open()
	return h.withMetrics(request.Chain(
		&desk.ResolveRoute{Snapshot: h.control.Snapshot, Clock: h.Clock, Age: h.control.Age, MaxDenialAge: h.Settings.Bounds.ConfigApply, Keys: h.maxKeyAge()},
		&pricing.ConfidenceCascade{Log: h.Log.WithName("pricing"), MinConfidence: &h.minConfidence, Budgets: budgets},
		&dispatch.Dispatch{
			Clock:    h.Clock,
			Log:      h.Log.WithName("dispatch"),
			Zone:     h.Settings.Zone,
			Snapshot: h.control.Snapshot,
			Loads:    h.board,
			Outliers: h.outliers,
			Releases: h.releases,
			Budgets:  budgets,
			Latency:  h.latencies,
			WorkMix:  h.longPromptShares,
			Placer:   h.loads,
		},
		h.relay,
	))
}

// withMetrics returns a handler that counts each call in the metrics.
func (h *Instance) withMetrics(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		err := next.Handle(ctx, c)
		h.metrics.ObserveCall(c, err, h.Clock.Now()-c.Request.ArrivedAt)
		return err
	})
}

func (h *Instance) intake() HandlerConfig {
	m := h.Settings.Machine
	limit := min(m.Descriptors/descriptorsPerRequest, int(memoryFraction*float64(m.MemoryMegabytes<<10)/kilobytesPerRequest))
	return HandlerConfig{
		Log:      h.Log.WithName("desk"),
		Clock:    h.Clock,
		Chain:    h.filterChain(),
		Snapshot: h.control.Snapshot,
		InFlight: h.inFlight,
		Limit:    limit,
		Closing:  h.draining.Load,
	}
}

// maxKeyAge returns the age of the view up to which its API keys are trusted.
func (h *Instance) maxKeyAge() clock.Millis { return h.Settings.Bounds.Revocation - keyAgeMargin }

// recheck checks the key and the upstream of a call against the latest view, right before its first byte is sent.
func (h *Instance) recheck(c *request.Call) error {
	s, now := h.control.Snapshot(), h.Clock.Now()
	if r := desk.KeyRefusal(s, c, h.control.Age(now), h.maxKeyAge()); r != nil {
		return r
	}
	for _, u := range s.Pools[c.Upstream.Service] {
		if u.Name == c.Upstream.Name && u.Incarnation == c.Upstream.Incarnation {
			return nil
		}
	}
	return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonUpstreamRefused, Detail: "the upstream takes no new work",
		Cause: &catalogue.ForbiddenError{Rule: "the upstream is draining or was removed"}}
}
