package concierge

import (
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/platform"
)

const (
	// warmAnswers is how many quick answers in a row end the cold start.
	warmAnswers = 3
	// firstAnswers is how many answers end it as long as nothing is known of how quick answers usually are.
	firstAnswers = 8
	// coldSigns is how many signs in a row start the cold start again.
	coldSigns = 3
	// coldFactor is how many times slower than usual a first token is a sign of cold start.
	coldFactor = 3.0
	// quickFactor is how many times slower than usual a first token may be to count as quick.
	quickFactor = 2.0
	// usualWeight is the weight of the newest answer in the usual time to the first token.
	usualWeight = 0.05
	// growFactor raises the limit with each report of a warm upstream that has room.
	growFactor = 1.25
	// cutFactor lowers the limit after a sign of overload.
	cutFactor = 0.8
	// cutPause is the least time between two cuts and between a cut and growth, in milliseconds.
	cutPause clock.Millis = 1000
	// firstWarmLimit is the limit with which an upstream leaves the cold start.
	firstWarmLimit = 4
	// defaultBearable bounds the limit of an upstream that does not say what it bears.
	defaultBearable = 16
)

// warmth is what is known of one upstream.
type warmth struct {
	incarnation int64
	episode     int64
	cold        bool
	// answers and quick count the answers and the quick ones in a row since the cold start.
	answers int
	quick   int
	signs   int
	limit   float64
	// bearable and inFlight are as reported.
	bearable int
	inFlight int
	// announced is true while the upstream itself reports a cold start.
	announced bool
	cutAt     clock.Millis
}

func (u *warmth) restart(incarnation int64) {
	u.incarnation, u.episode = incarnation, 0
	u.turnCold()
}

func (u *warmth) turnCold() {
	u.cold = true
	u.answers, u.quick, u.signs = 0, 0, 0
	u.limit = firstWarmLimit
}

func (u *warmth) turnWarm() {
	u.cold, u.signs = false, 0
	u.limit = firstWarmLimit
}

func (u *warmth) takeReport(r *platform.LoadReport, at clock.Millis) {
	u.bearable, u.inFlight = r.Bearable, r.InFlight
	if r.Cold && !u.cold {
		u.beginEpisode()
	}
	u.announced = r.Cold
	if u.cold {
		return
	}
	if r.InFlight > u.max() || r.Queued > 0 {
		u.cut(at)
		return
	}
	if at-u.cutAt >= cutPause {
		u.limit = min(float64(u.max()), u.limit*growFactor)
	}
}

func (u *warmth) takeMark(m Mark) {
	switch {
	case m.Incarnation < u.incarnation, m.Incarnation == u.incarnation && m.Episode < u.episode:
		return
	case m.Incarnation > u.incarnation, m.Episode > u.episode:
		u.incarnation, u.episode = m.Incarnation, m.Episode
		u.turnCold()
	}
	if m.Warm && u.cold && !u.announced {
		u.turnWarm()
	}
}

// beginEpisode starts a cold start that nothing but its signs has shown.
func (u *warmth) beginEpisode() {
	u.episode++
	u.turnCold()
}

func (u *warmth) takeFailure(at clock.Millis) {
	u.quick = 0
	u.cut(at)
	u.takeSign()
}

// takeSign counts a sign of cold start, which counts only when too much load does not explain it.
func (u *warmth) takeSign() {
	if u.cold || u.inFlight > u.max()/2 {
		return
	}
	u.signs++
	if u.signs >= coldSigns {
		u.beginEpisode()
	}
}

// takeAnswer takes in the time to the first token of an answer; usual is 0 as long as nothing is known.
func (u *warmth) takeAnswer(firstToken, usual float64, at clock.Millis) {
	u.answers++
	if usual > 0 && firstToken > coldFactor*usual {
		u.quick = 0
		u.takeSign()
		u.cut(at)
		return
	}
	u.signs = 0
	if usual > 0 && firstToken <= quickFactor*usual {
		u.quick++
	}
	if u.cold && !u.announced && (u.quick >= warmAnswers || usual == 0 && u.answers >= firstAnswers) {
		u.turnWarm()
	}
}

// cut lowers the limit, at most once in a while, so that a burst of failures counts as one.
func (u *warmth) cut(at clock.Millis) {
	if at-u.cutAt < cutPause {
		return
	}
	u.cutAt = at
	u.limit = max(1, u.limit*cutFactor)
}

func (u *warmth) max() int {
	if u.bearable > 0 {
		return u.bearable
	}
	return defaultBearable
}
