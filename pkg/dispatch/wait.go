package dispatch

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Waiter makes the waits of requests for room, so that a replay can run them on its own clock.
type Waiter interface {
	// Wait returns a wait, and a function that ends it early; the function may be called once, at any time.
	Wait(ctx context.Context) (ready func(), wait func(d clock.Millis) error)
}

// ClockWaiter waits on a clock.
type ClockWaiter struct {
	Clock clock.Clock
}

// Wait returns a wait that ends with ready, after d milliseconds, or with ctx and its error.
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
