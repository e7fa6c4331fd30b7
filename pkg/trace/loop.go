package trace

import (
	"container/heap"
	"context"
	"iter"

	"carawayknot.example/carawayknot/pkg/clock"
)

// loop runs functions and processes one at a time in the order of a manual clock, so that a run is always the same.
type loop struct {
	clock  *clock.Manual
	events eventHeap
	seq    int64
}

func newLoop() *loop { return &loop{clock: clock.NewManual(0)} }

// at runs fn at the time, after everything that was put at the same time before.
func (l *loop) at(t clock.Millis, fn func()) {
	l.seq++
	heap.Push(&l.events, &timedFunc{at: max(t, l.clock.Now()), seq: l.seq, fn: fn})
}

// every runs fn at first and then once a period until end.
func (l *loop) every(first, period, end clock.Millis, fn func()) {
	if first > end {
		return
	}
	l.at(first, func() {
		fn()
		l.every(first+period, period, end, fn)
	})
}

// run runs until nothing is left.
func (l *loop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(*timedFunc)
		l.clock.Advance(e.at - l.clock.Now())
		e.fn()
	}
}

// process is a function that can wait; it runs as a coroutine of the loop.
type process struct {
	loop   *loop
	resume func()
	yield  func(struct{}) bool
	// waits counts the waits, so that a wake-up for an earlier one does nothing.
	waits int
}

type processKey struct{}

// start runs body as a process, beginning at the time.
func (l *loop) start(ctx context.Context, t clock.Millis, body func(ctx context.Context)) {
	p := &process{loop: l}
	next, stop := iter.Pull(func(yield func(struct{}) bool) {
		p.yield = yield
		body(context.WithValue(ctx, processKey{}, p))
	})
	p.resume = func() {
		if _, more := next(); !more {
			stop()
		}
	}
	l.at(t, p.resume)
}

// processOf returns the process that runs with the context.
func processOf(ctx context.Context) *process { return ctx.Value(processKey{}).(*process) }

// sleep waits for d.
func (p *process) sleep(d clock.Millis) {
	_, wait := p.waker()
	_ = wait(d)
}

// waker returns a function that ends the wait early, and the wait itself.
func (p *process) waker() (ready func(), wait func(d clock.Millis) error) {
	p.waits++
	this, early := p.waits, false
	wake := func() {
		if p.waits == this {
			p.waits++
			p.resume()
		}
	}
	ready = func() {
		early = true
		p.loop.at(p.loop.clock.Now(), wake)
	}
	wait = func(d clock.Millis) error {
		if early {
			d = 0
		}
		p.loop.at(p.loop.clock.Now()+d, wake)
		p.yield(struct{}{})
		return nil
	}
	return ready, wait
}

// loopWaiter lets the filters wait on the loop.
type loopWaiter struct{}

// Wait returns a wait of the process that runs with the context.
func (loopWaiter) Wait(ctx context.Context) (ready func(), wait func(d clock.Millis) error) {
	return processOf(ctx).waker()
}

type timedFunc struct {
	at  clock.Millis
	seq int64
	fn  func()
}

type eventHeap []*timedFunc

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*timedFunc)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
