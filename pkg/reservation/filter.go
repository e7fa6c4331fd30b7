package reservation

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// ReplayedHeader marks an answer that an earlier request under the same key got.
const ReplayedHeader = "Carawayknot-Replayed"

// Filter lets a request that must not be repeated run at most once; next is called once, by the winner of the key.
func (b *Book) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Request.Repeatable {
		return next.Handle(ctx, c)
	}
	h, err := b.Claim(ctx, c)
	var recorded *RecordedError
	if errors.As(err, &recorded) {
		return replay(ctx, c, recorded.Done)
	}
	if err != nil {
		return err
	}
	return b.run(ctx, c, h, next)
}

// run sees the call to its end also when the caller has gone, so that its outcome is recorded.
func (b *Book) run(ctx context.Context, c *request.Call, h *Held, next request.Handler) error {
	rec := &recorder{caller: ctx, inner: c.Writer, limit: orDefault(b.AnswerLimit, defaultAnswerLimit)}
	permit := c.BeforeSend
	c.Writer = rec
	c.BeforeSend = func(now clock.Millis) *request.Refusal {
		if r := h.maySend(ctx, now); r != nil || permit == nil {
			return r
		}
		return permit(now)
	}
	done := &Done{ID: h.id, Key: h.ticket.key, Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed}
	// A panic in a later filter leaves the outcome at MayHaveRun.
	defer func() {
		c.Writer, c.BeforeSend = rec.inner, permit
		b.finish(h, done)
	}()
	if r := h.maySend(ctx, b.Common.Clock.Now()); r != nil {
		done.Outcome = request.NotRun
		return r
	}
	left := max(c.Request.Deadline-b.Common.Clock.Now(), 0) + runGrace
	long, cancel := clock.WithTimeout(context.WithoutCancel(ctx), b.Common.Clock, left)
	defer cancel()
	return rec.settle(done, next.Handle(long, c))
}

func (h *Held) maySend(caller context.Context, now clock.Millis) *request.Refusal {
	if !h.StillMine(now) {
		return request.Refuse(request.ReasonClaimExpired, retryAfter(), "the claim grew too old before the request was sent")
	}
	if caller.Err() != nil {
		return request.Refuse(request.ReasonCallerGone, 0, "the caller has gone before the request was sent")
	}
	return nil
}

// finish records what became of the call; a call that did not run is released, so that the key can be used again.
func (b *Book) finish(h *Held, d *Done) {
	h.close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.Outcome == request.NotRun {
		b.owe(&Record{Release: &Release{ID: d.ID, Key: d.Key}})
		return
	}
	b.table.Finish(d)
	b.notify(d.Key)
	b.owe(&Record{Done: d})
}

// replay answers a second asker with what is recorded.
func replay(ctx context.Context, c *request.Call, d *Done) error {
	if d.Answer == nil {
		return recordedRefusal(d)
	}
	err := passOn(ctx, c, d.Answer)
	if err == nil {
		return nil
	}
	// What a writer refuses, it takes for not run; the request of this key has run.
	failed := &request.Refusal{Outcome: request.Ran, Reason: request.ReasonAlreadyRan, Field: KeyField,
		Detail: "the request of this key ran before, its answer could not be passed on", Cause: err}
	var told *request.Refusal
	if errors.As(err, &told) {
		failed.RetryAfter = told.RetryAfter
	}
	return failed
}

// passOn writes a recorded answer.
func passOn(ctx context.Context, c *request.Call, a *Answer) error {
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

func recordedRefusal(d *Done) error {
	if d.Outcome == request.Ran {
		return &request.Refusal{Outcome: request.Ran, Reason: request.ReasonAlreadyRan, Field: KeyField,
			Detail: "the request of this key ran before, its answer is not kept; SHA-256 of its body: " + d.Digest}
	}
	return &request.Refusal{Outcome: d.Outcome, Reason: d.Reason, Field: KeyField,
		Detail: "the request of this key was sent before, and its outcome is not known"}
}
