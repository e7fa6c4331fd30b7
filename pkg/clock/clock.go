package clock

import (
	"context"
	"time"
)

// Millis is a point in time or a duration, in milliseconds.
type Millis int64

// Second is one second, in milliseconds.
const Second Millis = 1000

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds returns m as a number of seconds with its fraction.
func (m Millis) Seconds() float64 {
	return float64(m) / float64(Second)
}

// FromDuration returns d in milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is a source of time and timers; implementations are safe for concurrent use.
type Clock interface {
	// Now returns the monotonic time since an arbitrary start, in milliseconds.
	Now() Millis
	// Wall returns the Unix time in milliseconds, which may jump.
	Wall() Millis
	// Timer returns a channel that is closed after d, and a function that stops the timer.
	Timer(d Millis) (<-chan struct{}, func())
}

// Sleep waits until d has passed on c and returns ctx.Err() when ctx ends first.
func Sleep(ctx context.Context, c Clock, d Millis) error {
	done, stop := c.Timer(d)
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
