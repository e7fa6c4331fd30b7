package placement

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// minCompared is the least number of upstreams that a call compares besides the homes of its prompt.
	minCompared = 2
	// newsTime is the time for which instances don't see each other's calls.
	newsTime = 400.0
	// choosersPerBest is the number of calls of other instances that may find the same upstream best before these see each other.
	choosersPerBest = 0.5
)

// Choice is the upstream chosen for an attempt, with what was predicted there.
type Choice struct {
	Upstream *catalogue.Upstream
	Forecast Forecast
	option   option
}

// Choose returns the upstream that is best for the call and those behind it, and false while too little is known of the service.
//
// All instances compare with the same news, so that each of them looks at the homes of the prompt and the next few in its order only: the fewer
// calls bring as much work as this one, the more.
func (p *Planner) Choose(c *request.Call, upstreams []*catalogue.Upstream, now clock.Millis) (Choice, bool) {
	if p == nil || len(upstreams) == 0 {
		return Choice{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.query(c, modelOf(c), upstreams, now)
	if q == nil {
		return Choice{}, false
	}
	var best option
	consider := func(u *catalogue.Upstream) {
		if o := q.score(u); best.listed == nil || o.score < best.score {
			best = o
		}
	}
	for _, u := range q.ranked {
		consider(u)
	}
	if len(q.ranked) == 0 {
		q.draw(upstreams, consider)
	}
	return Choice{Upstream: best.listed, Forecast: q.forecast(best), option: best}, true
}

// draw considers as many of the upstreams as the call compares.
func (q *query) draw(upstreams []*catalogue.Upstream, consider func(u *catalogue.Upstream)) {
	n := q.compared(len(upstreams))
	if n >= len(upstreams) {
		for _, u := range upstreams {
			consider(u)
		}
		return
	}
	seed := request.HashKey("placement", q.call.Request.ID) + uint64(q.call.Attempts)
	near := q.near(upstreams)
	for i := range n {
		from := near
		if i%farDraws == farDraws-1 {
			from = upstreams
		}
		consider(from[mix(seed+uint64(i)*drawStep)%uint64(len(from))])
	}
}

// near returns the upstreams in the zone of this instance, or all of them if there are too few to take what comes from here.
func (q *query) near(upstreams []*catalogue.Upstream) []*catalogue.Upstream {
	near := make([]*catalogue.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if u.Zone == q.planner.Zone {
			near = append(near, u)
		}
	}
	if nearFactor*len(near) < len(upstreams) {
		return upstreams
	}
	return near
}

const (
	// farDraws is the number of draws of which one is from all zones.
	farDraws = 2
	// nearFactor is the factor by which all upstreams may outnumber those of one zone for draws from the zone alone.
	nearFactor = 4
)

// drawStep separates the seeds of successive draws (the golden ratio, as in SplitMix64).
const drawStep = 0x9e3779b97f4a7c15

// compared returns the number of upstreams that are compared besides the homes: as many that other instances, which choose at the same time
// for as much work, hardly find the same one best. Calls without a prompt are short and their upstreams few, so that all are compared.
func (q *query) compared(upstreams int) int {
	if q.call.Request.Prompt == nil && upstreams <= maxFew {
		return upstreams
	}
	work := q.planner.members() * q.service.arrivals.per(q.now) * newsTime
	own := q.model.read(promptFeatures(q.total, q.total))
	if own <= 0 {
		return minCompared
	}
	// At most that many calls bring as much work (Markov's inequality).
	choosers := max(1, work/own)
	return int(min(max(choosersPerBest*float64(upstreams)/choosers, minCompared), float64(upstreams)))
}

// maxFew is the number of upstreams up to which all are compared for calls without a prompt.
const maxFew = 12
