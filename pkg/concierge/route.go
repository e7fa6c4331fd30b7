package concierge

import (
	"slices"
	"strings"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
)

const (
	// boundedLoad is how far above the mean the load of an upstream may be while it is still the home of a prompt.
	boundedLoad = 1.4
	// boundedSlack is added to that bound, in requests, so that few requests don't move homes.
	boundedSlack = 3.0
	// zoneSlack is the load that an upstream of the own zone may have more than the least loaded one, in parts of its slots.
	zoneSlack = 0.25
	// unknownSlots is what an upstream is taken to run at once that tells nothing.
	unknownSlots = 8
)

// Choice is what the upstream of one attempt is chosen by.
type Choice struct {
	Now  clock.Millis
	Zone string
	// Key keeps requests with the same prompt on one upstream; it is empty where nothing is cached.
	Key   string
	Board *Board
	// Outliers are tried last; it may be nil.
	Outliers *Outliers
}

// Choose returns the upstream for one attempt, or nil when there is none.
func (q *Choice) Choose(from []*catalogue.Upstream) *catalogue.Upstream {
	sound := make([]*catalogue.Upstream, 0, len(from))
	for _, u := range from {
		if !q.Outliers.Avoid(u.Name, q.Now) {
			sound = append(sound, u)
		}
	}
	if len(sound) == 0 {
		sound = from
	}
	if len(sound) == 0 {
		return nil
	}
	if q.Key != "" {
		return q.home(sound)
	}
	return q.least(sound)
}

// home returns the first upstream in rendezvous order whose load is near the mean.
func (q *Choice) home(from []*catalogue.Upstream) *catalogue.Upstream {
	total := 0.0
	for _, u := range from {
		total += q.Board.Load(u.Name, q.Now)
	}
	bound := boundedLoad*total/float64(len(from)) + boundedSlack
	ranked := slices.Clone(from)
	slices.SortFunc(ranked, func(a, b *catalogue.Upstream) int {
		wa, wb := enquiry.HashKey(q.Key, a.Name), enquiry.HashKey(q.Key, b.Name)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, u := range ranked {
		if q.Board.Load(u.Name, q.Now) <= bound {
			return u
		}
	}
	return q.least(from)
}

// least returns the least loaded upstream; those of the own zone go first while they are not much fuller.
func (q *Choice) least(from []*catalogue.Upstream) *catalogue.Upstream {
	var best *catalogue.Upstream
	bestLoad := 0.0
	for _, u := range from {
		slots := u.Slots
		if slots <= 0 {
			slots = unknownSlots
		}
		load := q.Board.Load(u.Name, q.Now) / float64(slots)
		if u.Zone != q.Zone {
			load += zoneSlack
		}
		if best == nil || load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return best
}

// PromptKey returns what the cache of an upstream knows a request by: the last part that other requests share, and the model.
func PromptKey(c *enquiry.Call) string {
	p := c.Request.Prompt
	if p == nil || len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[max(0, len(p.Parts)-2)].ID + " " + c.Model
}
