package pricing

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/admission"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// ConfidenceCascade is the filter that chooses the model of a routed call: the smallest first, then a larger one if the confidence of
// the answer makes it too unlikely that the model was up to the request. That answer is dropped before any of it reaches the caller.
type ConfidenceCascade struct {
	Log   logr.Logger
	Clock clock.Clock
	// LeastSuccess is the probability, in percent, that a model is up to a request below which its answer is dropped; it may change at
	// any time.
	LeastSuccess *atomic.Int32
	// Calibration learns what confidences mean.
	Calibration *Calibration
	// ExpectedWait predicts how long a prompt waits before the model reads it, in milliseconds, at the upstream that is busier than this
	// share of them; it may be nil.
	ExpectedWait func(c *request.Call, model string, share float64) clock.Millis
	// Urgency returns the urgency of a call; nil means that all are equally urgent.
	Urgency func(c *request.Call) admission.Urgency
	// InTime predicts the chance that the answer of a model begins within the target latency, and takes the place of ExpectedWait where it
	// reports that anything is known; it may be nil.
	InTime func(c *request.Call, model string) (chance float64, ok bool)
	// Budgets limits the attempts beyond the first.
	Budgets *dispatch.RetryBudgets

	waysBack waysBack
}

// lateWorth is what an answer that begins after the target latency is taken to be worth against one in time.
const lateWorth = 0.33

// minTimeShare is the fraction of the route's target latency that must be left before the deadline to drop an answer.
const minTimeShare = 0.5

// keepAnswer is the next size when the answer of the current model goes to the caller.
const keepAnswer = -1

// Filter runs next with the smallest model, then with larger ones while answers are dropped, and with the smallest again if a larger
// one was refused.
func (f *ConfidenceCascade) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Request.Prompt == nil {
		return next.Handle(ctx, c)
	}
	sizes := c.Route.Sizes
	if len(sizes) == 0 || c.Request.Prompt.Model != "" {
		c.Model = c.Request.Prompt.Model
		return next.Handle(ctx, c)
	}
	if !c.Route.MayRepeat() {
		// Only one run is allowed: the largest model is the surest.
		c.Model = sizes[len(sizes)-1]
		return next.Handle(ctx, c)
	}
	out := c.Writer
	w := &confidenceWriter{Writer: out, cascade: f, previous: keepAnswer}
	c.Writer = w
	defer func() {
		c.Writer = out
		w.wayBack.Close()
	}()
	for {
		c.Model, w.next = sizes[w.size], keepAnswer
		err := next.Handle(ctx, c)
		if w.next != keepAnswer {
			w.previous, w.size = w.size, w.next
			c.LastEventID, c.Fallback = c.Request.LastEventID, request.FallbackLeft
			continue
		}
		if w.size == 0 {
			return err
		}
		goBack := mayFallBack(ctx, c, err)
		f.waysBack.record(c.Pool.Name, goBack)
		// An answer of low confidence is better than none.
		if !goBack || !w.wayBack.Use(f.Clock.Now()) {
			return err
		}
		c.Model, c.Writer, c.Fallback = sizes[0], out, request.FallbackTaken
		return next.Handle(ctx, c)
	}
}

// mayFallBack reports whether a call that a larger model did not run may go back to the smallest one.
func mayFallBack(ctx context.Context, c *request.Call, err error) bool {
	var r *request.Refusal
	return !c.HeadWritten && errors.As(err, &r) && r.Outcome == request.NotRun && ctx.Err() == nil && c.Runs < c.Route.MaxAttempts
}

// nextSize returns the index of the model to try after an answer with this confidence, or keepAnswer. c.Runs does not count the
// current run yet.
func (w *confidenceWriter) nextSize(c *request.Call, confidence int) int {
	f, size, sizes := w.cascade, w.size, c.Route.Sizes
	last := len(sizes) - 1
	if confidence < 0 || size >= last || c.Runs+2 > c.Route.MaxAttempts || f.timeLeft(c) < clock.Millis(minTimeShare*float64(c.Route.Target)) {
		return keepAnswer
	}
	success, least := f.Calibration.Success(c.Pool.Name, confidence), f.leastSuccess(c)
	if success >= least {
		return keepAnswer
	}
	next := f.cheapestSize(c, size, confidence)
	if !w.payFor(c) {
		return keepAnswer
	}
	f.Log.Info("model confidence below the threshold; trying a larger model", "request", c.Request.ID, "route", c.Route.Name,
		"model", sizes[size], "confidence", confidence, "success", success, "leastSuccess", least,
		"noise", f.Calibration.Noise(c.Pool.Name), "nextModel", sizes[next])
	return next
}

// timeLeft returns the time until the deadline of the call, in milliseconds.
func (f *ConfidenceCascade) timeLeft(c *request.Call) clock.Millis {
	return c.Request.Deadline - f.Clock.Now()
}

// leastSuccess returns the probability of success from which an answer is kept. It falls with the time that a larger model's answer
// would wait: engines that are behind with their work first lose the answers that gain least by it and those to less urgent calls, and an
// answer that would be late isn't worth that much.
func (f *ConfidenceCascade) leastSuccess(c *request.Call) float64 {
	least := float64(f.LeastSuccess.Load()) / 100
	largest := c.Route.Sizes[len(c.Route.Sizes)-1]
	if f.InTime != nil {
		if chance, ok := f.InTime(c, largest); ok {
			return least * (lateWorth + (1-lateWorth)*chance)
		}
	}
	if f.ExpectedWait == nil || c.Route.Target <= 0 {
		return least
	}
	var urgency admission.Urgency
	if f.Urgency != nil {
		urgency = f.Urgency(c)
	}
	repeat := admission.RepeatOf(urgency, c.Route.Target)
	return least * repeat.Worth(f.ExpectedWait(c, largest, repeat.Share))
}

// cheapestSize returns the index of the larger model with the least expected cost: its own, and that of the largest one if it is not
// up to the request either.
func (f *ConfidenceCascade) cheapestSize(c *request.Call, size, confidence int) int {
	sizes := c.Route.Sizes
	last := len(sizes) - 1
	if c.Runs+3 > c.Route.MaxAttempts {
		return last
	}
	costs := c.Pool.ModelCosts
	best, lowest := last, costs[sizes[last]]
	for k := size + 1; k < last; k++ {
		failure := 1 - f.Calibration.LargerSuccess(c.Pool.Name, sizes[size], sizes[k], confidence)
		if cost := costs[sizes[k]] + failure*costs[sizes[last]]; costs[sizes[k]] > 0 && cost < lowest {
			best, lowest = k, cost
		}
	}
	return best
}

// confidenceWriter drops an answer at its head if a larger model is to be tried.
type confidenceWriter struct {
	request.Writer
	cascade *ConfidenceCascade
	// size is the index of the current model, and next that of the model to try after it, or keepAnswer.
	size, next int
	// previous is the index of the model whose answer was dropped last, or keepAnswer, and confidence that of its answer.
	previous, confidence int
	// wayBack is reserved for going back to the smallest model once an answer was dropped.
	wayBack *dispatch.ReservedRetry
}

// payFor takes the retry for a larger model from the budget, and reserves the one for going back to the smallest as far as calls go back; it
// reports whether both were available.
func (w *confidenceWriter) payFor(c *request.Call) bool {
	budgets, now := w.cascade.Budgets, w.cascade.Clock.Now()
	if w.wayBack == nil {
		w.wayBack = budgets.ReservePart(c.Pool.Name, w.cascade.waysBack.share(c.Pool.Name), now)
	}
	return w.wayBack != nil && budgets.TryWithdraw(c.Pool.Name, now)
}

// WriteHead forwards the head, or returns request.ErrResponseDiscarded when a larger model is to be tried.
func (w *confidenceWriter) WriteHead(ctx context.Context, c *request.Call, h request.Head) error {
	if h.Status < 300 {
		w.record(c, h.Confidence)
		if w.next = w.nextSize(c, h.Confidence); w.next != keepAnswer {
			w.confidence = h.Confidence
			return request.ErrResponseDiscarded
		}
	}
	// The answer is kept, and nothing is left to go back for.
	w.wayBack.Close()
	return w.Writer.WriteHead(ctx, c, h)
}

// record lets the calibration learn from the answers of two models to the same request. The confidences of the largest model reach
// the end of the scale too often for that.
func (w *confidenceWriter) record(c *request.Call, confidence int) {
	if w.previous != keepAnswer && w.size < len(c.Route.Sizes)-1 {
		w.cascade.Calibration.Record(c.Pool.Name, c.Route.Sizes[w.previous], c.Route.Sizes[w.size], w.confidence, confidence)
	}
}
