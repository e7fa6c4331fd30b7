package rating

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// minBaselineRatings and minBaselineAnswers are the ratings and answers that a baseline needs before it is used.
	minBaselineRatings = 100
	minBaselineAnswers = 30
	// baselineStdErrors is how many standard errors the expected mean rating lies below the mean of the baseline.
	baselineStdErrors = 1.5
	// slowFactor is how many times the baseline time per token makes an answer slow.
	slowFactor = 2.0
	// maxFirstRatings is how many ratings the first counter of an origin may have and still be tested. The ratings of a larger
	// one are mostly from before this instance learned of the origin.
	maxFirstRatings = 32
	// maxQuietStatistic is the highest test statistic at which new ratings and attempts are added to the baseline.
	maxQuietStatistic = rolloutThreshold / 3
)

// HealthTracker has the health of versions, from ratings and attempts of all instances; it is not safe for concurrent use.
type HealthTracker struct {
	// Config returns the current configuration; a nil Config or result means none.
	Config func() *catalogue.State

	// local counts only ratings of answers that this instance sent, each once, so that counters of different origins never
	// count the same rating.
	local    map[catalogue.HealthKey]*Counter
	origins  map[string]map[catalogue.HealthKey]Counter
	versions map[catalogue.HealthKey]*versionStats
	sent     sentRing
}

// versionStats has the statistics of one version for one task over all origins.
type versionStats struct {
	recent decayedCounts
	// latest has a shorter window than recent, and is the reference of the tests of other versions.
	latest decayedCounts
	// rated and attempts count all ratings and attempts, without decay.
	rated    float64
	attempts float64
	// baseline has the ratings and attempts from while the tests were quiet, and pending those since.
	baseline decayedCounts
	pending  decayedCounts
	score    scoreTest
	failures rateTest
	slow     rateTest
	// revision is the revision of the version object that the tests apply to.
	revision catalogue.Revision
	// suspectRevision is the revision of the version object that was found to be bad.
	suspectRevision catalogue.Revision
	suspect         bool
	evidence        string
}

// Suspect is a version that a sequential test has found to be bad for a task, with the reason in plain text.
type Suspect struct {
	Version  catalogue.VersionID
	Task     string
	Evidence string
}

// RecordSample records the result of an attempt of this instance; samples without a version are ignored.
func (h *HealthTracker) RecordSample(s request.Sample) {
	if s.Version == "" {
		return
	}
	k := catalogue.HealthKey{Version: s.Version, Task: s.Task}
	switch s.Result {
	case request.ResultComplete:
		h.sent.add(sentKey{id: s.RequestID, version: s.Version}, s.Task)
		h.recordAnswer(k, &s)
	case request.ResultFailed, request.ResultCut, request.ResultMismatch:
		h.addLocal(k, &Counter{Failures: 1})
	}
}

func (h *HealthTracker) recordAnswer(k catalogue.HealthKey, s *request.Sample) {
	d := Counter{
		Answers:    1,
		FirstToken: int64(s.FirstToken),
		Generation: int64(max(0, s.Total-s.FirstToken)),
		Tokens:     int64(s.Tokens),
	}
	if h.statsOf(k).isSlow(&d) {
		d.Slow = 1
	}
	h.addLocal(k, &d)
}

// RecordRatings records ratings of answers that this instance sent, and ignores all others, which their senders count.
func (h *HealthTracker) RecordRatings(ratings []backoffice.Rating) {
	for _, r := range ratings {
		task, found := h.sent.remove(sentKey{id: r.RequestID, version: r.Version})
		if !found {
			continue
		}
		d := Counter{Rated: 1, ScoreSum: min(1, max(0, r.Score))}
		d.Scores[scoreStep(d.ScoreSum)] = 1
		h.addLocal(catalogue.HealthKey{Version: r.Version, Task: task}, &d)
	}
}

// scoreStep returns the histogram step of a score.
func scoreStep(score float64) int {
	return min(catalogue.ScoreSteps-1, int(score*catalogue.ScoreSteps))
}

// addLocal adds d to the counter of this instance and to the tests.
func (h *HealthTracker) addLocal(k catalogue.HealthKey, d *Counter) {
	c := h.local[k]
	if c == nil {
		if h.local == nil {
			h.local = map[catalogue.HealthKey]*Counter{}
		}
		c = &Counter{Version: k.Version, Task: k.Task}
		h.local[k] = c
	}
	c.add(d)
	h.observe(k, d, true)
}

// LocalCounters returns copies of this instance's counters, sorted by version and task.
func (h *HealthTracker) LocalCounters() []Counter {
	out := make([]Counter, 0, len(h.local))
	for _, c := range h.local {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(x, y Counter) int {
		return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(x.Task, y.Task))
	})
	return out
}

// Merge adds the growth of the counters of another origin, which is one process run of an instance, and ignores stale ones.
func (h *HealthTracker) Merge(origin string, counters []Counter) {
	if h.origins == nil {
		h.origins = map[string]map[catalogue.HealthKey]Counter{}
	}
	merged := h.origins[origin]
	if merged == nil {
		merged = map[catalogue.HealthKey]Counter{}
		h.origins[origin] = merged
	}
	for i := range counters {
		c := &counters[i]
		old, seen := merged[c.key()]
		if !c.newer(&old) {
			continue
		}
		merged[c.key()] = *c
		d := c.delta(&old)
		h.observe(c.key(), &d, seen || d.Rated <= maxFirstRatings)
		h.adoptSuspicion(c)
	}
}

// RemoveOrigin drops the counters of an origin that is gone, but keeps what they added to the health of versions.
func (h *HealthTracker) RemoveOrigin(origin string) { delete(h.origins, origin) }

// Health returns the health of all versions with ratings or attempts, by version and task.
func (h *HealthTracker) Health() map[catalogue.HealthKey]catalogue.Health {
	out := make(map[catalogue.HealthKey]catalogue.Health, len(h.versions))
	for k, st := range h.versions {
		health := st.recent.health(k)
		health.Suspect = h.isSuspect(k, st)
		out[k] = health
	}
	return out
}

// Suspects returns the versions that are found to be bad, sorted by version and task.
func (h *HealthTracker) Suspects() []Suspect {
	var out []Suspect
	for k, st := range h.versions {
		if h.isSuspect(k, st) {
			out = append(out, Suspect{Version: k.Version, Task: k.Task, Evidence: st.evidence})
		}
	}
	slices.SortFunc(out, func(x, y Suspect) int {
		return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(x.Task, y.Task))
	})
	return out
}

func (h *HealthTracker) statsOf(k catalogue.HealthKey) *versionStats {
	st := h.versions[k]
	if st == nil {
		if h.versions == nil {
			h.versions = map[catalogue.HealthKey]*versionStats{}
		}
		st = &versionStats{latest: decayedCounts{window: latestWindow}}
		h.versions[k] = st
	}
	return st
}
