package scaling

import (
	"math"

	"carawayknot.example/carawayknot/pkg/clock"
)

// averagingTime is the time constant of the averages.
const averagingTime = clock.Second

// decayingRate is an exponentially decaying sum of amounts, as an amount per second.
type decayingRate struct {
	perSecond float64
	updatedAt clock.Millis
}

func (r *decayingRate) add(now clock.Millis, n float64) {
	r.perSecond = r.value(now) + n/averagingTime.Seconds()
	r.updatedAt = now
}

func (r *decayingRate) value(now clock.Millis) float64 {
	return r.perSecond * decay(now-r.updatedAt)
}

// decayingMean is an exponentially decaying mean of a level over time.
type decayingMean struct {
	level, mean float64
	updatedAt   clock.Millis
}

func (m *decayingMean) add(now clock.Millis, n float64) {
	m.mean, m.updatedAt = m.value(now), now
	m.level += n
}

func (m *decayingMean) value(now clock.Millis) float64 {
	return m.level + (m.mean-m.level)*decay(now-m.updatedAt)
}

func decay(d clock.Millis) float64 {
	return math.Exp(-float64(max(0, d)) / float64(averagingTime))
}
