package pricing

import (
	"context"
	"errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// The wait for the rating of an answer ends after maxRatingWait, or after 1/ratingWaitDivisor of the time that is left until the
	// deadline, whichever is less.
	maxRatingWait     = 1 * clock.Second
	ratingWaitDivisor = 4
)

// bytesPerToken converts the size of a prompt to an approximate number of tokens.
const bytesPerToken = 4

// Pins stores which version each session is pinned to.
type Pins interface {
	// Pinned returns the version to which the call's session is pinned, and false when there is none.
	Pinned(ctx context.Context, c *request.Call) (catalogue.VersionID, bool)
	// EnsurePin pins the call's session to the version and returns the pinned version, which differs when a concurrent request of
	// the session was pinned first, and the signed pin for the caller.
	EnsurePin(ctx context.Context, c *request.Call, id catalogue.VersionID) (catalogue.VersionID, string)
}

// Rater rates answers synchronously.
type Rater interface {
	// Rate returns a score from 0 to 1.
	Rate(ctx context.Context, r backoffice.RateRequest) (float64, error)
}

// MemoryReservation is the memory reserved for one buffered answer.
type MemoryReservation interface {
	// TryAcquire reserves n more bytes and reports whether they were available.
	TryAcquire(n int64) bool
	// Close releases all reserved bytes.
	Close()
}

// VersionFilter is the filter that chooses the version of a chat completion and runs cascades; Rated, ReserveMemory and
// VerifyAnswer are optional.
type VersionFilter struct {
	settings.Common
	Snapshot func() *catalogue.Snapshot
	Pins     Pins
	Rater    Rater
	// Rated is called with each rating of a buffered cascade answer.
	Rated func(backoffice.Rating)
	// ReserveMemory reserves memory for an answer that is buffered until it is rated.
	ReserveMemory func() MemoryReservation
	// VerifyAnswer is called with each complete answer of a rollout's new version, so that it is rated at once; it must not block.
	VerifyAnswer func(backoffice.RateRequest)
}

// Filter sets the version of the call and runs next for each step of the plan until an answer is accepted.
func (f *VersionFilter) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Service != nil || c.Profile == nil {
		return next.Handle(ctx, c)
	}
	choice, refusal := f.choose(ctx, c)
	if refusal != nil {
		return refusal
	}
	for _, step := range choice.Plan.Steps[:len(choice.Plan.Steps)-1] {
		if done, err := f.tryStep(ctx, c, step, next); done {
			return err
		}
	}
	steps := choice.Plan.Steps
	c.Version = steps[len(steps)-1].Version
	if len(steps) > 1 {
		if refusal := f.refreshVersion(ctx, c); refusal != nil {
			return refusal
		}
	}
	return f.runLastStep(ctx, c, next)
}

// refreshVersion replaces the version of the last step if it was withdrawn, held or found suspect while the earlier steps ran.
func (f *VersionFilter) refreshVersion(ctx context.Context, c *request.Call) *request.Refusal {
	q := f.query(ctx, c)
	if q.takesNewWork(c.Version.ID) {
		return nil
	}
	q.NoCascade = true
	choice, refusal := Pick(q)
	if refusal != nil {
		return refusal
	}
	c.Version = choice.Plan.Steps[0].Version
	return nil
}

// runLastStep runs the final step, whose answer is streamed to the caller without buffering.
func (f *VersionFilter) runLastStep(ctx context.Context, c *request.Call, next request.Handler) error {
	if f.VerifyAnswer == nil || !isRolloutTarget(f.Snapshot(), c.Version.ID) {
		return next.Handle(ctx, c)
	}
	tee := &teeWriter{Writer: c.Writer, Limit: f.Settings.Limits.RequestBytes}
	c.Writer = tee
	err := next.Handle(ctx, c)
	c.Writer = tee.Writer
	if err == nil && tee.ended {
		f.VerifyAnswer(rateRequest(c, tee.text.String()))
	}
	return err
}

// isRolloutTarget reports whether the version is the new one of a rollout that is in progress and not held.
func isRolloutTarget(s *catalogue.Snapshot, id catalogue.VersionID) bool {
	r := s.Config.Rollouts[id.Model()]
	return r != nil && r.To == id && r.From != id && !r.Held
}

// choose returns the plan for the call and pins the session to its version if needed.
func (f *VersionFilter) choose(ctx context.Context, c *request.Call) (*Choice, *request.Refusal) {
	q := f.query(ctx, c)
	choice, refusal := Pick(q)
	if refusal != nil || !choice.NeedsPin {
		return choice, refusal
	}
	chosen := choice.Plan.Steps[0].Version.ID
	pinned, pin := f.Pins.EnsurePin(ctx, c, chosen)
	c.Writer = &pinWriter{Writer: c.Writer, pin: pin}
	if pinned == chosen {
		return choice, nil
	}
	q.Pinned = pinned
	return Pick(q)
}

func (f *VersionFilter) query(ctx context.Context, c *request.Call) *Query {
	s := f.Snapshot()
	q := &Query{
		Snapshot:    s,
		Now:         f.Clock.Now(),
		Request:     c.Request,
		Profile:     c.Profile,
		Serves:      func(id catalogue.VersionID) bool { return isServed(s, id) },
		InputTokens: promptTokens(c.Request),
	}
	if c.Request.Session != "" {
		if id, ok := f.Pins.Pinned(ctx, c); ok {
			q.Pinned = id
		}
	}
	return q
}

// tryStep runs a step whose answer is buffered until it is rated. It returns true when the answer was accepted or no further step
// may run.
func (f *VersionFilter) tryStep(ctx context.Context, c *request.Call, step Step, next request.Handler) (done bool, err error) {
	buffer := &bufferWriter{Limit: f.Settings.Limits.RequestBytes}
	if f.ReserveMemory != nil {
		buffer.Memory = f.ReserveMemory()
		defer buffer.Memory.Close()
	}
	w := c.Writer
	c.Writer, c.Version = buffer, step.Version
	err = next.Handle(ctx, c)
	c.Writer = w
	if ctx.Err() != nil {
		return true, err
	}
	if buffer.overflowed {
		// The sending filter reports a failed write as a caller that has gone, although only the buffer was full.
		return false, nil
	}
	if err != nil || !buffer.complete() {
		return isFinal(err), err
	}
	score, err := f.rate(ctx, c, step, buffer)
	if err != nil || score < step.Threshold {
		return false, nil
	}
	return true, buffer.flush(ctx, c)
}

// isFinal reports whether the error of one step would fail all later steps too.
func isFinal(err error) bool {
	var r *request.Refusal
	if !errors.As(err, &r) {
		return false
	}
	switch r.Reason {
	case request.ReasonDeadline, request.ReasonCallerGone, request.ReasonStaleView, request.ReasonDraining:
		return true
	}
	return false
}

func (f *VersionFilter) rate(ctx context.Context, c *request.Call, step Step, buffer *bufferWriter) (float64, error) {
	ctx, cancel := clock.WithTimeout(ctx, f.Clock, f.ratingWait(c.Request))
	defer cancel()
	score, err := f.Rater.Rate(ctx, rateRequest(c, buffer.text()))
	if err != nil {
		f.Log.V(1).Info("answer not rated; escalating to the next version", "request", c.Request.ID, "error", err.Error())
		return 0, err
	}
	if f.Rated != nil {
		f.Rated(backoffice.Rating{RequestID: c.UpstreamRequestID(), Version: step.Version.ID, Task: c.Profile.Task, Score: score})
	}
	return score, nil
}

// ratingWait returns the longest wait for the rating of an answer to the request.
func (f *VersionFilter) ratingWait(q *request.Request) clock.Millis {
	if q.Deadline == 0 {
		return maxRatingWait
	}
	return min(maxRatingWait, max(0, q.Deadline-f.Clock.Now())/ratingWaitDivisor)
}

func rateRequest(c *request.Call, answer string) backoffice.RateRequest {
	return backoffice.RateRequest{
		RequestID: c.UpstreamRequestID(),
		Version:   c.Version.ID,
		Task:      c.Profile.Task,
		Prompt:    lastMessage(c.Request),
		Answer:    answer,
	}
}

func isServed(s *catalogue.Snapshot, id catalogue.VersionID) bool {
	for _, u := range s.Upstreams {
		if u.Serves(id) && s.PermitListed(u) == nil {
			return true
		}
	}
	return false
}

func promptTokens(r *request.Request) float64 {
	n := 0
	for i := range r.Messages {
		n += len(r.Messages[i].Content)
	}
	return float64(n) / bytesPerToken
}

func lastMessage(r *request.Request) string {
	if len(r.Messages) == 0 {
		return ""
	}
	return r.Messages[len(r.Messages)-1].Content
}
