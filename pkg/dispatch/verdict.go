package dispatch

import (
	"cmp"
	"slices"
)

// Verdict is one instance's finding on the cold-start state of an upstream, from its own requests.
type Verdict struct {
	Upstream    string
	Incarnation int64
	// Episode counts the changes between warm and cold within the incarnation; the verdict on the latest episode applies.
	Episode int64
	Cold    bool
	// Limit is the limit of concurrent requests over all instances while the upstream is warm.
	Limit int
}

// Verdicts returns the verdicts based on this instance's own requests, sorted by upstream.
func (d *ColdStartDetector) Verdicts() []Verdict {
	var out []Verdict
	for name, u := range d.upstreams {
		if u.ownVerdict {
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

// MergeVerdicts merges the verdicts of other instances; the result doesn't depend on their order or on duplicates.
func (d *ColdStartDetector) MergeVerdicts(verdicts []Verdict) {
	// Most instances have no share of an upstream in cold start, so that they learn only from the verdicts of others that it is warm.
	for i := range verdicts {
		d.state(verdicts[i].Upstream).mergeVerdict(&verdicts[i])
	}
}

func (u *coldStartState) mergeVerdict(v *Verdict) {
	order := cmp.Or(cmp.Compare(v.Incarnation, u.incarnation), cmp.Compare(v.Episode, u.episode))
	if order < 0 {
		return
	}
	if v.Incarnation > u.incarnation {
		u.restart(v.Incarnation)
	}
	if order > 0 || !u.hasVerdict {
		u.limit = float64(v.Limit)
		u.setEpisode(v.Episode, v.Cold || u.reportsCold)
		return
	}
	// Of two verdicts on the same episode, cold wins because it is the safe choice.
	if v.Cold && !u.cold {
		u.setEpisode(v.Episode, true)
	}
	u.limit = max(u.limit, float64(v.Limit))
}
