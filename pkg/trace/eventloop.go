package trace

import (
	"container/heap"
	"context"
	"iter"

	"carawayknot.example/carawayknot/pkg/clock"
)

// eventLoop is a discrete-event loop on a manual clock; it runs one function or process at a time, so that runs are repeatable.
type eventLoop struct {
	clock *clock.Manual
	queue timerHeap
	seq   int64
}

func newEventLoop() *eventLoop { return &eventLoop{clock: clock.NewManual(0)} }

// schedule runs fn at t, after all functions scheduled earlier for the same time.
func (l *eventLoop) schedule(t clock.Millis, fn func()) {
	l.seq++
	heap.Push(&l.queue, &timer{at: max(t, l.clock.Now()), seq: l.seq, fn: fn})
}

// repeat runs fn at first and then once per period until end.
func (l *eventLoop) repeat(first, period, end clock.Millis, fn func()) {
	if first > end {
		return
	}
	l.schedule(first, func() {
		fn()
		l.repeat(first+period, period, end, fn)
	})
}

// run runs until no function is scheduled.
func (l *eventLoop) run() {
	for len(l.queue) > 0 {
		t := heap.Pop(&l.queue).(*timer)
		l.clock.Advance(t.at - l.clock.Now())
		t.fn()
	}
}

// process is a simulated thread, which runs as a coroutine of the event loop and can wait for simulated time to pass.
type process struct {
	loop   *eventLoop
	resume func()
	yield  func(struct{}) bool
	// waits is the number of the current wait; a wake-up for an earlier one is ignored.
	waits int
}

type processKey struct{}

// spawn runs body as a process that starts at t.
func (l *eventLoop) spawn(ctx context.Context, t clock.Millis, body func(ctx context.Context)) {
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
	l.schedule(t, p.resume)
}

// processOf returns the process that ctx belongs to.
func processOf(ctx context.Context) *process { return ctx.Value(processKey{}).(*process) }

// sleep suspends the process for d.
func (p *process) sleep(d clock.Millis) {
	_, wait := p.waker()
	_ = wait(d)
}

// waker returns wait, which suspends the process for at most d, and ready, which ends that wait early.
func (p *process) waker() (ready func(), wait func(d clock.Millis) error) {
	p.waits++
	waitID, signaled := p.waits, false
	wake := func() {
		if p.waits == waitID {
			p.waits++
			p.resume()
		}
	}
	ready = func() {
		signaled = true
		p.loop.schedule(p.loop.clock.Now(), wake)
	}
	wait = func(d clock.Millis) error {
		if signaled {
			d = 0
		}
		p.loop.schedule(p.loop.clock.Now()+d, wake)
		p.yield(struct{}{})
		return nil
	}
	return ready, wait
}

// eventLoopWaiter lets the request filters wait in simulated time.
type eventLoopWaiter struct{}

// Wait returns the ready and wait functions of the process that ctx belongs to.
func (eventLoopWaiter) Wait(ctx context.Context) (ready func(), wait func(d clock.Millis) error) {
	return processOf(ctx).waker()
}

type timer struct {
	at  clock.Millis
	seq int64
	fn  func()
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(*timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
