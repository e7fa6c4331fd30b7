package reservation

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// ReplayedHeader is set to "true" on an answer recorded for an earlier request with the same key.
const ReplayedHeader = "Carawayknot-Replayed"

// Filter runs a non-repeatable request only if it wins the claim on its key, and otherwise replays the recorded answer or refuses.
func (co *Coordinator) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Request.Repeatable {
		return next.Handle(ctx, c)
	}
	lc, err := co.Claim(ctx, c)
	var completed *CompletedError
	if errors.As(err, &completed) {
		return replay(ctx, c, completed.Done)
	}
	if err != nil {
		return err
	}
	return co.run(ctx, c, lc, next)
}

// run completes the call even if the caller disconnects, so that its outcome is recorded.
func (co *Coordinator) run(ctx context.Context, c *request.Call, lc *LocalClaim, next request.Handler) error {
	rec := &recorder{callerCtx: ctx, inner: c.Writer, remaining: orDefault(co.MaxBytesPerAnswer, defaultMaxBytesPerAnswer)}
	beforeSend := c.BeforeSend
	c.Writer = rec
	c.BeforeSend = func(now clock.Millis) *request.Refusal {
		if r := lc.checkSend(ctx, now); r != nil || beforeSend == nil {
			return r
		}
		return beforeSend(now)
	}
	done := &Done{ID: lc.id, Key: lc.fingerprint.key, Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed}
	// After a panic in a later filter the outcome remains MayHaveRun.
	defer func() {
		c.Writer, c.BeforeSend = rec.inner, beforeSend
		co.recordOutcome(lc, done)
	}()
	if r := lc.checkSend(ctx, co.Common.Clock.Now()); r != nil {
		done.Outcome = request.NotRun
		return r
	}
	left := max(c.Request.Deadline-co.Common.Clock.Now(), 0) + deadlineGrace
	callCtx, cancel := clock.WithTimeout(context.WithoutCancel(ctx), co.Common.Clock, left)
	defer cancel()
	return rec.finish(done, next.Handle(callCtx, c))
}

func (lc *LocalClaim) checkSend(callerCtx context.Context, now clock.Millis) *request.Refusal {
	if !lc.Valid(now) {
		return request.Refuse(request.ReasonClaimExpired, retryAfter(), "the claim grew too old before the request was sent")
	}
	if callerCtx.Err() != nil {
		return request.Refuse(request.ReasonCallerGone, 0, "the caller has gone before the request was sent")
	}
	return nil
}

// recordOutcome records the outcome of the call. The claim of a call that did not run is released, so that the key can be
// used again.
func (co *Coordinator) recordOutcome(lc *LocalClaim, d *Done) {
	lc.close()
	co.mu.Lock()
	defer co.mu.Unlock()
	if d.Outcome == request.NotRun {
		co.enqueue(&Record{Release: &Release{ID: d.ID, Key: d.Key}})
		return
	}
	co.table.SetOutcome(d)
	co.notify(d.Key)
	co.enqueue(&Record{Done: d})
}

// replay answers a duplicate request with the recorded outcome.
func replay(ctx context.Context, c *request.Call, d *Done) error {
	if d.Answer == nil {
		return refusalFor(d)
	}
	err := writeAnswer(ctx, c, d.Answer)
	if err == nil {
		return nil
	}
	// The writer's own refusal would say NotRun, but the request with this key has run.
	failed := &request.Refusal{Outcome: request.Ran, Reason: request.ReasonAlreadyRan, Field: KeyHeader,
		Detail: "the request of this key ran before, its answer could not be passed on", Cause: err}
	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		failed.RetryAfter = refusal.RetryAfter
	}
	return failed
}

func writeAnswer(ctx context.Context, c *request.Call, a *Answer) error {
	head := request.Head{Status: a.Status, Header: a.Header.Clone()}
	if head.Header == nil {
		head.Header = map[string][]string{}
	}
	head.Header.Set(ReplayedHeader, "true")
	if err := c.Writer.WriteHead(ctx, c, head); err != nil {
		return err
	}
	if a.Text != "" {
		if err := c.Writer.WriteChunk(ctx, c, request.Chunk{Text: a.Text, Tokens: a.Tokens}); err != nil {
			return err
		}
	}
	if len(a.Body) > 0 {
		if err := c.Writer.WriteBytes(ctx, c, a.Body); err != nil {
			return err
		}
	}
	return c.Writer.WriteEnd(ctx, c, a.End)
}

func refusalFor(d *Done) error {
	if d.Outcome == request.Ran {
		return &request.Refusal{Outcome: request.Ran, Reason: request.ReasonAlreadyRan, Field: KeyHeader,
			Detail: "the request of this key ran before, its answer is not kept; SHA-256 of its body: " + d.Digest}
	}
	return &request.Refusal{Outcome: d.Outcome, Reason: d.Reason, Field: KeyHeader,
		Detail: "the request of this key was sent before, and its outcome is not known"}
}
