package clock

import (
	"sort"
	"sync"
)

// Manual is a Clock for tests that moves only when Advance or JumpWall is called; it is safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    Millis
	wall   Millis
	timers []*manualTimer
}

type manualTimer struct {
	at   Millis
	done chan struct{}
}

// NewManual returns a clock whose monotonic time and wall time are both now, in milliseconds.
func NewManual(now Millis) *Manual {
	return &Manual{now: now, wall: now}
}

// Now returns the monotonic time, in milliseconds.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns the wall time, in milliseconds.
func (m *Manual) Wall() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// JumpWall moves the wall time by d, which may be negative, and leaves the monotonic time unchanged.
func (m *Manual) JumpWall(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall += d
}

// Timer returns a channel that is closed once Advance has moved the clock by d, and a function that stops the timer.
func (m *Manual) Timer(d Millis) (<-chan struct{}, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{at: m.now + d, done: make(chan struct{})}
	if d <= 0 {
		close(t.done)
		return t.done, func() {}
	}
	m.timers = append(m.timers, t)
	return t.done, func() { m.removeTimer(t) }
}

func (m *Manual) removeTimer(t *manualTimer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.timers {
		if other == t {
			m.timers = append(m.timers[:i], m.timers[i+1:]...)
			return
		}
	}
}

// Advance moves the monotonic time and the wall time forward by d and fires the due timers in order.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	m.wall += d
	sort.SliceStable(m.timers, func(i, j int) bool { return m.timers[i].at < m.timers[j].at })
	for len(m.timers) > 0 && m.timers[0].at <= m.now {
		close(m.timers[0].done)
		m.timers = m.timers[1:]
	}
}

// PendingTimers returns the number of pending timers.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}
