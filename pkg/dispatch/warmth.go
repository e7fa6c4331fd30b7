package dispatch

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
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
	// reportFactor is how many times longer than usual a reported time to the first token is a sign of cold start,
	// and reportSigns how many such reports in a row start it again.
	reportFactor = 3.0
	reportSigns  = 2
	// raisedFactor and raisedReports are the same for reports that confirm a slow first token.
	raisedFactor  = 1.5
	raisedReports = 2
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
	// overbooking is how much more the instances may send in all while an upstream is less than halfFull.
	overbooking = 2.0
	halfFull    = 0.5
	// defaultBearable bounds the limit of an upstream that does not say what it bears.
	defaultBearable = 16
)

// warmth is what is known of one upstream.
type warmth struct {
	incarnation int64
	// episode counts the times at which the incarnation turned warm or cold, as far as any instance noticed.
	episode int64
	cold    bool
	// known is true once an instance has found out what the incarnation is like, and own once this one has.
	known bool
	own   bool
	// answers and quick count the answers and the quick ones in a row since the episode began.
	answers int
	quick   int
	signs   int
	limit   float64
	// usualReport is the usual time to the first token as reported, and slowReports counts the slow ones in a row.
	usualReport float64
	slowReports int
	// raisedReports counts the reports in a row that would confirm a slow first token.
	raisedReports int
	// reported is true once a load report was read; bearable and inFlight are as reported.
	reported bool
	bearable int
	inFlight int
	// announced is true while the upstream itself reports a cold start.
	announced bool
	cutAt     clock.Millis
}

func (u *warmth) restart(incarnation int64) {
	*u = warmth{incarnation: incarnation, cold: true, limit: firstWarmLimit, usualReport: u.usualReport}
}

// begin begins an episode that this instance has noticed.
func (u *warmth) begin(cold bool) {
	u.turn(u.episode+1, cold)
	u.own = true
	if !cold {
		u.limit = firstWarmLimit
	}
}

func (u *warmth) turn(episode int64, cold bool) {
	u.episode, u.cold, u.known, u.own = episode, cold, true, false
	u.answers, u.quick, u.signs, u.slowReports, u.raisedReports = 0, 0, 0, 0, 0
}

func (u *warmth) takeReport(r *backoffice.LoadReport, at clock.Millis) {
	u.reported, u.bearable, u.inFlight = true, r.Bearable, r.InFlight
	if r.Cold && !u.cold {
		u.begin(true)
	}
	u.announced = r.Cold
	if u.cold {
		return
	}
	if u.takeReportedTime(r.FirstTokenTime); u.cold {
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

// takeReportedTime notices a cold start by the reported time to the first token, which all instances see alike.
func (u *warmth) takeReportedTime(firstToken float64) {
	if firstToken <= 0 || u.inFlight > u.max()/2 {
		return
	}
	if u.usualReport == 0 {
		u.usualReport = firstToken
	}
	u.slowReports = countUp(u.slowReports, firstToken > reportFactor*u.usualReport)
	u.raisedReports = countUp(u.raisedReports, firstToken > raisedFactor*u.usualReport)
	if u.raisedReports == 0 {
		u.usualReport += usualWeight * (firstToken - u.usualReport)
	}
	u.judge()
}

// countUp counts how often in a row something was so.
func countUp(n int, so bool) int {
	if so {
		return n + 1
	}
	return 0
}

// judge begins a cold start when the signs of it are enough.
func (u *warmth) judge() {
	confirmed := u.signs > 0 && u.raisedReports >= raisedReports
	if !u.cold && (u.signs >= coldSigns || u.slowReports >= reportSigns || confirmed) {
		u.begin(true)
	}
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
	u.judge()
}

// takeStart takes in the time to the first token of an answer that has only begun.
func (u *warmth) takeStart(firstToken, usual float64, at clock.Millis) {
	if usual > 0 && firstToken > coldFactor*usual {
		u.takeSlow(at)
	}
}

func (u *warmth) takeSlow(at clock.Millis) {
	u.quick = 0
	u.takeSign()
	u.cut(at)
}

// takeAnswer takes in the time to the first token of a whole answer; usual is 0 as long as nothing is known,
// and early is true when takeStart was told of it before.
func (u *warmth) takeAnswer(firstToken, usual float64, at clock.Millis, early bool) {
	u.answers++
	if usual > 0 && firstToken > coldFactor*usual {
		if !early {
			u.takeSlow(at)
		}
		return
	}
	u.signs = 0
	if usual > 0 && firstToken <= quickFactor*usual {
		u.quick++
	}
	proved := u.quick >= warmAnswers || usual == 0 && u.answers >= firstAnswers
	switch {
	case proved && u.cold && !u.announced:
		u.begin(false)
	case proved && !u.cold:
		u.own = true
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
