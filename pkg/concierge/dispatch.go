package concierge

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
)

const (
	// maxDeclines bounds how often a call that upstreams declined is sent on.
	maxDeclines = 3
	// declinedWait is when a caller should come back whose request several upstreams declined, in milliseconds; they are full,
	// and a queue of 20 calls of 60 ms before 6 slots is gone by then.
	declinedWait clock.Millis = 400
	// coldPart is the part of what a cold upstream bears that all instances together send it.
	coldPart = 0.6
	// leastMembers is how many instances are taken to send to a cold upstream when fewer are known.
	leastMembers = 9
	// streamFirstPart and callFirstPart are the parts of the target after which the beginning of an answer is asked for
	// elsewhere: a stream's target has room for two tries, a plain call's for two of twice the usual time.
	streamFirstPart = 0.7
	callFirstPart   = 0.55
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
	PassOn(ctx context.Context, c *enquiry.Call) error
}

// Filter sends the call until it is answered.
func (f *Dispatch) Filter(ctx context.Context, c *enquiry.Call, next enquiry.Handler) error {
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
		var r *enquiry.Refusal
		if !errors.As(err, &r) {
			return err
		}
		if r.Reason == enquiry.ReasonUnsure {
			return r
		}
		if r.Outcome == enquiry.NotRun {
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
func (f *Dispatch) mayGoOn(ctx context.Context, c *enquiry.Call, r *enquiry.Refusal, declines int) string {
	switch r.Reason {
	case enquiry.ReasonUpstreamRefused, enquiry.ReasonUpstreamFailed, enquiry.ReasonAnswerIncomplete, enquiry.ReasonAnswerMismatch:
	default:
		return "final"
	}
	switch {
	case ctx.Err() != nil:
		return "the caller left"
	case r.Outcome == enquiry.NotRun && declines >= maxDeclines:
		return "declined too often"
	case r.Outcome != enquiry.NotRun && !c.Route.MayRepeat():
		return "may not run twice"
	case r.Outcome != enquiry.NotRun && c.Runs >= c.Route.MaxAttempts:
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

func (f *Dispatch) passOn(ctx context.Context, c *enquiry.Call, r *enquiry.Refusal) error {
	var failed FailedAnswer
	if !c.Headed && errors.As(r.Cause, &failed) {
		return failed.PassOn(ctx, c)
	}
	if r.Outcome == enquiry.NotRun && r.RetryAfter == 0 && ctx.Err() == nil {
		r.RetryAfter = jitter(c.Request.ID, declinedWait)
	}
	return r
}

func (f *Dispatch) logEnd(c *enquiry.Call, u *catalogue.Upstream, r *enquiry.Refusal, cause string, runs int) {
	f.Log.Info("gave up", "request", c.Request.ID, "route", c.Route.Name, "upstream", u.Name, "reason", r.Reason,
		"outcome", r.Outcome, "cause", r.Error(), "because", cause, "runs", runs)
}

func (f *Dispatch) send(ctx context.Context, c *enquiry.Call, next enquiry.Handler) error {
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
func (f *Dispatch) work(c *enquiry.Call) float64 {
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
func (f *Dispatch) note(c *enquiry.Call, u *catalogue.Upstream, err error) {
	now := f.Clock.Now()
	f.Releases.Note(f.Snapshot().Moves[u.Service], c, now)
	if err == nil {
		f.Outliers.Answered(u.Name)
		return
	}
	var r *enquiry.Refusal
	if !errors.As(err, &r) {
		return
	}
	switch r.Reason {
	case enquiry.ReasonUpstreamFailed, enquiry.ReasonAnswerIncomplete, enquiry.ReasonAnswerMismatch, enquiry.ReasonUpstreamRefused:
		f.Outliers.Failed(u.Name, now)
	}
}

// choose picks the service, the release and the upstream of the next attempt.
func (f *Dispatch) choose(ctx context.Context, c *enquiry.Call) (*catalogue.Upstream, *enquiry.Refusal) {
	s, now := f.Snapshot(), f.Clock.Now()
	service := splitService(c)
	pool := s.Routes.Pools[service]
	if pool == nil {
		return nil, enquiry.Refuse(enquiry.ReasonNoUpstream, jitter(c.Request.ID, clock.Second), "the service %s is not known", service)
	}
	c.Pool = pool
	from := f.release(s, c, s.Pools[service], now)
	from = others(from, c.Excluded)
	warm, cold := byWarmth(from, now)
	q := &Choice{Now: now, Zone: f.Zone, Board: f.Board, Outliers: f.Outliers, Draw: c.Request.ID + strconv.Itoa(c.Attempts)}
	if c.Route.Affinity {
		q.Key = PromptKey(c)
		q.Long = f.long(c)
		q.LongShare = f.Lanes.Share(pool.Name)
		if f.Places != nil {
			q.Place = func(upstreams []string) string { return f.Places.AskPlace(ctx, upstreams, f.work(c)) }
		}
	}
	u := q.Choose(warm)
	if u == nil {
		u = f.chooseCold(s, pool, cold, now)
	}
	if u == nil {
		return nil, enquiry.Refuse(enquiry.ReasonNoUpstream, jitter(c.Request.ID, clock.Second/2), "no upstream of %s may get new work", service)
	}
	c.FirstByteLimit = 0
	if len(warm) > 1 && !c.Headed && c.Runs+1 < c.Route.MaxAttempts {
		c.FirstByteLimit = f.firstByteLimit(c)
	}
	return u, nil
}

// long tells whether the prompt of the call takes long to read for the largest model; its answer by a smaller one comes in good time
// only if that one doesn't wait either.
func (f *Dispatch) long(c *enquiry.Call) bool {
	if c.Request.Prompt == nil {
		return false
	}
	model := c.Model
	if sizes := c.Route.Sizes; len(sizes) > 0 {
		model = sizes[len(sizes)-1]
	}
	expected, known := f.Paces.Expect(model, c.Request.Prompt.Tokens)
	return known && expected >= longTime
}

// firstByteLimit returns the time after which the beginning of the answer is asked for elsewhere.
func (f *Dispatch) firstByteLimit(c *enquiry.Call) clock.Millis {
	if c.Request.Prompt == nil {
		return clock.Millis(callFirstPart * float64(c.Route.Target))
	}
	return f.Paces.Limit(c.Model, c.Request.Prompt.Tokens, clock.Millis(streamFirstPart*float64(c.Route.Target)))
}

// chooseCold picks a cold upstream that bears one more request of this instance.
func (f *Dispatch) chooseCold(s *catalogue.Snapshot, pool *catalogue.Pool, cold []*catalogue.Upstream, now clock.Millis) *catalogue.Upstream {
	rate := coldPart * pool.ColdRate / float64(max(leastMembers, len(s.Members)))
	for _, u := range cold {
		if f.Board.TakeCold(u.Name, now, rate) {
			return u
		}
	}
	return nil
}

// release keeps the upstreams of the release that the call belongs to.
func (f *Dispatch) release(s *catalogue.Snapshot, c *enquiry.Call, from []*catalogue.Upstream, now clock.Millis) []*catalogue.Upstream {
	m := s.Moves[c.Pool.Name]
	if m == nil {
		return from
	}
	var target, rest []*catalogue.Upstream
	for _, u := range from {
		if u.Release == m.Target {
			target = append(target, u)
		} else {
			rest = append(rest, u)
		}
	}
	onTarget := f.Releases.OnTarget(m, c, now)
	if onTarget && len(c.Excluded) > 0 && m.State == catalogue.ReleaseRunning && len(rest) > 0 && m.Keeping(now) {
		// What failed on a release that is not judged yet goes to the one that is known.
		onTarget = false
	}
	if onTarget && len(target) > 0 {
		return target
	}
	if m.State == catalogue.ReleaseReverted || len(rest) > 0 {
		return rest
	}
	return target
}

// splitService returns the service that the call belongs to, the same for all attempts.
func splitService(c *enquiry.Call) string {
	split := c.Route.Split
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	at := enquiry.Fraction("split", c.Request.ID) * total
	for _, s := range split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return split[len(split)-1].Service
}

func others(from []*catalogue.Upstream, excluded []string) []*catalogue.Upstream {
	if len(excluded) == 0 {
		return from
	}
	var left []*catalogue.Upstream
	for _, u := range from {
		if !slices.Contains(excluded, u.Name) {
			left = append(left, u)
		}
	}
	if len(left) == 0 {
		// All have failed once; one of them is better than none.
		return from
	}
	return left
}

func byWarmth(from []*catalogue.Upstream, now clock.Millis) (warm, cold []*catalogue.Upstream) {
	for _, u := range from {
		if now < u.ColdUntil {
			cold = append(cold, u)
		} else {
			warm = append(warm, u)
		}
	}
	return warm, cold
}
