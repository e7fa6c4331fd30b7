package placement

import (
	"math"

	"carawayknot.example/carawayknot/pkg/clock"
)

// mean is a moving average.
type mean struct {
	value float64
	known bool
}

// meanWeight is the weight of the newest sample of a moving average.
const meanWeight = 0.05

func (m *mean) add(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += meanWeight * (v - m.value)
}

// rate is an amount per millisecond, averaged over the last rateTime or so.
type rate struct {
	sum float64
	at  clock.Millis
	// since is when the first amount was added.
	since clock.Millis
}

// rateTime is the time after which an amount has a third of its weight in a rate.
const rateTime = 3 * clock.Second

func (r *rate) add(amount float64, now clock.Millis) {
	if r.since == 0 {
		r.since = now
	}
	r.sum = r.sum*fade(now-r.at, rateTime) + amount
	r.at = now
}

// per returns the rate per millisecond at now.
func (r *rate) per(now clock.Millis) float64 {
	if r.since == 0 {
		return 0
	}
	covered := float64(rateTime) * (1 - fade(max(now-r.since, rateTime/10), rateTime))
	return r.sum * fade(now-r.at, rateTime) / covered
}

// fade returns the weight of what is that old, which falls to a third within a time.
func fade(age, within clock.Millis) float64 {
	return math.Exp(-float64(max(0, age)) / float64(within))
}
