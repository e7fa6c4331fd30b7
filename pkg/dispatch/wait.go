package dispatch

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Waiter creates the waits of requests for capacity; a replay implements it to run them on a simulated clock.
type Waiter interface {
	// Wait returns a function that waits for up to d milliseconds, and a function that ends the wait early; ready may be called at most
	// once, at any time.
	Wait(ctx context.Context) (ready func(), wait func(d clock.Millis) error)
}

// ClockWaiter is the Waiter on a clock.
type ClockWaiter struct {
	Clock clock.Clock
}

// Wait returns a wait that ends after d milliseconds, when ready is called, or with the error of ctx when ctx is done.
func (w ClockWaiter) Wait(ctx context.Context) (ready func(), wait func(d clock.Millis) error) {
	done := make(chan struct{})
	ready = sync.OnceFunc(func() { close(done) })
	wait = func(d clock.Millis) error {
		timer, stop := w.Clock.Timer(d)
		defer stop()
		select {
		case <-done:
		case <-timer:
		case <-ctx.Done():
			return ctx.Err()
		}
		return nil
	}
	return ready, wait
}
