package rating

import (
	"math"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// plannedExposure is the part of an exposure budget that is planned for; the rest covers requests that aren't counted yet.
	plannedExposure = 0.82
	// rateWindow is the time over which the rate of requests is measured.
	rateWindow clock.Millis = 2 * clock.Second
	// minStepTime is the least time at a share before the next one, so that its answers are known to all instances.
	minStepTime clock.Millis = 700
)

// shiftSteps are the shares of a release after the canary phase. A step begins once the time left is at most leftPerFull times the
// time for which the budget affords all requests: that is what the step and those after it take, when 0.35 of the budget goes to the
// steps below 1, in equal times, and the rest to the last one.
var shiftSteps = [...]struct{ share, leftPerFull float64 }{{0.3, 1.43}, {0.6, 1.18}, {1, 1}}

// ExposureBudget bounds the requests that a release gets before it is known to be good: a share of all requests of the rollout's span,
// and Slack requests more.
type ExposureBudget struct {
	Share float64
	Slack float64
}

// Exposure is what was observed of a rollout until now, and the time left of its span.
type Exposure struct {
	// Requests and Exposed count the requests sent to both releases and to the new one.
	Requests, Exposed float64
	// PerMilli is the rate of requests to both releases that is planned for, per millisecond: the recent one, or the mean of the whole
	// time and one standard deviation if that is higher, because requests come in bursts.
	PerMilli float64
	Left     clock.Millis
}

// Full returns for how long the rest of the budget affords that all requests go to the new release.
func (b ExposureBudget) Full(e Exposure) clock.Millis {
	rest := plannedExposure*b.allowed(e) - e.Exposed
	if rest <= 0 || e.PerMilli <= 0 {
		return 0
	}
	return clock.Millis(math.Round(min(rest/e.PerMilli, float64(maxFull))))
}

// allowed returns the requests that the budget allows the release over the whole span.
func (b ExposureBudget) allowed(e Exposure) float64 {
	allowed := b.Share * (e.Requests + e.PerMilli*float64(max(0, e.Left)))
	return allowed + min(b.Slack, allowed)
}

// maxFull bounds the time that a budget affords, for rollouts with hardly any requests.
const maxFull clock.Millis = 24 * 60 * 60 * clock.Second

// Shift raises the share of a release in steps, by the exposure that is left; it never lowers it.
type Shift struct {
	steps int
	// raisedAt is when the share was last raised.
	raisedAt clock.Millis
}

// Share returns the share of the release, which is canary until the first step.
func (s *Shift) Share(canary float64) float64 {
	if s.steps == 0 {
		return canary
	}
	return max(canary, shiftSteps[s.steps-1].share)
}

// FullSince returns when the release got all requests, and false before.
func (s *Shift) FullSince() (clock.Millis, bool) { return s.raisedAt, s.steps == len(shiftSteps) }

// Advance begins the next step if the budget affords it and the one before has had its time.
func (s *Shift) Advance(now clock.Millis, b ExposureBudget, e Exposure) {
	if s.steps == len(shiftSteps) || s.steps > 0 && now-s.raisedAt < minStepTime {
		return
	}
	if float64(e.Left) <= shiftSteps[s.steps].leftPerFull*float64(b.Full(e)) {
		s.steps++
		s.raisedAt = now
	}
}

// sendMeter adds up the requests sent to both releases and measures their rate.
type sendMeter struct {
	requests, exposed float64
	// history has the number of requests at earlier times, for as long as the recent rate is measured.
	history []sendCount
	// windows, sum and squares are the number of whole rate windows so far, the sum of their rates, and that of the squares.
	windows, sum, squares float64
	// windowStart is the beginning of the present one.
	windowStart sendCount
}

type sendCount struct {
	at       clock.Millis
	requests float64
}

// rateSince returns the rate of requests since an earlier count.
func (c sendCount) rateSince(earlier sendCount) float64 {
	return (c.requests - earlier.requests) / float64(max(1, c.at-earlier.at))
}

// add adds requests that became known since the last call.
func (m *sendMeter) add(now clock.Millis, old, target float64) {
	m.requests += old + target
	m.exposed += target
	count := sendCount{at: now, requests: m.requests}
	if len(m.history) == 0 {
		m.windowStart = count
	}
	m.history = append(m.history, count)
	for len(m.history) > 2 && now-m.history[1].at >= rateWindow {
		m.history = m.history[1:]
	}
	if now-m.windowStart.at >= rateWindow {
		rate := count.rateSince(m.windowStart)
		m.windows++
		m.sum += rate
		m.squares += rate * rate
		m.windowStart = count
	}
}

// exposure returns what was observed, with the time left.
func (m *sendMeter) exposure(left clock.Millis) Exposure {
	e := Exposure{Requests: m.requests, Exposed: m.exposed, Left: left}
	if len(m.history) < 2 {
		return e
	}
	e.PerMilli = m.history[len(m.history)-1].rateSince(m.history[0])
	if m.windows > 0 {
		mean := m.sum / m.windows
		e.PerMilli = max(e.PerMilli, mean+math.Sqrt(max(0, m.squares/m.windows-mean*mean)))
	}
	return e
}
