package delivery

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

var (
	errDeadline = errors.New("request deadline exceeded")
	errStalled  = errors.New("upstream sent no data within the stall timeout")
)

// watchdog reports when the deadline has passed and when no byte has arrived within the stall timeout.
type watchdog struct {
	clock clock.Clock
	// stallTimeout is the longest time without a byte, in milliseconds.
	stallTimeout clock.Millis
	// deadline is a monotonic time; 0 means none.
	deadline clock.Millis
	// onStall and onDeadline are called with the cause when a limit is exceeded.
	onStall    func(cause error)
	onDeadline func(cause error)
	lastByteAt atomic.Int64
	paused     atomic.Bool
}

// touch restarts the stall timeout because a byte has arrived.
func (w *watchdog) touch() { w.lastByteAt.Store(int64(w.clock.Now())) }

// pause suspends the stall timeout while nothing is read from the upstream.
func (w *watchdog) pause() { w.paused.Store(true) }

// resume restarts the stall timeout after a pause.
func (w *watchdog) resume() {
	w.touch()
	w.paused.Store(false)
}

// run checks both limits until ctx ends.
func (w *watchdog) run(ctx context.Context) {
	for {
		wait := w.next()
		if wait <= 0 {
			continue
		}
		if clock.Sleep(ctx, w.clock, wait) != nil {
			return
		}
	}
}

// next checks both limits and returns the time until the next check; 0 means at once.
func (w *watchdog) next() clock.Millis {
	now := w.clock.Now()
	wait := w.stallTimeout
	if !w.paused.Load() {
		wait = clock.Millis(w.lastByteAt.Load()) + w.stallTimeout - now
		if wait <= 0 {
			w.onStall(errStalled)
			return w.stallTimeout
		}
	}
	if w.deadline == 0 {
		return wait
	}
	left := w.deadline - now
	if left <= 0 {
		w.onDeadline(errDeadline)
		w.deadline = 0
		return 0
	}
	return min(wait, left)
}
