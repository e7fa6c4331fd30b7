package clock

import (
	"sort"
	"sync"
)

// Manual is a clock that moves only when Advance is called.
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

// NewManual returns a manual clock that shows now, with the wall clock at the same value.
func NewManual(now Millis) *Manual {
	return &Manual{now: now, wall: now}
}

// Now returns the time that was set, in milliseconds.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns the wall time that was set, in milliseconds.
func (m *Manual) Wall() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// JumpWall moves only the wall clock by d, which may be negative.
func (m *Manual) JumpWall(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall += d
}

// Timer returns a channel that is closed once the clock has advanced by d, and a function that gives the timer up.
func (m *Manual) Timer(d Millis) (<-chan struct{}, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{at: m.now + d, done: make(chan struct{})}
	if d <= 0 {
		close(t.done)
		return t.done, func() {}
	}
	m.timers = append(m.timers, t)
	return t.done, func() { m.drop(t) }
}

func (m *Manual) drop(t *manualTimer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.timers {
		if other == t {
			m.timers = append(m.timers[:i], m.timers[i+1:]...)
			return
		}
	}
}

// Advance moves both clocks forward by d and closes the timers that are due, in order.
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

// Waiting returns how many timers are pending.
func (m *Manual) Waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}
