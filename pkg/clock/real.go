package clock

import "time"

// Real is the clock of the machine.
type Real struct {
	start time.Time
	// asleep is how long the machine had been suspended at start.
	asleep time.Duration
}

// NewReal returns a clock whose monotonic time starts at one second.
func NewReal() *Real {
	return &Real{start: time.Now().Add(-time.Second), asleep: suspended()}
}

// Now returns the monotonic time since the clock was made, in milliseconds; it counts the time for which the machine was suspended.
func (r *Real) Now() Millis {
	asleep := suspended() - r.asleep
	if asleep < suspensionStep {
		asleep = 0
	}
	return FromDuration(time.Since(r.start) + asleep)
}

// Wall returns the time since 1970 in milliseconds.
func (r *Real) Wall() Millis {
	return Millis(time.Now().UnixMilli())
}

// Timer returns a channel that is closed after d, and a function that gives the timer up.
func (r *Real) Timer(d Millis) (<-chan struct{}, func()) {
	done := make(chan struct{})
	t := time.AfterFunc(d.Duration(), func() { close(done) })
	return done, func() { t.Stop() }
}
