package dispatch

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// An upstream gets the prompts with affinity to it while its pending work exceeds that of the idlest upstream by at most medianShare
	// of the median and affinitySlack times the work of the prompt itself.
	medianShare   = 0.5
	affinitySlack = 2.0
	// zonePenalty is added to the load of upstreams in other zones, as a fraction of their slots, so that the local zone is preferred.
	zonePenalty = 0.25
	// defaultSlots is the assumed number of concurrent requests of an upstream that reports none.
	defaultSlots = 8
)

// Selector has the parameters by which the upstream of one attempt is selected.
type Selector struct {
	Now  clock.Millis
	Zone string
	// Key is the affinity key, the same for requests that share a cached prompt; it is empty for services without a prompt cache.
	Key string
	// PromptWork is the work of reading the whole prompt, in tokens of the largest model.
	PromptWork float64
	Loads      *LoadTracker
	// Outliers are avoided while another upstream is available; it may be nil.
	Outliers *OutlierDetector
	// TieBreakKey orders upstreams of equal load; it differs for each attempt, so that instances which don't see each other's requests
	// spread them.
	TieBreakKey string
}

// Select returns the upstream of the attempt, or nil if upstreams is empty.
func (s *Selector) Select(upstreams []*catalogue.Upstream) *catalogue.Upstream {
	healthy := s.healthy(upstreams)
	if len(healthy) == 0 {
		return nil
	}
	if s.Key == "" {
		return s.leastLoaded(healthy)
	}
	return s.affinityUpstream(healthy)
}

// healthy returns the upstreams that are no outliers, or all of them if each one is.
func (s *Selector) healthy(upstreams []*catalogue.Upstream) []*catalogue.Upstream {
	healthy := make([]*catalogue.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if !s.Outliers.ShouldAvoid(u.Name, s.Now) {
			healthy = append(healthy, u)
		}
	}
	if len(healthy) == 0 {
		return upstreams
	}
	return healthy
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

// affinityUpstream returns the first upstream in rendezvous order for Key whose pending work is within a bound (rendezvous hashing with
// bounded loads). The first in this order keeps the shared parts of the prompt, as all instances use the same order. The bound has no
// unit of its own, so that it suits fast and slow upstreams alike. Where all are busy it grows with the median: if it left only the
// idlest one, all prompts that arrive between two load reports would go there.
func (s *Selector) affinityUpstream(upstreams []*catalogue.Upstream) *catalogue.Upstream {
	idlest := s.leastWork(upstreams)
	bound := s.work(idlest) + medianShare*s.medianWork(upstreams) + affinitySlack*s.PromptWork
	for _, u := range rankUpstreams(s.Key, upstreams) {
		if s.work(u) <= bound {
			return u
		}
	}
	return idlest
}

// medianWork returns the median of the pending work of the upstreams.
func (s *Selector) medianWork(upstreams []*catalogue.Upstream) float64 {
	work := make([]float64, len(upstreams))
	for i, u := range upstreams {
		work[i] = s.work(u)
	}
	slices.Sort(work)
	return work[len(work)/2]
}

// soonerThan returns the upstreams that would have read the prompt before u begins to read it, the idlest first. They keep no parts of
// prompts, so that a prompt that doesn't have to wait is better off at u.
func (s *Selector) soonerThan(u *catalogue.Upstream, upstreams []*catalogue.Upstream) []*catalogue.Upstream {
	if s.Key == "" {
		return nil
	}
	var sooner []*catalogue.Upstream
	for _, other := range upstreams {
		if s.work(other)+s.PromptWork < s.work(u) && !s.Outliers.ShouldAvoid(other.Name, s.Now) {
			sooner = append(sooner, other)
		}
	}
	slices.SortFunc(sooner, func(a, b *catalogue.Upstream) int { return cmp.Compare(s.work(a), s.work(b)) })
	return sooner
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
