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
	// rateLimit bounds the wait for a verdict, in milliseconds, and ratePart the part of the time left that it may take.
	rateLimit = 1 * clock.Second
	ratePart  = 4
)

// charactersPerToken estimates the tokens of a prompt from its bytes.
const charactersPerToken = 4

// Pins keeps the versions of sessions.
type Pins interface {
	// Pinned returns the version that the call's session keeps.
	Pinned(ctx context.Context, c *request.Call) (catalogue.VersionID, bool)
	// Settle pins the call's session to the version, and returns the version that it is pinned to, since another request of the
	// session may have been faster, and the signed pin for the caller.
	Settle(ctx context.Context, c *request.Call, id catalogue.VersionID) (catalogue.VersionID, string)
}

// Rater gives a verdict on an answer at once.
type Rater interface {
	Rate(ctx context.Context, r backoffice.RateRequest) (float64, error)
}

// Room is the memory that one held answer takes up.
type Room interface {
	// Take holds n more bytes, and tells whether there was room.
	Take(n int64) bool
	// Close gives all of them back.
	Close()
}

// Choose is the filter that chooses the version of a chat completion, and runs cascades.
type Choose struct {
	settings.Common
	Snapshot func() *catalogue.Snapshot
	Pins     Pins
	Rater    Rater
	// Rated, if set, is told each verdict on a cascade's answer.
	Rated func(backoffice.Rating)
	// Open, if set, opens the room for an answer that is held until it is rated.
	Open func() Room
	// Verify, if set, is given each answer of a roll-out's new version, to have it rated at once; it must not wait.
	Verify func(backoffice.RateRequest)
}

// Filter sets the version of the call and passes it on, once a step of the plan.
func (f *Choose) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Service != nil || c.Profile == nil {
		return next.Handle(ctx, c)
	}
	choice, refusal := f.choose(ctx, c)
	if refusal != nil {
		return refusal
	}
	for _, step := range choice.Plan.Steps[:len(choice.Plan.Steps)-1] {
		if done, err := f.try(ctx, c, step, next); done {
			return err
		}
	}
	steps := choice.Plan.Steps
	c.Version = steps[len(steps)-1].Version
	if len(steps) > 1 {
		if refusal := f.renew(ctx, c); refusal != nil {
			return refusal
		}
	}
	return f.last(ctx, c, next)
}

// renew replaces the version of the last step when it takes no new work any more: the steps before took their time.
func (f *Choose) renew(ctx context.Context, c *request.Call) *request.Refusal {
	q := f.query(ctx, c)
	if q.takesNew(c.Version.ID) {
		return nil
	}
	q.OneStep = true
	choice, refusal := Pick(q)
	if refusal != nil {
		return refusal
	}
	c.Version = choice.Plan.Steps[0].Version
	return nil
}

// last runs the step whose answer is shown as it comes.
func (f *Choose) last(ctx context.Context, c *request.Call, next request.Handler) error {
	if f.Verify == nil || !isNew(f.Snapshot(), c.Version.ID) {
		return next.Handle(ctx, c)
	}
	tee := &teeWriter{Writer: c.Writer, Limit: f.Settings.Limits.RequestBytes}
	c.Writer = tee
	err := next.Handle(ctx, c)
	c.Writer = tee.Writer
	if err == nil && tee.ended {
		f.Verify(rateRequest(c, tee.text.String()))
	}
	return err
}

// isNew tells whether a roll-out that goes on brings the version in.
func isNew(s *catalogue.Snapshot, id catalogue.VersionID) bool {
	r := s.Config.Rollouts[id.Model()]
	return r != nil && r.To == id && r.From != id && !r.Held
}

// choose returns the plan for the call, with the session pinned to it.
func (f *Choose) choose(ctx context.Context, c *request.Call) (*Choice, *request.Refusal) {
	q := f.query(ctx, c)
	choice, refusal := Pick(q)
	if refusal != nil || !choice.Repin {
		return choice, refusal
	}
	wanted := choice.Plan.Steps[0].Version.ID
	settled, pin := f.Pins.Settle(ctx, c, wanted)
	c.Writer = &pinWriter{Writer: c.Writer, pin: pin}
	if settled == wanted {
		return choice, nil
	}
	q.Pinned = settled
	return Pick(q)
}

func (f *Choose) query(ctx context.Context, c *request.Call) *Query {
	s := f.Snapshot()
	q := &Query{
		Snapshot:    s,
		Now:         f.Clock.Now(),
		Request:     c.Request,
		Profile:     c.Profile,
		Serves:      func(id catalogue.VersionID) bool { return serves(s, id) },
		InputTokens: inputTokens(c.Request),
	}
	if c.Request.Session != "" {
		if id, ok := f.Pins.Pinned(ctx, c); ok {
			q.Pinned = id
		}
	}
	return q
}

// try runs a step whose answer is held back until it is rated; it is done when the answer was good enough
// or when nothing more may be tried.
func (f *Choose) try(ctx context.Context, c *request.Call, step Step, next request.Handler) (done bool, err error) {
	held := &holdWriter{Limit: f.Settings.Limits.RequestBytes}
	if f.Open != nil {
		held.Room = f.Open()
		defer held.Room.Close()
	}
	w := c.Writer
	c.Writer, c.Version = held, step.Version
	err = next.Handle(ctx, c)
	c.Writer = w
	if ctx.Err() != nil {
		return true, err
	}
	if held.tooLong {
		// The sending filter took the refusal of further chunks for a caller that has gone.
		return false, nil
	}
	if err != nil || !held.complete() {
		return isFinal(err), err
	}
	score, err := f.rate(ctx, c, step, held)
	if err != nil || score < step.Threshold {
		return false, nil
	}
	return true, held.passOn(ctx, c)
}

// isFinal tells whether an error of one step holds for the steps after it as well.
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

func (f *Choose) rate(ctx context.Context, c *request.Call, step Step, held *holdWriter) (float64, error) {
	ctx, cancel := clock.WithTimeout(ctx, f.Clock, f.rateTime(c.Request))
	defer cancel()
	score, err := f.Rater.Rate(ctx, rateRequest(c, held.text()))
	if err != nil {
		f.Log.V(1).Info("The answer was not rated, the next version is asked.", "request", c.Request.ID, "error", err.Error())
		return 0, err
	}
	if f.Rated != nil {
		f.Rated(backoffice.Rating{RequestID: c.SentID(), Version: step.Version.ID, Task: c.Profile.Task, Score: score})
	}
	return score, nil
}

// rateTime returns how long the verdict on an answer to the request is waited for, in milliseconds.
func (f *Choose) rateTime(q *request.Request) clock.Millis {
	if q.Deadline == 0 {
		return rateLimit
	}
	return min(rateLimit, max(0, q.Deadline-f.Clock.Now())/ratePart)
}

func rateRequest(c *request.Call, answer string) backoffice.RateRequest {
	return backoffice.RateRequest{
		RequestID: c.SentID(),
		Version:   c.Version.ID,
		Task:      c.Profile.Task,
		Prompt:    prompt(c.Request),
		Answer:    answer,
	}
}

func serves(s *catalogue.Snapshot, id catalogue.VersionID) bool {
	for _, u := range s.Upstreams {
		if u.Serves(id) && s.PermitListed(u) == nil {
			return true
		}
	}
	return false
}

func inputTokens(r *request.Request) float64 {
	n := 0
	for i := range r.Messages {
		n += len(r.Messages[i].Content)
	}
	return float64(n) / charactersPerToken
}

func prompt(r *request.Request) string {
	if len(r.Messages) == 0 {
		return ""
	}
	return r.Messages[len(r.Messages)-1].Content
}
