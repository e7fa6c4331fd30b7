package pricing

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// ConfidenceCascade is the filter that chooses the model of a routed call: the smallest first, then the largest if the confidence
// of the first answer is too low, in which case that answer is dropped before any of it reaches the caller.
type ConfidenceCascade struct {
	Log logr.Logger
	// MinConfidence is the confidence, from 0 to 100, below which an answer is dropped; it may change at any time.
	MinConfidence *atomic.Int32
	// Budgets limits the attempts beyond the first.
	Budgets *dispatch.RetryBudgets
}

// Filter runs next with the smallest model, and at most twice more: with the largest, then again with the smallest if that was
// refused.
func (f *ConfidenceCascade) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Request.Prompt == nil {
		return next.Handle(ctx, c)
	}
	sizes := c.Route.Sizes
	if len(sizes) == 0 || c.Request.Prompt.Model != "" {
		c.Model = c.Request.Prompt.Model
		return next.Handle(ctx, c)
	}
	out := c.Writer
	w := &confidenceWriter{Writer: out, filter: f, canEscalate: len(sizes) > 1}
	c.Writer = w
	defer func() { c.Writer = out }()
	c.Model = sizes[0]
	err := next.Handle(ctx, c)
	if !w.dropped {
		return err
	}
	w.canEscalate = false
	c.LastEventID, c.Model = c.Request.LastEventID, sizes[len(sizes)-1]
	f.Log.Info("model confidence below the threshold; trying the largest model", "request", c.Request.ID, "route", c.Route.Name,
		"model", sizes[0], "confidence", w.confidence, "minConfidence", f.MinConfidence.Load(), "nextModel", c.Model)
	err = next.Handle(ctx, c)
	var r *request.Refusal
	if c.HeadWritten || !errors.As(err, &r) || r.Outcome != request.NotRun || ctx.Err() != nil || c.Runs >= c.Route.MaxAttempts {
		return err
	}
	// An answer of low confidence is better than none.
	c.Model = sizes[0]
	return next.Handle(ctx, c)
}

// confidenceWriter rejects the head of an answer whose confidence is too low.
type confidenceWriter struct {
	request.Writer
	filter *ConfidenceCascade
	// canEscalate is true while a larger model may still be tried.
	canEscalate bool
	dropped     bool
	confidence  int
}

// WriteHead forwards the head, or returns request.ErrResponseDiscarded when a larger model is to be tried.
func (w *confidenceWriter) WriteHead(ctx context.Context, c *request.Call, h request.Head) error {
	// c.Runs does not count the current run yet, so that two more are needed: this one and that of the larger model.
	if w.canEscalate && c.Runs+2 <= c.Route.MaxAttempts && h.Confidence >= 0 && h.Confidence < int(w.filter.MinConfidence.Load()) &&
		h.Status < 300 && w.filter.Budgets.TryWithdraw(c.Pool.Name) {
		w.dropped, w.confidence = true, h.Confidence
		return request.ErrResponseDiscarded
	}
	return w.Writer.WriteHead(ctx, c, h)
}
