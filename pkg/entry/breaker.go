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
	// breakerFailures is how many ratings in a row must fail for the breaker to open.
	breakerFailures = 3
	// breakerPause is how long the breaker stays open, in milliseconds; then one rating is tried.
	breakerPause = 5 * clock.Second
)

// RaterBreaker is a circuit breaker before the service that rates answers. While it is open cascades go to the better version
// at once; without it each of them would wait for a service that is down.
type RaterBreaker struct {
	Clock clock.Clock
	Rater pricing.Rater

	mu       sync.Mutex
	failures int
	openTill clock.Millis
}

// BreakerError says that the rating service was not asked; Till is the monotonic time until which it is not, in milliseconds.
type BreakerError struct {
	Till clock.Millis
}

// Error tells the time.
func (e *BreakerError) Error() string {
	return fmt.Sprintf("the rating service failed lately and is not asked until %d ms", e.Till)
}

// Rate asks the service, or fails with a *BreakerError while the breaker is open.
func (b *RaterBreaker) Rate(ctx context.Context, r backoffice.RateRequest) (float64, error) {
	if err := b.enter(); err != nil {
		return 0, err
	}
	score, err := b.Rater.Rate(ctx, r)
	b.leave(err)
	return score, err
}

func (b *RaterBreaker) enter() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if b.failures < breakerFailures {
		return nil
	}
	if now < b.openTill {
		return &BreakerError{Till: b.openTill}
	}
	// This call tries the service; the others wait for its outcome as long as the breaker would stay open.
	b.openTill = now + breakerPause
	return nil
}

func (b *RaterBreaker) leave(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.failures = 0
		return
	}
	b.failures++
	b.openTill = b.Clock.Now() + breakerPause
}
