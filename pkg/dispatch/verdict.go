package dispatch

import (
	"cmp"
	"slices"
)

// Verdict is what one instance has found out about an upstream by its own requests.
type Verdict struct {
	Upstream    string
	Incarnation int64
	// Episode counts the times at which the incarnation turned warm or cold; the verdict on the latest one holds.
	Episode int64
	Cold    bool
	// Limit is how many requests the upstream bears at once over all instances when it is warm.
	Limit int
}

// Verdicts returns what this instance found out by its own requests, sorted by upstream.
func (w *ColdWatch) Verdicts() []Verdict {
	var out []Verdict
	for name, u := range w.upstreams {
		if u.own {
			out = append(out, Verdict{
				Upstream:    name,
				Incarnation: u.incarnation,
				Episode:     u.episode,
				Cold:        u.cold,
				Limit:       max(1, int(u.limit)),
			})
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// TakeVerdicts takes in what the other instances found out; the order and doubles of verdicts make no difference.
// Most instances have no share of an upstream in cold start, so that they learn only in this way that it is warm.
func (w *ColdWatch) TakeVerdicts(verdicts []Verdict) {
	for i := range verdicts {
		w.upstream(verdicts[i].Upstream).takeVerdict(&verdicts[i])
	}
}

func (u *warmth) takeVerdict(v *Verdict) {
	later := cmp.Or(cmp.Compare(v.Incarnation, u.incarnation), cmp.Compare(v.Episode, u.episode))
	if later < 0 {
		return
	}
	if v.Incarnation > u.incarnation {
		u.restart(v.Incarnation)
	}
	if later > 0 || !u.known {
		u.limit = float64(v.Limit)
		u.turn(v.Episode, v.Cold || u.announced)
		return
	}
	// Of two verdicts on the same episode the one that finds the upstream cold holds, as the careful one.
	if v.Cold && !u.cold {
		u.turn(v.Episode, true)
	}
	u.limit = max(u.limit, float64(v.Limit))
}
