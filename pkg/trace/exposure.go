package trace

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// idealLevel is the log likelihood ratio at which the ideal test decides; it is the router's own alarm level.
const idealLevel = 8.0

// Exposure tells how much work a version got after it had turned bad.
type Exposure struct {
	Version catalogue.VersionID
	// TurnedAt, FoundAt and IdealAt are times in milliseconds; 0 is never.
	TurnedAt clock.Millis
	FoundAt  clock.Millis
	IdealAt  clock.Millis
	Evidence string
	// Sends counts the work the version got, Ideal what it would have got under the ideal test.
	Sends int
	Ideal int
	// Pinned is the part of both that belongs to sessions that were on the version before the ideal test decided.
	Pinned int
	// OverIdeal is Sends over Ideal, or over 1 when Ideal is 0, and UnpinnedOverIdeal the same without Pinned.
	OverIdeal         float64
	UnpinnedOverIdeal float64
}

// exposures returns the exposure of each version that turned bad.
func (r *run) exposures() []Exposure {
	var out []Exposure
	for _, e := range r.trace.Events {
		if e.Kind == EventTurn {
			out = append(out, r.exposure(e.Version))
		}
	}
	return out
}

func (r *run) exposure(id catalogue.VersionID) Exposure {
	x := Exposure{Version: id, TurnedAt: r.world.turned[id]}
	for _, f := range r.findings {
		if f.suspect.Version == id && x.FoundAt == 0 {
			x.FoundAt, x.Evidence = f.at, f.suspect.Evidence
		}
	}
	x.IdealAt = r.idealAt(id, x.TurnedAt)
	pinned := map[string]bool{}
	for _, s := range r.sends {
		if s.version != id {
			continue
		}
		before := x.IdealAt == 0 || s.at < x.IdealAt
		if before && s.session != "" {
			pinned[s.session] = true
		}
		if s.at < x.TurnedAt {
			continue
		}
		x.Sends++
		if before || pinned[s.session] {
			x.Ideal++
		}
		if !before && pinned[s.session] {
			x.Pinned++
		}
	}
	x.OverIdeal = over(x.Sends, max(1, x.Ideal))
	x.UnpinnedOverIdeal = over(x.Sends-x.Pinned, max(1, x.Ideal-x.Pinned))
	return x
}

func over(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// idealAt returns when a sequential test decides that knows the distributions before and after, sees each rating
// of this replay the moment it is out, and knows that the version was good up to the turn.
func (r *run) idealAt(id catalogue.VersionID, turned clock.Millis) clock.Millis {
	sum := 0.0
	seen := map[string]bool{}
	for _, x := range r.allRatings() {
		if x.rating.Version != id || x.answered < turned || seen[x.rating.RequestID] {
			continue
		}
		seen[x.rating.RequestID] = true
		good, bad := r.before(x.rating.Version, x.rating.Task)
		variance := good.deviation * good.deviation
		s := x.rating.Score
		sum += ((s-good.mean)*(s-good.mean) - (s-bad.mean)*(s-bad.mean)) / (2 * variance)
		if sum = max(0, sum); sum >= idealLevel {
			return x.at
		}
	}
	return 0
}

// allRatings returns late ratings and verdicts in the order in which they were out.
func (r *run) allRatings() []timedRating {
	all := slices.Concat(r.world.ratings, r.world.verdicts)
	slices.SortStableFunc(all, func(a, b timedRating) int { return cmp.Compare(a.at, b.at) })
	return all
}

// before returns the true distributions of the version before and after it turned.
func (r *run) before(id catalogue.VersionID, task string) (good, bad *distribution) {
	k := catalogue.HealthKey{Version: id, Task: task}
	for _, v := range r.trace.Truths {
		if v.Version == id && v.Task == task {
			return newDistribution(v.Mean, v.Deviation), r.world.truth(k)
		}
	}
	return r.world.unknown, r.world.unknown
}
