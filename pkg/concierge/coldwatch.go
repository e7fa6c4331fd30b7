package concierge

import (
	"strings"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
	"carawayknot.example/carawayknot/pkg/platform"
)

const (
	// warmAnswers is how many quick answers in a row end the cold start.
	warmAnswers = 3
	// warmReports is how many reports in a row that say warm end the cold start of an upstream without work.
	warmReports = 4
	// coldSigns is how many signs in a row start the cold start again.
	coldSigns = 3
	// coldFactor is how many times slower than usual a first token is a sign of cold start.
	coldFactor = 4.0
	// quickFactor is how many times slower than usual a first token may be to count as quick.
	quickFactor = 2.0
	// slowFactor is how many times slower than usual a first token lowers the limit.
	slowFactor = 3.0
	// usualWeight is the weight of the newest answer in the usual time to the first token.
	usualWeight = 0.05
	// cutFactor lowers the limit after a sign of overload.
	cutFactor = 0.8
	// cutPause is the least time between two cuts, in milliseconds.
	cutPause clock.Millis = 1000
	// firstWarmLimit is the limit with which an upstream leaves the cold start.
	firstWarmLimit = 4
	// defaultBearable bounds the limit of an upstream that does not say what it bears.
	defaultBearable = 16
)

// ColdWatch infers which upstreams are in cold start and how many requests the warm ones bear.
// It needs no announcement: reports, refusals and times to the first token are enough.
type ColdWatch struct {
	upstreams map[string]*warmth
	// joined is what the other instances found out.
	joined map[string]Verdict
}

// warmth is what is known of one upstream.
type warmth struct {
	incarnation int64
	seen        bool
	cold        bool
	// reportedCold is what the last load report said.
	reportedCold bool
	// own is true once requests of this instance have shown what the present incarnation is like.
	own         bool
	quick       int
	warmReports int
	signs       int
	usual       float64
	limit       float64
	bearable    int
	inFlight    int
	cutAt       clock.Millis
}

// TakeLoad takes in a load report that was read at the time.
func (w *ColdWatch) TakeLoad(name string, incarnation int64, r platform.LoadReport, at clock.Millis) {
	u := w.upstream(name)
	if !u.seen || incarnation != u.incarnation {
		u.restart(incarnation)
	}
	u.bearable, u.inFlight = r.Bearable, r.InFlight
	u.reportedCold = r.Cold
	if r.Cold {
		u.turnCold()
		return
	}
	u.takeWarmReport()
	if r.InFlight > u.max() {
		u.cut(at)
	}
}

// TakeSample takes in what one attempt at an upstream showed.
func (w *ColdWatch) TakeSample(s enquiry.Sample) {
	if s.Upstream == "" || s.Result == enquiry.ResultCancelled {
		return
	}
	u := w.upstream(s.Upstream)
	if s.Result != enquiry.ResultComplete {
		u.takeFailure(s.At)
		return
	}
	u.takeAnswer(float64(s.FirstToken), s.At)
}

// Cold tells whether the upstream is taken to be in cold start; an unknown one is.
func (w *ColdWatch) Cold(name string) bool {
	u := w.upstreams[name]
	if u == nil {
		return true
	}
	if v, ok := w.heard(name, u); ok {
		return v.Cold || u.cold && (u.own || u.reportedCold)
	}
	return u.cold
}

// WarmLimit returns how many requests the upstream bears at once over all instances when it is warm.
func (w *ColdWatch) WarmLimit(name string) int {
	u := w.upstreams[name]
	if u == nil {
		return firstWarmLimit
	}
	if v, ok := w.heard(name, u); ok && !u.own {
		return min(max(1, v.Limit), u.max())
	}
	return max(1, int(u.limit))
}

// Forget drops an upstream that is gone.
func (w *ColdWatch) Forget(name string) { delete(w.upstreams, name) }

func (w *ColdWatch) upstream(name string) *warmth {
	u := w.upstreams[name]
	if u == nil {
		if w.upstreams == nil {
			w.upstreams = map[string]*warmth{}
		}
		u = &warmth{cold: true, limit: firstWarmLimit}
		w.upstreams[strings.Clone(name)] = u
	}
	return u
}

// restart begins a cold start; the usual times stay, since the machine is the same.
func (u *warmth) restart(incarnation int64) {
	u.seen, u.incarnation, u.own = true, incarnation, false
	u.turnCold()
}

func (u *warmth) turnCold() {
	u.cold = true
	u.quick, u.warmReports, u.signs = 0, 0, 0
	u.limit = firstWarmLimit
}

func (u *warmth) turnWarm() {
	u.cold, u.signs, u.own = false, 0, true
}

func (u *warmth) takeWarmReport() {
	u.warmReports++
	if u.cold && u.warmReports >= warmReports && u.quick > 0 {
		u.turnWarm()
	}
}

func (u *warmth) takeFailure(at clock.Millis) {
	u.quick = 0
	u.cut(at)
	u.takeSign()
}

// takeSign counts a sign of cold start, which counts only when too much load does not explain it.
func (u *warmth) takeSign() {
	if u.inFlight > u.max()/2 {
		return
	}
	u.signs++
	if u.signs >= coldSigns {
		u.turnCold()
		u.own = true
	}
}

func (u *warmth) takeAnswer(firstToken float64, at clock.Millis) {
	switch {
	case u.usual > 0 && firstToken > coldFactor*u.usual:
		u.quick = 0
		u.takeSign()
		u.cut(at)
		return
	case u.usual > 0 && firstToken > slowFactor*u.usual:
		u.cut(at)
	case u.usual == 0 || firstToken <= quickFactor*u.usual:
		u.takeQuick()
	}
	if !u.cold {
		u.learn(firstToken)
	}
}

func (u *warmth) takeQuick() {
	u.signs = 0
	u.quick++
	if u.cold && u.quick >= warmAnswers && u.warmReports > 0 {
		u.turnWarm()
	}
	if !u.cold {
		u.limit = min(float64(u.max()), u.limit+1)
	}
}

func (u *warmth) learn(firstToken float64) {
	if u.usual == 0 {
		u.usual = firstToken
	}
	u.usual += usualWeight * (firstToken - u.usual)
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
