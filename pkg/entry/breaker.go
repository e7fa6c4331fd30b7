package entry

import (
	"context"
	"fmt"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/pricing"
)

const (
	// breakerThreshold is the number of consecutive failed calls that opens the breaker.
	breakerThreshold = 3
	// breakerOpenTime is how long the breaker stays open before one trial call, in milliseconds.
	breakerOpenTime = 5 * clock.Second
)

// RaterBreaker is a circuit breaker for the rating service: while it is open, cascades use the better version at once instead
// of waiting for a service that is down.
type RaterBreaker struct {
	Clock clock.Clock
	Rater pricing.Rater

	mu        sync.Mutex
	failures  int
	openUntil clock.Millis
}

// BreakerError reports that the open breaker rejected a call; Until is the monotonic time at which the breaker allows a trial
// call, in milliseconds.
type BreakerError struct {
	Until clock.Millis
}

// Error includes the time at which the breaker allows a trial call.
func (e *BreakerError) Error() string {
	return fmt.Sprintf("circuit breaker of the rating service is open until %d ms", e.Until)
}

// Rate calls the rating service, or returns a *BreakerError while the breaker is open.
func (b *RaterBreaker) Rate(ctx context.Context, r backoffice.RateRequest) (float64, error) {
	if err := b.admit(); err != nil {
		return 0, err
	}
	score, err := b.Rater.Rate(ctx, r)
	b.record(err)
	return score, err
}

func (b *RaterBreaker) admit() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if b.failures < breakerThreshold {
		return nil
	}
	if now < b.openUntil {
		return &BreakerError{Until: b.openUntil}
	}
	// This call is the trial; the breaker rejects all others until it ends or breakerOpenTime has passed.
	b.openUntil = now + breakerOpenTime
	return nil
}

func (b *RaterBreaker) record(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.failures = 0
		return
	}
	b.failures++
	b.openUntil = b.Clock.Now() + breakerOpenTime
}
