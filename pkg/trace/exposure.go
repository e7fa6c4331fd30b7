package trace

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// idealThreshold is the log-likelihood ratio at which the ideal test decides, the same as the alarm level of the router.
const idealThreshold = 8.0

// Exposure compares the traffic of a degraded version with its traffic under an ideal change detector.
type Exposure struct {
	Version catalogue.VersionID
	// TurnedAt, FoundAt and IdealAt are the times in milliseconds of the quality shift, of its detection by the router and
	// of its detection by the ideal test; 0 means never.
	TurnedAt clock.Millis
	FoundAt  clock.Millis
	IdealAt  clock.Millis
	// Evidence is the statistical evidence that the router gave with its detection.
	Evidence string
	// Sends counts the sends to the version after TurnedAt, and Ideal those that the ideal test would have let through.
	Sends int
	Ideal int
	// Pinned counts the sends after IdealAt that belong to sessions on the version since before it; both Sends and Ideal
	// include them.
	Pinned int
	// OverIdeal is Sends divided by Ideal, or by 1 if Ideal is 0, and UnpinnedOverIdeal is the same without Pinned.
	OverIdeal         float64
	UnpinnedOverIdeal float64
}

// exposures returns the exposure to each version whose quality shifted.
func (r *run) exposures() []Exposure {
	var out []Exposure
	for _, e := range r.trace.Events {
		if e.Kind == EventQualityShift {
			out = append(out, r.exposure(e.Version))
		}
	}
	return out
}

func (r *run) exposure(id catalogue.VersionID) Exposure {
	x := Exposure{Version: id, TurnedAt: r.env.shiftedAt[id]}
	for _, d := range r.detections {
		if d.suspect.Version == id && x.FoundAt == 0 {
			x.FoundAt, x.Evidence = d.at, d.suspect.Evidence
		}
	}
	x.IdealAt = r.idealDetectionTime(id, x.TurnedAt)
	pinned := map[string]bool{}
	for _, a := range r.attempts {
		if a.version != id {
			continue
		}
		beforeIdeal := x.IdealAt == 0 || a.at < x.IdealAt
		if beforeIdeal && a.session != "" {
			pinned[a.session] = true
		}
		if a.at < x.TurnedAt {
			continue
		}
		x.Sends++
		if beforeIdeal || pinned[a.session] {
			x.Ideal++
		}
		if !beforeIdeal && pinned[a.session] {
			x.Pinned++
		}
	}
	x.OverIdeal = ratio(x.Sends, max(1, x.Ideal))
	x.UnpinnedOverIdeal = ratio(x.Sends-x.Pinned, max(1, x.Ideal-x.Pinned))
	return x
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// idealDetectionTime returns the time at which an ideal CUSUM test detects the quality shift, or 0. The test knows both
// distributions and the time of the shift, and sees each rating of this replay as soon as it is available.
func (r *run) idealDetectionTime(id catalogue.VersionID, shiftedAt clock.Millis) clock.Millis {
	statistic := 0.0
	seen := map[string]bool{}
	for _, rated := range r.allRatings() {
		if rated.rating.Version != id || rated.answeredAt < shiftedAt || seen[rated.rating.RequestID] {
			continue
		}
		seen[rated.rating.RequestID] = true
		before, after := r.distributions(rated.rating.Version, rated.rating.Task)
		variance := before.deviation * before.deviation
		score := rated.rating.Score
		statistic += ((score-before.mean)*(score-before.mean) - (score-after.mean)*(score-after.mean)) / (2 * variance)
		if statistic = max(0, statistic); statistic >= idealThreshold {
			return rated.availableAt
		}
	}
	return 0
}

// allRatings returns the delayed and the synchronous ratings in the order in which they became available.
func (r *run) allRatings() []timedRating {
	all := slices.Concat(r.env.delayedRatings, r.env.syncRatings)
	slices.SortStableFunc(all, func(a, b timedRating) int { return cmp.Compare(a.availableAt, b.availableAt) })
	return all
}

// distributions returns the true distributions of the version before and after its quality shift.
func (r *run) distributions(id catalogue.VersionID, task string) (before, after *ratingDistribution) {
	k := catalogue.HealthKey{Version: id, Task: task}
	for _, v := range r.trace.Truths {
		if v.Version == id && v.Task == task {
			return newRatingDistribution(v.Mean, v.Deviation), r.env.groundTruth(k)
		}
	}
	return r.env.defaultTruth, r.env.defaultTruth
}
