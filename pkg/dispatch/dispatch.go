package dispatch

import (
	"context"
	"errors"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// maxDeclines bounds how often a call that upstreams declined is sent on.
	maxDeclines = 3
	// declinedWait is when a caller should come back whose request several upstreams declined, in milliseconds; they are full,
	// and a queue of 20 calls of 60 ms before 6 slots is gone by then.
	declinedWait clock.Millis = 400
	// restTries is the least part of the target that must be left for a second try.
	restTries = 0.2
)

// Dispatch is the filter that sends a routed call to one upstream after another until one answers or it may not be sent again.
type Dispatch struct {
	Clock    clock.Clock
	Log      logr.Logger
	Zone     string
	Snapshot func() *catalogue.Snapshot
	Board    *Board
	Outliers *Outliers
	Releases *Releases
	// Budgets bounds the sends beyond the first.
	Budgets *Budgets
	// Lanes has which share of the work are prompts that take long.
	Lanes *Lanes
	// Places finds places for prompts that take long; it may be nil.
	Places Places
	// Paces has how long models take to begin their answers.
	Paces *Paces
}

// Places finds places over all instances.
type Places interface {
	// AskPlace returns which of the upstreams should get so much work, in tokens of the largest model, or nothing when that isn't
	// known.
	AskPlace(ctx context.Context, upstreams []string, work float64) string
}

// FailedAnswer is an upstream's own answer that tells of a failure; it is passed on when nothing better comes.
type FailedAnswer interface {
	error
	PassOn(ctx context.Context, c *request.Call) error
}

// Filter sends the call until it is answered.
func (f *Dispatch) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	c.Excluded = nil
	declines, runs := 0, c.Runs
	for {
		u, refusal := f.choose(ctx, c)
		if refusal != nil {
			return refusal
		}
		c.Upstream = u
		if c.Attempts == 0 {
			f.Budgets.Add(u.Service, f.Clock.Now())
		}
		err := f.send(ctx, c, next)
		f.note(c, u, err)
		if err == nil {
			return nil
		}
		var r *request.Refusal
		if !errors.As(err, &r) {
			return err
		}
		if r.Reason == request.ReasonUnsure {
			return r
		}
		if r.Outcome == request.NotRun {
			declines++
		}
		c.Excluded = append(c.Excluded, u.Name)
		if cause := f.mayGoOn(ctx, c, r, declines); cause != "" {
			f.logEnd(c, u, r, cause, c.Runs-runs)
			return f.passOn(ctx, c, r)
		}
		f.Log.Info("sent again", "request", c.Request.ID, "route", c.Route.Name, "failed", u.Name, "reason", r.Reason,
			"outcome", r.Outcome, "cause", r.Error(), "after", c.After, "runs", c.Runs)
	}
}

// mayGoOn returns why the call may not be sent again, or nothing.
func (f *Dispatch) mayGoOn(ctx context.Context, c *request.Call, r *request.Refusal, declines int) string {
	switch r.Reason {
	case request.ReasonUpstreamRefused, request.ReasonUpstreamFailed, request.ReasonAnswerIncomplete, request.ReasonAnswerMismatch:
	default:
		return "final"
	}
	switch {
	case ctx.Err() != nil:
		return "the caller left"
	case r.Outcome == request.NotRun && declines >= maxDeclines:
		return "declined too often"
	case r.Outcome != request.NotRun && !c.Route.MayRepeat():
		return "may not run twice"
	case r.Outcome != request.NotRun && c.Runs >= c.Route.MaxAttempts:
		return "no attempts left"
	case c.Headed && !c.Route.Resumable:
		return "the answer has begun"
	case c.Request.Deadline-f.Clock.Now() < clock.Millis(restTries*float64(c.Route.Target)):
		return "no time left"
	case !f.Budgets.Take(c.Upstream.Service):
		return "no retry budget left"
	}
	return ""
}

func (f *Dispatch) passOn(ctx context.Context, c *request.Call, r *request.Refusal) error {
	var failed FailedAnswer
	if !c.Headed && errors.As(r.Cause, &failed) {
		return failed.PassOn(ctx, c)
	}
	if r.Outcome == request.NotRun && r.RetryAfter == 0 && ctx.Err() == nil {
		r.RetryAfter = jitter(c.Request.ID, declinedWait)
	}
	return r
}

func (f *Dispatch) logEnd(c *request.Call, u *catalogue.Upstream, r *request.Refusal, cause string, runs int) {
	f.Log.Info("gave up", "request", c.Request.ID, "route", c.Route.Name, "upstream", u.Name, "reason", r.Reason,
		"outcome", r.Outcome, "cause", r.Error(), "because", cause, "runs", runs)
}

func (f *Dispatch) send(ctx context.Context, c *request.Call, next request.Handler) error {
	upstream, work := c.Upstream.Name, f.work(c)
	f.Lanes.Take(c.Pool.Name, f.long(c), work, f.Clock.Now())
	f.Board.Begin(upstream, work)
	defer f.Board.End(upstream)
	var once sync.Once
	c.Begun = func() { once.Do(func() { f.Board.Done(upstream, work) }) }
	defer c.Begun()
	return next.Handle(ctx, c)
}

// work returns what the call asks of an engine before its answer begins, in tokens of the largest model; models cost as they
// work.
func (f *Dispatch) work(c *request.Call) float64 {
	p := c.Request.Prompt
	if p == nil {
		return 0
	}
	largest := 0.0
	for _, cost := range c.Pool.ModelCosts {
		largest = max(largest, cost)
	}
	if largest <= 0 {
		return float64(p.Tokens)
	}
	return float64(p.Tokens) * c.Pool.ModelCosts[c.Model] / largest
}

// note remembers what the attempt showed of its upstream.
func (f *Dispatch) note(c *request.Call, u *catalogue.Upstream, err error) {
	now := f.Clock.Now()
	f.Releases.Note(f.Snapshot().Moves[u.Service], c, now)
	if err == nil {
		f.Outliers.Answered(u.Name)
		return
	}
	var r *request.Refusal
	if !errors.As(err, &r) {
		return
	}
	switch r.Reason {
	case request.ReasonUpstreamFailed, request.ReasonAnswerIncomplete, request.ReasonAnswerMismatch, request.ReasonUpstreamRefused:
		f.Outliers.Failed(u.Name, now)
	}
}
