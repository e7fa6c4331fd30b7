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
	// boundedWork is how far above the mean the work of an upstream may be while it is still the home of a prompt.
	boundedWork = 1.4
	// boundedSlack is added to that bound, in tokens of the largest model, so that a single prompt doesn't move homes; an engine
	// reads that in a quarter of a second.
	boundedSlack = 12000.0
	// zoneSlack is the load that an upstream of the own zone may have more than the least loaded one, in parts of its slots.
	zoneSlack = 0.25
	// leastLanes is the number of upstreams from which on some of them are kept for the prompts that take long.
	leastLanes = 5
	// laneSlack and laneFactor tell when the work of the others is so much higher that the upstreams for long prompts take their
	// requests, and longSlack when the work of those is so much higher that the others take theirs; the slacks are in tokens of
	// the largest model.
	laneSlack  = 40000.0
	laneFactor = 2.0
	longSlack  = 2000.0
	// placeChoices is how many upstreams a place is asked among; those whose work is least as far as is known here.
	placeChoices = 16
	// laneKey is the rendezvous key of the upstreams for long prompts.
	laneKey = "long prompts"
	// longTime is the usual time to the beginning of an answer from which on a prompt takes long, in milliseconds.
	longTime clock.Millis = 700
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
	// Draw breaks ties differently for each attempt, so that instances which know nothing of each other spread their requests.
	Draw string
	// Long is true for a request whose prompt takes so long to read that others would wait behind it.
	Long bool
	// LongShare is the part of the upstreams that is kept for such prompts.
	LongShare float64
	// Place returns which of some upstreams should get such a prompt, or nothing; it may be nil.
	Place func(upstreams []string) string
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
	if q.Key == "" {
		return q.least(sound)
	}
	return q.byLane(sound)
}

// byLane keeps prompts that take long apart from the others, so that short ones don't wait behind them. Which upstreams take
// the long ones is the same on all instances.
func (q *Choice) byLane(from []*catalogue.Upstream) *catalogue.Upstream {
	if len(from) < leastLanes {
		return q.home(from)
	}
	ranked := ranked(laneKey, from)
	n := max(1, int(math.Round(q.LongShare*float64(len(from)))))
	lane, rest := ranked[:n], ranked[n:]
	if q.Long {
		if q.work(q.idlest(lane)) > q.work(q.idlest(rest))+longSlack {
			return q.placed(rest)
		}
		return q.placed(lane)
	}
	u := q.home(rest)
	if free := q.idlest(lane); q.work(u) > laneFactor*q.work(free)+laneSlack {
		return free
	}
	return u
}

// placed returns the upstream that was found with the other instances, and the idlest one as far as is known here without them.
func (q *Choice) placed(from []*catalogue.Upstream) *catalogue.Upstream {
	if q.Place == nil || len(from) < 2 {
		return q.idlest(from)
	}
	order := slices.Clone(from)
	slices.SortFunc(order, func(a, b *catalogue.Upstream) int {
		return cmp.Or(cmp.Compare(q.work(a), q.work(b)), request.ByRank(q.Draw, a.Name, b.Name))
	})
	order = order[:min(len(order), placeChoices)]
	names := make([]string, len(order))
	for i, u := range order {
		names[i] = u.Name
	}
	if at := slices.Index(names, q.Place(names)); at >= 0 {
		return order[at]
	}
	return order[0]
}

// idlest returns the upstream with the least work ahead of it.
func (q *Choice) idlest(from []*catalogue.Upstream) *catalogue.Upstream {
	return q.lowest(from, q.work)
}

// lowest returns the upstream with the lowest score, and of equal ones the first in rendezvous order for the draw.
func (q *Choice) lowest(from []*catalogue.Upstream, score func(u *catalogue.Upstream) float64) *catalogue.Upstream {
	var best *catalogue.Upstream
	lowest := 0.0
	for _, u := range from {
		s := score(u)
		if best == nil || s < lowest || s == lowest && request.ByRank(q.Draw, u.Name, best.Name) < 0 {
			best, lowest = u, s
		}
	}
	return best
}

func (q *Choice) work(u *catalogue.Upstream) float64 { return q.Board.Work(u.Name) }

func (q *Choice) load(u *catalogue.Upstream) float64 { return q.Board.Load(u.Name, q.Now) }

// ranked returns the upstreams in rendezvous order for a key, the highest weight first.
func ranked(key string, from []*catalogue.Upstream) []*catalogue.Upstream {
	return request.Rank(key, from, func(u *catalogue.Upstream) string { return u.Name })
}

// home returns the first upstream in rendezvous order whose work is near the mean.
func (q *Choice) home(from []*catalogue.Upstream) *catalogue.Upstream {
	total := 0.0
	for _, u := range from {
		total += q.work(u)
	}
	bound := boundedWork*total/float64(len(from)) + boundedSlack
	for _, u := range ranked(q.Key, from) {
		if q.work(u) <= bound {
			return u
		}
	}
	return q.idlest(from)
}

// least returns the least loaded upstream; those of the own zone go first while they are not much fuller.
func (q *Choice) least(from []*catalogue.Upstream) *catalogue.Upstream {
	return q.lowest(from, func(u *catalogue.Upstream) float64 {
		slots := u.Slots
		if slots <= 0 {
			slots = unknownSlots
		}
		load := q.load(u) / float64(slots)
		if u.Zone != q.Zone {
			load += zoneSlack
		}
		return load
	})
}

// PromptKey returns what the cache of an upstream knows a request by: the last part that other requests share, and the model.
func PromptKey(c *request.Call) string {
	p := c.Request.Prompt
	if p == nil || len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[max(0, len(p.Parts)-2)].ID + " " + c.Model
}
