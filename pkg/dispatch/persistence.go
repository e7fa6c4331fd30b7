package dispatch

import (
	"context"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// firstUpstreamPause and maxUpstreamPause bound the time between two rounds of attempts of a call that must not be given up, before
	// jitter and in milliseconds; it doubles with each round.
	firstUpstreamPause clock.Millis = 100
	maxUpstreamPause   clock.Millis = 800
)

// persistence is the state of a call that is not given up while upstreams decline it: its answer has begun or was dropped, or an attempt
// was aborted that its upstream might still have answered.
type persistence struct {
	required bool
	pause    clock.Millis
}

// update notes whether the call must not be given up after an attempt that failed; retry is the one reserved for that attempt.
func (p *persistence) update(c *request.Call, r *request.Refusal, retry *abortReserve) {
	aborted := r.Outcome != request.NotRun && retry.isReserved()
	p.required = p.required || c.HeadWritten || aborted && c.Fallback != request.FallbackLeft
}

// mayOvercome reports whether the reason against a retry may pass while the call waits.
func (p *persistence) mayOvercome(stopReason string) bool {
	return p.required && (stopReason == stopDeclined || stopReason == stopBudgetExhausted)
}

// awaitUpstream waits until the call may be tried again, and then has taken one retry from the budget unless that was paid before; it
// returns false when the caller has left or too little time remains.
func (f *Dispatch) awaitUpstream(ctx context.Context, c *request.Call, p *persistence, r *request.Refusal, paid bool) bool {
	for {
		p.pause = min(max(firstUpstreamPause, 2*p.pause), maxUpstreamPause)
		pause := min(jitter(c.Request.ID, p.pause), f.timeToRetry(c.Request.Deadline, c.Route))
		if pause <= 0 || clock.Sleep(ctx, f.Clock, pause) != nil {
			return false
		}
		if paid || f.Budgets.TryWithdraw(c.Pool.Name, f.Clock.Now()) {
			f.Log.Info("trying a request again after a pause", "request", c.Request.ID, "route", c.Route.Name, "pauseMs", pause,
				"reason", r.Reason, "outcome", r.Outcome, "error", r.Error(), "after", c.LastEventID, "runs", c.Runs)
			return true
		}
	}
}
