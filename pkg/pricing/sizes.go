package pricing

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// Sizes is the filter that chooses the model of a routed call: the smallest one first, and the largest when the small one is not
// sure enough of its answer. The answer of the small one is dropped before the caller gets any of it.
type Sizes struct {
	Log logr.Logger
	// Least is the confidence below which an answer is dropped, from 0 to 100; it may change at any time.
	Least *atomic.Int32
	// Budgets bounds the sends beyond the first.
	Budgets *dispatch.Budgets
}

// Filter answers the call by one model after another.
func (f *Sizes) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Request.Prompt == nil {
		return next.Handle(ctx, c)
	}
	sizes := c.Route.Sizes
	if len(sizes) == 0 || c.Request.Prompt.Model != "" {
		c.Model = c.Request.Prompt.Model
		return next.Handle(ctx, c)
	}
	out := c.Writer
	w := &sureWriter{Writer: out, sizes: f, more: len(sizes) > 1}
	c.Writer = w
	defer func() { c.Writer = out }()
	c.Model = sizes[0]
	err := next.Handle(ctx, c)
	if !w.dropped {
		return err
	}
	w.more = false
	c.After, c.Model = c.Request.After, sizes[len(sizes)-1]
	f.Log.Info("model not sure", "request", c.Request.ID, "route", c.Route.Name, "model", sizes[0], "confidence", w.confidence,
		"least", f.Least.Load(), "next", c.Model)
	err = next.Handle(ctx, c)
	var r *request.Refusal
	if c.Headed || !errors.As(err, &r) || r.Outcome != request.NotRun || ctx.Err() != nil || c.Runs >= c.Route.MaxAttempts {
		return err
	}
	// An unsure answer is better than none.
	c.Model = sizes[0]
	return next.Handle(ctx, c)
}

// sureWriter turns down the head of an answer whose model is not sure enough.
type sureWriter struct {
	request.Writer
	sizes *Sizes
	// more is true while a larger model is left to ask.
	more       bool
	dropped    bool
	confidence int
}

// WriteHead passes the head on unless a larger model is to be asked; the run under way and that of the larger one count.
func (w *sureWriter) WriteHead(ctx context.Context, c *request.Call, h request.Head) error {
	if w.more && c.Runs+2 <= c.Route.MaxAttempts && h.Confidence >= 0 && h.Confidence < int(w.sizes.Least.Load()) && h.Status < 300 && w.sizes.Budgets.Take(c.Pool.Name) {
		w.dropped, w.confidence = true, h.Confidence
		return request.ErrTurnedDown
	}
	return w.Writer.WriteHead(ctx, c, h)
}
