package concierge

import (
	"cmp"
	"slices"
)

// Verdict is what one instance has found out about an upstream by its own requests.
type Verdict struct {
	Upstream    string
	Incarnation int64
	Cold        bool
	// Limit is how many requests the upstream bears at once over all instances when it is warm.
	Limit int
}

// Verdicts returns what this instance found out by its own requests, sorted by upstream.
func (w *ColdWatch) Verdicts() []Verdict {
	var out []Verdict
	for name, u := range w.upstreams {
		if u.own {
			out = append(out, Verdict{Upstream: name, Incarnation: u.incarnation, Cold: u.cold, Limit: max(1, int(u.limit))})
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// TakeVerdicts takes in what the other instances found out; each call replaces the one before.
// Most instances have no share of an upstream in cold start, so that they learn only in this way that it is warm.
func (w *ColdWatch) TakeVerdicts(verdicts []Verdict) {
	joined := map[string]Verdict{}
	for _, v := range verdicts {
		known, ok := joined[v.Upstream]
		if ok && known.Incarnation > v.Incarnation {
			continue
		}
		if ok && known.Incarnation == v.Incarnation {
			// One instance that finds the upstream cold outweighs all others, which may not have asked it since.
			v.Cold = v.Cold || known.Cold
			v.Limit = max(v.Limit, known.Limit)
		}
		joined[v.Upstream] = v
	}
	w.joined = joined
}

// heard returns what the other instances found out about the upstream's present incarnation.
func (w *ColdWatch) heard(name string, u *warmth) (Verdict, bool) {
	v, ok := w.joined[name]
	return v, ok && v.Incarnation == u.incarnation
}
