package clock

import "time"

// Real is the Clock of the host.
type Real struct {
	start time.Time
	// suspendedAtStart is how long the host had been suspended before start.
	suspendedAtStart time.Duration
}

// NewReal returns a clock whose monotonic time starts at one second.
func NewReal() *Real {
	return &Real{start: time.Now().Add(-time.Second), suspendedAtStart: suspendedTime()}
}

// Now returns the monotonic time in milliseconds, including the time for which the host was suspended.
func (r *Real) Now() Millis {
	suspension := suspendedTime() - r.suspendedAtStart
	if suspension < minSuspension {
		suspension = 0
	}
	return FromDuration(time.Since(r.start) + suspension)
}

// Wall returns the Unix time in milliseconds.
func (r *Real) Wall() Millis {
	return Millis(time.Now().UnixMilli())
}

// Timer returns a channel that is closed after d, and a function that stops the timer.
func (r *Real) Timer(d Millis) (<-chan struct{}, func()) {
	done := make(chan struct{})
	t := time.AfterFunc(d.Duration(), func() { close(done) })
	return done, func() { t.Stop() }
}

// Awake is the Clock of the host without the time for which it was suspended; reading it takes no system call.
type Awake struct{ Real }

// NewAwake returns a clock whose monotonic time starts at one second.
func NewAwake() *Awake { return &Awake{Real: *NewReal()} }

// Now returns the monotonic time in milliseconds.
func (a *Awake) Now() Millis { return FromDuration(time.Since(a.start)) }
