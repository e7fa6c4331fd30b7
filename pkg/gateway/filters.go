package gateway

import (
	"context"

	"carawayknot.example/carawayknot/pkg/admission"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/pricing"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// bufferFraction is the fraction of the memory that responses may hold before they are forwarded.
	bufferFraction = 0.0625
	// keyAgeMargin is subtracted from the time for which a revoked key may still be used, to cover the time that a request takes to
	// reach the upstream.
	keyAgeMargin clock.Millis = 400
	// plannedRetryShare is the part of the share of retries that is planned for; the rest covers the time that requests take to arrive.
	plannedRetryShare = 0.95
)

// filterChain returns the chain of filters that each request passes, in order.
func (in *Instance) filterChain() request.Handler {
	budgets := in.retryBudgets()
	in.relay = &delivery.Relay{
		Clock:        in.Clock,
		Log:          in.Log.WithName("delivery"),
		Wire:         in.Wire,
		Permit:       in.recheck,
		Dial:         in.Dial,
		Observe:      in.observe,
		BufferBytes:  int64(bufferFraction * float64(in.Settings.Machine.MemoryMegabytes<<20)),
		Memory:       in.accounts.callers,
		MaxIdleConns: int(idleUpstreamConns * float64(maxInFlight(&in.Settings.Machine))),
		OnProgress:   in.progress,
		OnLimit: func(upstream string, limit request.NamedLimit, sentAt clock.Millis) {
			in.limits.Observe(upstream, limit, sentAt, in.Clock.Now())
		},
		OnRoom: func(u *catalogue.Upstream, room request.Room, sentAt clock.Millis) {
			now := in.Clock.Now()
			in.slots.Observe(u, room, sentAt, now)
			in.planner.Report(u, room.Load, now)
		},
		OnNotice: func(u *catalogue.Upstream, notice request.Notice) { in.notices.Observe(u, notice, in.Clock.Now()) },
	}
	in.relay.Open()
	in.through = &delivery.Relay{
		Clock: in.Clock, Log: in.Log.WithName("delivery"), Wire: in.InstanceWire, Dial: in.Dial,
		Permit:       func(*request.Call) error { return nil },
		Observe:      func(*request.Call, request.Sample) { in.detours.CountSent() },
		BufferBytes:  in.relay.BufferBytes,
		Memory:       in.accounts.callers,
		MaxIdleConns: int(idleInstanceConns * float64(maxInFlight(&in.Settings.Machine))),
		OnNotice: func(_ *catalogue.Upstream, notice request.Notice) {
			u := &catalogue.Upstream{Name: notice.Upstream, Incarnation: notice.Incarnation}
			in.notices.Observe(u, request.Notice{Leaving: notice.Leaving}, in.Clock.Now())
		},
	}
	in.through.Open()
	d := &dispatch.Dispatch{
		Clock:     in.Clock,
		Log:       in.Log.WithName("dispatch"),
		Zone:      in.Settings.Zone,
		Snapshot:  in.control.Snapshot,
		Loads:     in.loadTracker,
		Outliers:  in.outliers,
		Releases:  in.releases,
		Budgets:   budgets,
		Latency:   in.latencies,
		Suspects:  in.suspects,
		Limits:    in.limits,
		Slots:     in.slots,
		Notices:   in.notices,
		Placement: in.planner,
		Detours:   in.detours,
		Through:   in.through,
	}
	filters := []request.Filter{
		delivery.FinalOutcome{},
		&desk.ResolveRoute{Snapshot: in.control.Snapshot, Clock: in.Clock, Age: in.control.Age, MaxDenialAge: in.Settings.Bounds.ConfigApply, MaxKeyAge: in.maxKeyAge()},
		&lateCalls{Clock: in.Clock, ClosingAt: &in.closingAt},
		&admission.Gate{
			Clock: in.Clock, Log: in.Log.WithName("admission"), Pool: in.pool, Urgency: in.urgency, ExpectedWait: d.ExpectedWait,
			OnRefused: in.metrics.ObserveGaveWay,
		},
		&pricing.ConfidenceCascade{
			Log: in.Log.WithName("pricing"), Clock: in.Clock, LeastSuccess: &in.leastSuccess, Calibration: in.calibration,
			ExpectedWait: d.ExpectedWait, Urgency: in.urgency, InTime: d.InTime, Budgets: budgets,
		},
		d,
	}
	return in.withMetrics(request.Chain(append(in.withMeter(filters), in.relay)...))
}

// pool returns the pool of the service that a call goes to, or nil.
func (in *Instance) pool(c *request.Call) *catalogue.Pool {
	return in.control.Snapshot().Routes.Pools[dispatch.Service(c)]
}

// urgency returns the urgency of a call by the latest configuration.
func (in *Instance) urgency(c *request.Call) admission.Urgency {
	return in.urgencies.Of(in.control.Snapshot().Routes, c.Pool.Name, c.Priority)
}

// retryBudgets returns the budgets of the services, which keep within the bounds of the settings over all instances.
func (in *Instance) retryBudgets() *dispatch.RetryBudgets {
	b := &in.Settings.Bounds
	return &dispatch.RetryBudgets{
		Share:     min(in.Settings.Policy.RetryShare, plannedRetryShare*b.RetryShare),
		Window:    b.RetryWindow(),
		Slack:     b.RetrySlack,
		Members:   func() int { return len(in.control.Snapshot().Members) },
		StartedAt: in.startedAt,
	}
}

// withMetrics returns a handler that counts each call in the metrics.
func (in *Instance) withMetrics(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		err := next.Handle(ctx, c)
		in.metrics.ObserveCall(c, err, in.Clock.Now()-c.Request.ArrivedAt)
		return err
	})
}

func (in *Instance) handlerConfig() HandlerConfig {
	return HandlerConfig{
		Log:       in.Log.WithName("desk"),
		Clock:     in.Clock,
		Chain:     in.filterChain(),
		Snapshot:  in.control.Snapshot,
		InFlight:  in.inFlight,
		Callers:   in.accounts.callers,
		OnRefused: func(r *request.Refusal) { in.metrics.ObserveRefusal(r) },
		Limit:     maxInFlight(&in.Settings.Machine),
		Closing:   in.draining.Load,
	}
}

// maxKeyAge returns the age of the view up to which its API keys are trusted.
func (in *Instance) maxKeyAge() clock.Millis { return in.Settings.Bounds.Revocation - keyAgeMargin }

// recheck checks the key and the upstream of a call against the latest view, and what the upstream has said meanwhile, right before its first byte
// is sent.
func (in *Instance) recheck(c *request.Call) error {
	s, now := in.control.Snapshot(), in.Clock.Now()
	if r := desk.KeyRefusal(s, c, in.control.Age(now), in.maxKeyAge()); r != nil {
		return r
	}
	rule := "the upstream is draining or was removed"
	for _, u := range s.Pools[c.Upstream.Service] {
		if u.Name != c.Upstream.Name || u.Incarnation != c.Upstream.Incarnation {
			continue
		}
		if in.notices.Takes(u, now) {
			return nil
		}
		rule = "the upstream leaves or wants no requests for now"
	}
	return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonUpstreamRefused, Detail: "the upstream may get no new work",
		Cause: &catalogue.ForbiddenError{Rule: rule}}
}
