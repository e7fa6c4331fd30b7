package dispatch

import (
	"cmp"
	"math"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// boundedLoadFactor is the multiple of the mean pending work up to which an upstream still gets the prompts with affinity to it.
	boundedLoadFactor = 1.4
	// boundedLoadSlackTokens is added to that bound, in tokens of the largest model, so that a single prompt doesn't break affinity; an
	// engine reads this many tokens in a quarter of a second.
	boundedLoadSlackTokens = 12000.0
	// zonePenalty is added to the load of upstreams in other zones, as a fraction of their slots, so that the local zone is preferred.
	zonePenalty = 0.25
	// minUpstreamsForSplit is the number of upstreams from which some are reserved for long prompts.
	minUpstreamsForSplit = 5
	// A short prompt goes to a reserved upstream if the work at its own exceeds shortSpillFactor times the least work of the reserved
	// ones plus shortSpillSlackTokens. A long prompt goes to an upstream for short ones if the least work of the reserved ones exceeds
	// the least work of those plus longSpillSlackTokens. Both slacks are in tokens of the largest model.
	shortSpillSlackTokens = 40000.0
	shortSpillFactor      = 2.0
	longSpillSlackTokens  = 2000.0
	// maxPlacementCandidates is the number of upstreams, those with the least work known here, that Selector.Place chooses from.
	maxPlacementCandidates = 16
	// longPromptRankKey is the rendezvous hashing key that selects the upstreams reserved for long prompts.
	longPromptRankKey = "long prompts"
	// longPromptTime is the usual time to the first token from which a prompt counts as long, in milliseconds.
	longPromptTime clock.Millis = 700
	// defaultSlots is the assumed number of concurrent requests of an upstream that reports none.
	defaultSlots = 8
)

// Selector has the parameters by which the upstream of one attempt is selected.
type Selector struct {
	Now  clock.Millis
	Zone string
	// Key is the affinity key, the same for requests that share a cached prompt; it is empty for services without a prompt cache.
	Key   string
	Loads *LoadTracker
	// Outliers are avoided while another upstream is available; it may be nil.
	Outliers *OutlierDetector
	// TieBreakKey orders upstreams of equal load; it differs for each attempt, so that instances which don't see each other's requests
	// spread them.
	TieBreakKey string
	// LongPrompt is true for a request whose prompt takes so long to process that others would queue behind it.
	LongPrompt bool
	// LongPromptShare is the fraction of the upstreams reserved for such prompts.
	LongPromptShare float64
	// Place returns which of the upstreams should get such a prompt, coordinated with the other instances, or ""; it may be nil.
	Place func(upstreams []string) string
}

// Select returns the upstream of the attempt, or nil if upstreams is empty.
func (s *Selector) Select(upstreams []*catalogue.Upstream) *catalogue.Upstream {
	healthy := make([]*catalogue.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if !s.Outliers.ShouldAvoid(u.Name, s.Now) {
			healthy = append(healthy, u)
		}
	}
	if len(healthy) == 0 {
		healthy = upstreams
	}
	if len(healthy) == 0 {
		return nil
	}
	if s.Key == "" {
		return s.leastLoaded(healthy)
	}
	return s.byPromptLength(healthy)
}

// byPromptLength sends long prompts to reserved upstreams, so that short ones don't queue behind them. All instances reserve the same
// upstreams for the same share.
func (s *Selector) byPromptLength(upstreams []*catalogue.Upstream) *catalogue.Upstream {
	if len(upstreams) < minUpstreamsForSplit {
		return s.affinityUpstream(upstreams)
	}
	order := rankUpstreams(longPromptRankKey, upstreams)
	n := max(1, int(math.Round(s.LongPromptShare*float64(len(upstreams)))))
	reserved, others := order[:n], order[n:]
	if s.LongPrompt {
		if s.work(s.leastWork(reserved)) > s.work(s.leastWork(others))+longSpillSlackTokens {
			return s.place(others)
		}
		return s.place(reserved)
	}
	u := s.affinityUpstream(others)
	if idle := s.leastWork(reserved); s.work(u) > shortSpillFactor*s.work(idle)+shortSpillSlackTokens {
		return idle
	}
	return u
}

// place returns the upstream that Place selects, or the one with the least work known here if there is no coordinated placement.
func (s *Selector) place(upstreams []*catalogue.Upstream) *catalogue.Upstream {
	if s.Place == nil || len(upstreams) < 2 {
		return s.leastWork(upstreams)
	}
	order := slices.Clone(upstreams)
	slices.SortFunc(order, func(a, b *catalogue.Upstream) int {
		return cmp.Or(cmp.Compare(s.work(a), s.work(b)), request.CompareRendezvous(s.TieBreakKey, a.Name, b.Name))
	})
	order = order[:min(len(order), maxPlacementCandidates)]
	names := make([]string, len(order))
	for k, u := range order {
		names[k] = u.Name
	}
	if i := slices.Index(names, s.Place(names)); i >= 0 {
		return order[i]
	}
	return order[0]
}

// leastWork returns the upstream with the least pending work.
func (s *Selector) leastWork(upstreams []*catalogue.Upstream) *catalogue.Upstream {
	return s.lowestScore(upstreams, s.work)
}

// lowestScore returns the upstream with the lowest score, and among equal ones the first in rendezvous order for TieBreakKey.
func (s *Selector) lowestScore(upstreams []*catalogue.Upstream, score func(u *catalogue.Upstream) float64) *catalogue.Upstream {
	var best *catalogue.Upstream
	lowest := 0.0
	for _, u := range upstreams {
		value := score(u)
		if best == nil || value < lowest || value == lowest && request.CompareRendezvous(s.TieBreakKey, u.Name, best.Name) < 0 {
			best, lowest = u, value
		}
	}
	return best
}

func (s *Selector) work(u *catalogue.Upstream) float64 { return s.Loads.Work(u.Name) }

func (s *Selector) load(u *catalogue.Upstream) float64 { return s.Loads.Load(u.Name, s.Now) }

// rankUpstreams returns the upstreams in rendezvous order for a key, the highest hash first.
func rankUpstreams(key string, upstreams []*catalogue.Upstream) []*catalogue.Upstream {
	return request.RendezvousOrder(key, upstreams, func(u *catalogue.Upstream) string { return u.Name })
}

// affinityUpstream returns the first upstream in rendezvous order for Key whose pending work is within the bound (rendezvous hashing
// with bounded loads).
func (s *Selector) affinityUpstream(upstreams []*catalogue.Upstream) *catalogue.Upstream {
	total := 0.0
	for _, u := range upstreams {
		total += s.work(u)
	}
	bound := boundedLoadFactor*total/float64(len(upstreams)) + boundedLoadSlackTokens
	for _, u := range rankUpstreams(s.Key, upstreams) {
		if s.work(u) <= bound {
			return u
		}
	}
	return s.leastWork(upstreams)
}

// leastLoaded returns the upstream with the lowest load, with a preference for the local zone.
func (s *Selector) leastLoaded(upstreams []*catalogue.Upstream) *catalogue.Upstream {
	return s.lowestScore(upstreams, func(u *catalogue.Upstream) float64 {
		slots := u.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		load := s.load(u) / float64(slots)
		if u.Zone != s.Zone {
			load += zonePenalty
		}
		return load
	})
}

// PromptAffinityKey returns the key of a request in the prompt caches of upstreams, which is the last prompt part shared with other
// requests and the model, or "" if there is no prompt.
func PromptAffinityKey(c *request.Call) string {
	p := c.Request.Prompt
	if p == nil || len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[max(0, len(p.Parts)-2)].ID + " " + c.Model
}
