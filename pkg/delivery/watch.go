package delivery

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

var (
	errDeadline = errors.New("the deadline has passed")
	errStalled  = errors.New("the upstream sent no byte within the time limit")
)

// watch tells when the deadline has passed, and when no byte has come for the time limit.
type watch struct {
	clock clock.Clock
	// stall is the time limit without a byte, in milliseconds.
	stall clock.Millis
	// deadline is the monotonic time to give up at; 0 is none.
	deadline clock.Millis
	// stalled and late are told when to give up.
	stalled func(cause error)
	late    func(cause error)
	last    atomic.Int64
	paused  atomic.Bool
}

// touch notes that a byte has come.
func (w *watch) touch() { w.last.Store(int64(w.clock.Now())) }

// pause stops the time limit while nothing is read from the upstream.
func (w *watch) pause() { w.paused.Store(true) }

// resume starts the time limit anew.
func (w *watch) resume() {
	w.touch()
	w.paused.Store(false)
}

// run watches until ctx ends.
func (w *watch) run(ctx context.Context) {
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

// next returns the time until the next check, 0 to check at once.
func (w *watch) next() clock.Millis {
	now := w.clock.Now()
	wait := w.stall
	if !w.paused.Load() {
		wait = clock.Millis(w.last.Load()) + w.stall - now
		if wait <= 0 {
			w.stalled(errStalled)
			return w.stall
		}
	}
	if w.deadline == 0 {
		return wait
	}
	left := w.deadline - now
	if left <= 0 {
		w.late(errDeadline)
		w.deadline = 0
		return 0
	}
	return min(wait, left)
}
