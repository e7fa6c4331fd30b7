package duty

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Guard is a Caller that sends nothing without the lease, and that makes the Keeper give it up when the platform refuses its token.
type Guard struct {
	Keeper *Keeper
	Caller Caller
}

// Usage sends a report under the lease.
func (g *Guard) Usage(ctx context.Context, lease Lease, report UsageReport) error {
	return g.call(lease, func(current Lease) error { return g.Caller.Usage(ctx, current, report) })
}

// Scale sends an order under the lease.
func (g *Guard) Scale(ctx context.Context, lease Lease, order ScaleOrder) error {
	return g.call(lease, func(current Lease) error { return g.Caller.Scale(ctx, current, order) })
}

func (g *Guard) call(lease Lease, send func(current Lease) error) error {
	now := g.Keeper.Clock.Now()
	current, held := g.Keeper.Held(now)
	if !held || current.Token != lease.Token {
		return &NotHeldError{Token: lease.Token}
	}
	err := send(current)
	g.Keeper.observe(current, err)
	return err
}

// observe notes the result of a call under a lease.
func (k *Keeper) observe(lease Lease, err error) {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var fenced *FencedError
	var throttled *ThrottledError
	var expired *ExpiredError
	switch {
	case err == nil, errors.As(err, &throttled):
		k.failures = 0
	case errors.As(err, &fenced):
		k.stats.Fenced++
		k.refused = max(k.refused, lease.Token)
		if k.lease.Token == lease.Token {
			k.dropLocked("the platform has seen a higher token")
		}
	case errors.As(err, &expired):
	default:
		k.unknownUntil = now + unfencedDelay
		if k.failures == 0 {
			k.failingSince = now
		}
		k.failures++
		if k.failures >= maxFailures && now-k.failingSince >= k.Lease {
			k.yield("calls to the platform fail: " + err.Error())
		}
	}
}
