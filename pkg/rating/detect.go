package rating

import (
	"fmt"
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// observe adds d to the health of the version and, if test is set, to its sequential tests.
func (h *HealthTracker) observe(k catalogue.HealthKey, d *Counter, test bool) {
	st := h.statsOf(k)
	st.recent.addCounter(d)
	st.latest.addCounter(d)
	st.rated += float64(d.Rated)
	st.attempts += float64(d.Answers + d.Failures)
	if now := h.versionRevision(k.Version); now != st.revision {
		st.resetTests(now)
	}
	if test {
		h.runTests(k, st, d)
	}
	st.updateBaseline(d)
}

// resetTests restarts the tests after operators have updated the version object.
func (st *versionStats) resetTests(now catalogue.Revision) {
	st.revision = now
	st.score, st.failures, st.slow = scoreTest{}, rateTest{}, rateTest{}
	st.pending = decayedCounts{}
}

// runTests updates the sequential tests with d and marks the version as suspect if one of them reaches its threshold.
func (h *HealthTracker) runTests(k catalogue.HealthKey, st *versionStats, d *Counter) {
	if d.Rated > 0 {
		h.testRatings(k, st, d)
	}
	others := h.otherVersions(k)
	if n := d.Answers + d.Failures; n > 0 {
		st.failures.add(n, d.Failures, others.failureRate())
		if st.failures.sum >= alarmThreshold(h.baseThreshold(k.Version), st.attempts) {
			h.markSuspect(k, st, fmt.Sprintf("failures: %d of the last %d attempts, other versions %.1f%%",
				st.failures.bad, st.failures.n, 100*others.failureRate()))
		}
	}
	if d.Answers > 0 {
		st.slow.add(d.Answers, d.Slow, others.slowRate())
		if st.slow.sum >= alarmThreshold(h.baseThreshold(k.Version), st.attempts) {
			h.markSuspect(k, st, fmt.Sprintf("latency: %d of the last %d answers over %.0f times the usual %.1f ms between tokens",
				st.slow.bad, st.slow.n, slowFactor, st.baseline.tokenTime()))
		}
	}
}

// baseThreshold returns the alarm threshold of a version that has few ratings and attempts.
func (h *HealthTracker) baseThreshold(id catalogue.VersionID) float64 {
	if h.rolloutTo(id) != nil {
		return rolloutThreshold
	}
	return servingThreshold
}

func (h *HealthTracker) testRatings(k catalogue.HealthKey, st *versionStats, d *Counter) {
	expected := h.expectedRatings(k, st)
	if expected == nil {
		return
	}
	st.score.add(d, expected)
	if st.score.statistic() < alarmThreshold(h.baseThreshold(k.Version), st.rated) {
		return
	}
	h.markSuspect(k, st, fmt.Sprintf("ratings: mean %.2f of the last %d, expected %.2f",
		st.score.scoreSum/float64(st.score.n), st.score.n, expected.mean()))
}

// expectedRatings returns the distribution that the version's ratings are tested against, or nil while none is known: its own
// baseline, or for the new version of a rollout that of the old version, lowered to the operator's estimate if that is worse.
func (h *HealthTracker) expectedRatings(k catalogue.HealthKey, st *versionStats) *distribution {
	r := h.rolloutTo(k.Version)
	if r == nil {
		return st.baselineScores()
	}
	stated, isStated := h.statedQuality(k)
	var old *distribution
	if o := h.versions[catalogue.HealthKey{Version: r.From, Task: k.Task}]; o != nil {
		old = o.baselineScores()
	}
	switch {
	case old != nil && isStated:
		return old.shifted(max(0, old.mean()-stated))
	case old != nil:
		return old
	case isStated:
		return normalDistribution(stated, assumedStdDev)
	}
	return nil
}

// rolloutTo returns the rollout whose new version this is, or nil.
func (h *HealthTracker) rolloutTo(id catalogue.VersionID) *catalogue.Rollout {
	cfg := h.config()
	if cfg == nil {
		return nil
	}
	if r := cfg.Rollouts[id.Model()]; r != nil && r.To == id && r.From != r.To {
		return r
	}
	return nil
}

// statedQuality returns the operator's estimate of the mean rating.
func (h *HealthTracker) statedQuality(k catalogue.HealthKey) (float64, bool) {
	v := h.config().Versions[k.Version]
	if v == nil {
		return 0, false
	}
	q, ok := v.Quality[k.Task]
	return q, ok
}

// baselineScores returns the baseline distribution, lowered by the standard error of its mean, or nil while there are too few
// ratings.
func (st *versionStats) baselineScores() *distribution {
	if st.baseline.rated < minBaselineRatings {
		return nil
	}
	margin := baselineStdErrors * st.baseline.stdDev() / math.Sqrt(st.baseline.rated)
	return st.baseline.distribution().shifted(margin)
}

// updateBaseline adds d to the baseline once the tests are quiet, so that a version that turns bad does not become its own
// baseline.
func (st *versionStats) updateBaseline(d *Counter) {
	st.pending.addCounter(d)
	if st.score.statistic() > maxQuietStatistic || st.failures.sum > maxQuietStatistic || st.slow.sum > maxQuietStatistic {
		return
	}
	st.baseline.add(&st.pending)
	st.pending = decayedCounts{}
}

// isSlow reports whether an answer was generated far slower than the version's baseline.
func (st *versionStats) isSlow(d *Counter) bool {
	if st.baseline.answers < minBaselineAnswers || d.Tokens == 0 {
		return false
	}
	return float64(d.Generation)/float64(d.Tokens) > slowFactor*st.baseline.tokenTime()
}

// otherVersions sums up the latest attempts of the other versions, so that a fault of the upstreams is not attributed to one
// version.
func (h *HealthTracker) otherVersions(k catalogue.HealthKey) *decayedCounts {
	var sum decayedCounts
	for other, st := range h.versions {
		if other.Version != k.Version {
			sum.answers += st.latest.answers
			sum.failures += st.latest.failures
			sum.slow += st.latest.slow
		}
	}
	return &sum
}

func (h *HealthTracker) markSuspect(k catalogue.HealthKey, st *versionStats, evidence string) {
	if h.isSuspect(k, st) {
		return
	}
	st.suspect, st.suspectRevision, st.evidence = true, st.revision, evidence
	if c := h.local[k]; c != nil {
		c.Suspected, c.Evidence = st.revision+1, evidence
	}
}

// adoptSuspicion marks the version as suspect if another instance has found it to be bad.
func (h *HealthTracker) adoptSuspicion(c *Counter) {
	if c.Suspected == 0 {
		return
	}
	st := h.statsOf(c.key())
	if found := c.Suspected - 1; !st.suspect || found > st.suspectRevision {
		st.suspect, st.suspectRevision, st.evidence = true, found, c.Evidence
	}
}

// isSuspect reports whether the version is suspect and operators have not updated its object since.
func (h *HealthTracker) isSuspect(k catalogue.HealthKey, st *versionStats) bool {
	return st.suspect && st.suspectRevision >= h.versionRevision(k.Version)
}

func (h *HealthTracker) versionRevision(id catalogue.VersionID) catalogue.Revision {
	cfg := h.config()
	if cfg == nil {
		return 0
	}
	return cfg.ObjectRevision(catalogue.ObjectKey{Kind: catalogue.KindVersion, Name: string(id)})
}

func (h *HealthTracker) config() *catalogue.State {
	if h.Config == nil {
		return nil
	}
	return h.Config()
}
