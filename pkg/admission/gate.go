package admission

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// maxRefusedShare bounds the share of the calls of one urgency that is refused for the sake of more urgent ones, so that none starves.
	maxRefusedShare = 0.6
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused call, in milliseconds.
	minRetryAfter clock.Millis = 500
	maxRetryAfter clock.Millis = 5 * clock.Second
	// logPeriod is the least time between two log lines of refusals, in milliseconds.
	logPeriod = clock.Second
)

// Decision is what a gate decides on one call.
type Decision struct {
	// Refused is true if the call is refused at once, with RetryAfter in milliseconds and the reason of Cause.
	Refused    bool
	Cause      Cause
	RetryAfter clock.Millis
}

// Cause is why a call is refused, as in the metrics.
type Cause string

// The causes of refusals.
const (
	// CauseDeadline means that the call would wait at every upstream until after its deadline.
	CauseDeadline Cause = "Deadline"
	// CauseUrgency means that more urgent calls would be late everywhere, and this one gives way to them.
	CauseUrgency Cause = "Urgency"
)

// Decide returns whether a call of this urgency is refused when it would wait for wait milliseconds at the idlest upstream and has left milliseconds
// until its deadline; draw is a number from 0 to 1 that differs for each call.
func Decide(u Urgency, wait, left clock.Millis, draw float64) Decision {
	if wait >= left {
		return Decision{Refused: true, Cause: CauseDeadline, RetryAfter: retryAfter(wait, draw)}
	}
	if u.Ranks <= 1 || u.Rank == 0 || u.Target <= 0 || wait <= u.Target {
		return Decision{}
	}
	// The share rises from none where the most urgent calls are just in time to all that may be refused where they wait twice as long, and
	// for calls in the middle more slowly.
	share := float64(wait-u.Target) / float64(u.Target) * float64(u.Rank) / float64(u.Ranks-1)
	if draw >= min(maxRefusedShare, share) {
		return Decision{}
	}
	return Decision{Refused: true, Cause: CauseUrgency, RetryAfter: retryAfter(wait, draw)}
}

// retryAfter returns the time after which the queues that are known have been worked off, spread by half of it.
func retryAfter(wait clock.Millis, draw float64) clock.Millis {
	return min(max(clock.Millis(float64(wait)*(0.75+0.5*draw)), minRetryAfter), maxRetryAfter)
}

// Gate is the filter that refuses prompts at once while there is no room for them; its exported fields must be set before use.
type Gate struct {
	Clock clock.Clock
	Log   logr.Logger
	// Pool returns the pool of the service that the call goes to; nil admits the call.
	Pool func(c *request.Call) *catalogue.Pool
	// Urgency returns the urgency of a call.
	Urgency func(c *request.Call) Urgency
	// ExpectedWait predicts how long a prompt waits before the model reads it, in milliseconds, at the upstream that is busier than this
	// share of them; it is 0 while nothing is known.
	ExpectedWait func(c *request.Call, model string, share float64) clock.Millis
	// OnRefused is called for each refusal; it is optional.
	OnRefused func(service string, u Urgency, cause Cause)

	mu       sync.Mutex
	nextLog  clock.Millis
	unlogged int
}

// Filter refuses the call or passes it on. Only the instance that a caller asked decides.
func (g *Gate) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Request.Prompt == nil || c.Request.HandedOver {
		return next.Handle(ctx, c)
	}
	pool := g.Pool(c)
	if pool == nil {
		return next.Handle(ctx, c)
	}
	c.Pool = pool
	now, urgency := g.Clock.Now(), g.Urgency(c)
	wait := g.ExpectedWait(c, firstModel(c), 0)
	d := Decide(urgency, wait, c.Request.Deadline-now, request.HashFraction("admission", c.Request.ID))
	if !d.Refused {
		return next.Handle(ctx, c)
	}
	if g.OnRefused != nil {
		g.OnRefused(pool.Name, urgency, d.Cause)
	}
	g.log(c, urgency, wait, d, now)
	return request.Refuse(request.ReasonOverloaded, d.RetryAfter, "the upstreams of %s are busy for %d ms (%s)", pool.Name, wait, d.Cause)
}

// firstModel returns the model that runs the call first, or "" if it isn't listed.
func firstModel(c *request.Call) string {
	if len(c.Route.Sizes) > 0 && c.Request.Prompt.Model == "" {
		return c.Route.Sizes[0]
	}
	return c.ListedModel(c.Request.Prompt.Model)
}

// log logs a refusal with the figures behind it, at most one each logPeriod.
func (g *Gate) log(c *request.Call, u Urgency, wait clock.Millis, d Decision, now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now < g.nextLog {
		g.unlogged++
		return
	}
	g.Log.Info("call gives way", "request", c.Request.ID, "service", c.Pool.Name, "route", c.Route.Name, "cause", d.Cause, "rank", u.Rank,
		"ranks", u.Ranks, "waitMs", wait, "urgentTargetMs", u.Target, "leftMs", c.Request.Deadline-now, "retryAfterMs", d.RetryAfter, "unlogged", g.unlogged)
	g.nextLog, g.unlogged = now+logPeriod, 0
}
