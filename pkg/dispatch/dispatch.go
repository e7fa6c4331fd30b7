package dispatch

import (
	"context"
	"errors"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/occupancy"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// maxDeclines is the number of upstreams that may decline a call before it is refused.
	maxDeclines = 3
	// declinedRetryAfter is the Retry-After of a call that upstreams declined because they are full, before jitter and in
	// milliseconds; a queue of 20 calls of 60 ms at 6 slots drains in half that time.
	declinedRetryAfter clock.Millis = 400
	// minTimeLeftShare is the fraction of the route's target latency that must be left before the deadline for a retry.
	minTimeLeftShare = 0.2
)

// Dispatch is the filter that sends a routed call to an upstream, and retries it at others while that is safe and within budget.
type Dispatch struct {
	Clock    clock.Clock
	Log      logr.Logger
	Zone     string
	Snapshot func() *catalogue.Snapshot
	Loads    *LoadTracker
	Outliers *OutlierDetector
	Releases *Releases
	// Budgets limits the retries of each service.
	Budgets *RetryBudgets
	// Latency tracks the time to the first token of each model.
	Latency *LatencyTracker
	// Limits keeps the limits that upstreams named; nil keeps none.
	Limits *NamedLimits
	// Slots bounds the requests in flight at upstreams that bear few rejections; nil bounds none.
	Slots *occupancy.Slots
	// Notices keeps which upstreams want no requests; nil keeps none.
	Notices *Notices
	// Suspects quarantines requests, and parts of prompts, under which upstreams crash; nil quarantines none.
	Suspects *CrashSuspects
	// Placement places calls by predictions; nil places none.
	Placement Placement
	// Detours finds other instances for calls of services that aren't reached from here, and Through sends a call to one of them; without
	// Detours, all calls use the links of this instance.
	Detours Detours
	Through InstanceSender
}

// FailedResponse is an error that carries the upstream's own error response, which the caller gets if no retry succeeds.
type FailedResponse interface {
	error
	// Forward writes the response to the caller.
	Forward(ctx context.Context, c *request.Call) error
}

// callProgress is what the attempts of a call have come to.
type callProgress struct {
	// declines counts the attempts that no upstream ran, and crashes the upstreams that ended before they began to answer.
	declines, crashes int
	// unreached counts the attempts that didn't connect to their upstream, and declinedBy has the instances that didn't take the call.
	unreached  int
	declinedBy []string
	// crowded is true while the call goes through another instance because the slots of this one are taken.
	crowded bool
	// runsBefore is the number of runs before the first attempt.
	runsBefore int
	persist    persistence
	// failed is the last error response of an upstream.
	failed FailedResponse
}

// Filter sends the call to one upstream after another, and returns the last error if none answers.
func (f *Dispatch) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	c.Excluded = nil
	p := &callProgress{runsBefore: c.Runs, persist: persistence{required: c.Fallback == request.FallbackTaken}}
	for {
		if again, err := f.tryUpstream(ctx, c, p, next); !again {
			return err
		}
	}
}

// tryUpstream sends the call to one upstream, and reports whether it may be tried again.
func (f *Dispatch) tryUpstream(ctx context.Context, c *request.Call, p *callProgress, next request.Handler) (again bool, err error) {
	a := &attempt{loads: f.Loads, clock: f.Clock}
	if refusal := f.Suspects.Admit(&a.SuspectWatch, c); refusal != nil {
		return false, refusal
	}
	u, refusal := f.detour(c, p)
	via := u != nil
	p.crowded = false
	if u == nil && refusal == nil {
		a.choice, a.stay, refusal = f.choose(c)
		u = a.choice.Upstream
		if holder := f.holder(c, p, refusal); holder != nil {
			u, refusal, via, p.crowded = holder, nil, true, true
		}
	}
	if refusal != nil {
		a.End(nil, false)
		if p.persist.required && f.awaitUpstream(ctx, c, &p.persist, refusal, true) {
			c.Excluded = nil
			return true, nil
		}
		return false, f.finalError(ctx, c, refusal, p.failed)
	}
	c.Upstream = u
	if c.Attempts == 0 && !c.Request.HandedOver {
		f.Budgets.Deposit(u.Service, f.Clock.Now())
	}
	retry := f.allowAbort(c)
	defer retry.close()
	if via {
		err = f.sendThrough(ctx, c, a)
	} else {
		startedAt := f.Clock.Now()
		err = f.send(ctx, c, a, next)
		f.Slots.Leave(a.stay, endOf(err), f.Clock.Now())
		f.observeReach(c, p, err, startedAt)
	}
	if a.end(err) {
		p.crashes++
	}
	if !via {
		f.recordAttempt(c, u, err)
	}
	var r *request.Refusal
	if !errors.As(err, &r) {
		return false, err
	}
	if r.Reason == request.ReasonUnsure {
		return false, r
	}
	if f.mayDetour(ctx, c, p, r, via) {
		return true, nil
	}
	return f.afterFailure(ctx, c, p, r, retry)
}

// afterFailure decides whether a call whose attempt has failed is tried again, and returns the final error if not.
func (f *Dispatch) afterFailure(ctx context.Context, c *request.Call, p *callProgress, r *request.Refusal, retry *abortReserve) (again bool, err error) {
	if r.Outcome == request.NotRun {
		p.declines++
	}
	c.Excluded = append(c.Excluded, c.Upstream.Name)
	errors.As(r.Cause, &p.failed)
	p.persist.update(c, r, retry)
	noRetry := f.noRetryReason(ctx, c, r, p, retry)
	if noRetry == "" {
		f.Log.Info("retrying request", "request", c.Request.ID, "route", c.Route.Name, "failed", c.Upstream.Name, "reason", r.Reason,
			"outcome", r.Outcome, "error", r.Error(), "after", c.LastEventID, "runs", c.Runs)
		return true, nil
	}
	if p.persist.mayOvercome(noRetry) && f.awaitUpstream(ctx, c, &p.persist, r, retry.take(f.Clock.Now())) {
		// One upstream declines for all in the rounds after the first, which leaves retries for other calls.
		c.Excluded, p.declines = nil, maxDeclines-1
		return true, nil
	}
	f.logGiveUp(c, c.Upstream, r, noRetry, c.Runs-p.runsBefore)
	return false, f.finalError(ctx, c, r, p.failed)
}

// Reasons not to retry that pass with time.
const (
	stopDeclined        = "declined by too many upstreams"
	stopBudgetExhausted = "retry budget exhausted"
)

// noRetryReason returns why the call may not be retried, or "" if it may; it then takes one retry from the budget.
func (f *Dispatch) noRetryReason(ctx context.Context, c *request.Call, r *request.Refusal, p *callProgress, retry *abortReserve) string {
	switch r.Reason {
	case request.ReasonUpstreamRefused, request.ReasonUpstreamFailed, request.ReasonAnswerIncomplete, request.ReasonAnswerMismatch:
	default:
		return "failure is not retryable"
	}
	suspect := ""
	if p.crashes > 0 {
		suspect = f.Suspects.Suspect(c)
	}
	switch {
	case ctx.Err() != nil:
		return "caller disconnected"
	case c.Request.HandedOver && r.Outcome != request.NotRun:
		return "the instance that handed the request over decides"
	case r.Outcome == request.NotRun && p.declines >= maxDeclines:
		return stopDeclined
	case r.Outcome != request.NotRun && !c.Route.MayRepeat():
		return "request is not repeatable"
	case r.Outcome != request.NotRun && c.Runs >= c.Route.MaxAttempts:
		return "attempt limit reached"
	case suspect != "":
		return "upstreams crashed under the " + suspect
	case p.crashes >= maxCrashesPerRequest && !c.HeadWritten:
		return "upstreams crashed under the request"
	case c.HeadWritten && (c.Unresumable || !c.Route.MayResume()):
		return "answer has begun and is not resumable"
	case !retry.isReserved() && f.tooLate(c.Request.Deadline, c.Route):
		return "too little time before the deadline"
	case !retry.take(f.Clock.Now()) && !f.Budgets.TryWithdraw(c.Upstream.Service, f.Clock.Now()):
		return stopBudgetExhausted
	}
	return ""
}

// finalError passes on the error response of an upstream if there was one, and otherwise returns the refusal.
func (f *Dispatch) finalError(ctx context.Context, c *request.Call, r *request.Refusal, failed FailedResponse) error {
	mayFallBack := c.Fallback == request.FallbackLeft && r.Outcome == request.NotRun
	if failed != nil && !c.HeadWritten && !mayFallBack {
		return failed.Forward(ctx, c)
	}
	if r.Outcome == request.NotRun && r.RetryAfter == 0 && ctx.Err() == nil {
		r.RetryAfter = jitter(c.Request.ID, declinedRetryAfter)
	}
	return r
}

func (f *Dispatch) logGiveUp(c *request.Call, u *catalogue.Upstream, r *request.Refusal, noRetry string, runs int) {
	f.Log.Info("giving up on request", "request", c.Request.ID, "route", c.Route.Name, "upstream", u.Name, "reason", r.Reason,
		"outcome", r.Outcome, "error", r.Error(), "stopReason", noRetry, "runs", runs)
}

// endOf returns what the error of an attempt tells of its slot.
func endOf(err error) occupancy.End {
	var r *request.Refusal
	switch {
	case !errors.As(err, &r):
		return occupancy.Answered
	case r.Full:
		return occupancy.Rejected
	case r.GivenUp:
		return occupancy.Abandoned
	}
	return occupancy.Answered
}

func (f *Dispatch) send(ctx context.Context, c *request.Call, a *attempt, next request.Handler) error {
	a.upstream, a.work, a.placed = c.Upstream, promptWork(c), f.startPlaced(c, a.choice)
	f.Loads.StartRequest(a.upstream.Name, a.work)
	defer f.Releases.RecordSend(c, f.Snapshot().Moves[a.upstream.Service])()
	defer f.Loads.EndRequest(a.upstream.Name)
	c.OnFirstEvent = a.begin
	defer a.subtractWork()
	err := next.Handle(ctx, c)
	a.placed.End(upstreamFailed(err), f.Clock.Now())
	return err
}

// recordAttempt records the outcome of an attempt for session affinity and outlier detection.
func (f *Dispatch) recordAttempt(c *request.Call, u *catalogue.Upstream, err error) {
	now := f.Clock.Now()
	f.Releases.RecordSession(f.Snapshot().Moves[u.Service], c, now)
	if err == nil {
		f.Outliers.RecordSuccess(u.Name)
		return
	}
	var r *request.Refusal
	if !errors.As(err, &r) {
		return
	}
	switch r.Reason {
	case request.ReasonUpstreamFailed, request.ReasonAnswerIncomplete, request.ReasonAnswerMismatch, request.ReasonUpstreamRefused:
		f.Outliers.RecordFailure(u.Name, now)
	}
}
