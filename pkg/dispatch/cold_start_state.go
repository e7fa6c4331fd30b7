package dispatch

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// warmQuickAnswers is the number of quick answers, without a slow one or a failure in between, that end a cold start.
	warmQuickAnswers = 3
	// warmAnswersWithoutBaseline is the number of answers that end a cold start while there is no usual time to compare with.
	warmAnswersWithoutBaseline = 8
	// coldSignalThreshold is the number of cold signals, which are failures and slow first tokens, that begin a new cold start if no
	// answer in time comes in between.
	coldSignalThreshold = 3
	// slowFirstTokenFactor is the multiple of the usual time to the first token above which an answer is a cold signal.
	slowFirstTokenFactor = 3.0
	// quickFirstTokenFactor is the multiple of the usual time to the first token up to which an answer counts as quick.
	quickFirstTokenFactor = 2.0
	// slowReportFactor is the multiple of the usual reported time to the first token above which a report is slow, and
	// slowReportThreshold the number of consecutive slow reports that begin a new cold start.
	slowReportFactor    = 3.0
	slowReportThreshold = 2
	// elevatedReportFactor and elevatedReportThreshold are the same for reports that confirm a slow first token seen by this instance.
	elevatedReportFactor    = 1.5
	elevatedReportThreshold = 2
	// usualFirstTokenWeight is the weight of the newest sample in the moving averages of the time to the first token.
	usualFirstTokenWeight = 0.05
	// limitIncreaseFactor raises the limit with each report of a warm upstream with spare capacity.
	limitIncreaseFactor = 1.25
	// limitDecreaseFactor lowers the limit on overload.
	limitDecreaseFactor = 0.8
	// limitChangeInterval is the minimum time from a decrease of the limit to its next change, in milliseconds.
	limitChangeInterval clock.Millis = 1000
	// initialWarmLimit is the limit at the end of a cold start.
	initialWarmLimit = 4
	// overcommitFactor raises the limit over all instances while the upstream reports less than overcommitThreshold of it in use.
	overcommitFactor    = 2.0
	overcommitThreshold = 0.5
	// defaultMaxLimit bounds the limit of an upstream that reports no capacity.
	defaultMaxLimit = 16
)

// coldStartState is the cold-start state and the concurrency limit of one upstream.
type coldStartState struct {
	incarnation int64
	// episode counts the changes between warm and cold that any instance has noticed since the incarnation started.
	episode int64
	cold    bool
	// hasVerdict is true once any instance has found the incarnation warm or cold, ownVerdict while the finding on the current episode
	// is this instance's own.
	hasVerdict bool
	ownVerdict bool
	// answers counts the answers since the episode began, quickAnswers the quick ones since the last slow one or failure.
	answers      int
	quickAnswers int
	// coldSignals counts the cold signals since the last answer in time.
	coldSignals int
	// limit is the limit of concurrent requests over all instances while the upstream is warm.
	limit float64
	// usualReportedTime is the moving average of the reported time to the first token, in milliseconds; slowReports counts
	// consecutive reports above slowReportFactor times that.
	usualReportedTime float64
	slowReports       int
	// elevatedReports counts consecutive reports that would confirm a slow first token.
	elevatedReports int
	// reported is true once a load report was read; reportedCapacity and inFlight are its values.
	reported         bool
	reportedCapacity int
	inFlight         int
	// reportsCold is true while the upstream itself reports a cold start.
	reportsCold bool
	// decreasedAt is the monotonic time of the last decrease of limit, in milliseconds.
	decreasedAt clock.Millis
}

func (u *coldStartState) restart(incarnation int64) {
	*u = coldStartState{incarnation: incarnation, cold: true, limit: initialWarmLimit, usualReportedTime: u.usualReportedTime}
}

// startEpisode begins an episode because of this instance's own observations.
func (u *coldStartState) startEpisode(cold bool) {
	u.setEpisode(u.episode+1, cold)
	u.ownVerdict = true
	if !cold {
		u.limit = initialWarmLimit
	}
}

func (u *coldStartState) setEpisode(episode int64, cold bool) {
	u.episode, u.cold, u.hasVerdict, u.ownVerdict = episode, cold, true, false
	u.answers, u.quickAnswers, u.coldSignals, u.slowReports, u.elevatedReports = 0, 0, 0, 0, 0
}

func (u *coldStartState) recordReport(r *backoffice.LoadReport, at clock.Millis) {
	u.reported, u.reportedCapacity, u.inFlight = true, r.Bearable, r.InFlight
	if r.Cold && !u.cold {
		u.startEpisode(true)
	}
	u.reportsCold = r.Cold
	if u.cold {
		return
	}
	if u.recordReportedTime(r.FirstTokenTime); u.cold {
		return
	}
	if r.InFlight > u.maxLimit() || r.Queued > 0 {
		u.decreaseLimit(at)
		return
	}
	if at-u.decreasedAt >= limitChangeInterval {
		u.limit = min(float64(u.maxLimit()), u.limit*limitIncreaseFactor)
	}
}

// recordReportedTime detects a cold start from the reported time to the first token, which all instances see alike.
func (u *coldStartState) recordReportedTime(firstToken float64) {
	if firstToken <= 0 || u.inFlight > u.maxLimit()/2 {
		return
	}
	if u.usualReportedTime == 0 {
		u.usualReportedTime = firstToken
	}
	u.slowReports = consecutive(u.slowReports, firstToken > slowReportFactor*u.usualReportedTime)
	u.elevatedReports = consecutive(u.elevatedReports, firstToken > elevatedReportFactor*u.usualReportedTime)
	if u.elevatedReports == 0 {
		u.usualReportedTime += usualFirstTokenWeight * (firstToken - u.usualReportedTime)
	}
	u.evaluate()
}

// consecutive returns the number of times in a row that a condition held, given the number n before.
func consecutive(n int, condition bool) int {
	if condition {
		return n + 1
	}
	return 0
}

// evaluate begins a cold start when there are enough signals of it.
func (u *coldStartState) evaluate() {
	confirmed := u.coldSignals > 0 && u.elevatedReports >= elevatedReportThreshold
	if !u.cold && (u.coldSignals >= coldSignalThreshold || u.slowReports >= slowReportThreshold || confirmed) {
		u.startEpisode(true)
	}
}

func (u *coldStartState) recordFailure(at clock.Millis) {
	u.quickAnswers = 0
	u.decreaseLimit(at)
	u.recordColdSignal()
}

// recordColdSignal counts a signal of cold start unless the load of the upstream may explain it.
func (u *coldStartState) recordColdSignal() {
	if u.cold || u.inFlight > u.maxLimit()/2 {
		return
	}
	u.coldSignals++
	u.evaluate()
}

// recordStart records the time to the first token, in milliseconds, of an answer that is still incomplete.
func (u *coldStartState) recordStart(firstToken, usual float64, at clock.Millis) {
	if usual > 0 && firstToken > slowFirstTokenFactor*usual {
		u.recordSlow(at)
	}
}

func (u *coldStartState) recordSlow(at clock.Millis) {
	u.quickAnswers = 0
	u.recordColdSignal()
	u.decreaseLimit(at)
}

// recordAnswer records the time to the first token of a complete answer, in milliseconds; usual is 0 while there is no baseline, and
// startSampled is true if recordStart has seen the answer before.
func (u *coldStartState) recordAnswer(firstToken, usual float64, at clock.Millis, startSampled bool) {
	u.answers++
	if usual > 0 && firstToken > slowFirstTokenFactor*usual {
		if !startSampled {
			u.recordSlow(at)
		}
		return
	}
	u.coldSignals = 0
	if usual > 0 && firstToken <= quickFirstTokenFactor*usual {
		u.quickAnswers++
	}
	provenWarm := u.quickAnswers >= warmQuickAnswers || usual == 0 && u.answers >= warmAnswersWithoutBaseline
	switch {
	case provenWarm && u.cold && !u.reportsCold:
		u.startEpisode(false)
	case provenWarm && !u.cold:
		u.ownVerdict = true
	}
}

// decreaseLimit lowers the limit at most once in limitChangeInterval, so that a burst of failures counts as one.
func (u *coldStartState) decreaseLimit(at clock.Millis) {
	if at-u.decreasedAt < limitChangeInterval {
		return
	}
	u.decreasedAt = at
	u.limit = max(1, u.limit*limitDecreaseFactor)
}

func (u *coldStartState) maxLimit() int {
	if u.reportedCapacity > 0 {
		return u.reportedCapacity
	}
	return defaultMaxLimit
}
