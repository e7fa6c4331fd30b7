package placement

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// maxFront is the number of upstreams that are compared for the earliest first token until the next news of other instances, and minFront the
	// number of those that must still be open.
	maxFront, minFront = 16, 4
	// frontTTL is how long these are used without news.
	frontTTL clock.Millis = 500
)

// front has the upstreams that were the earliest for a model when all were last compared.
type front struct {
	upstreams    []*catalogue.Upstream
	at, newsSeen clock.Millis
}

// Best returns the earliest first token that any of the upstreams would give the call now, and false while nothing is known of them. A call
// whose model isn't chosen yet is taken for one of the smallest.
func (p *Planner) Best(c *request.Call, upstreams []*catalogue.Upstream, now clock.Millis) (Forecast, bool) {
	if p == nil || len(upstreams) == 0 {
		return Forecast{}, false
	}
	return p.best(c, modelOf(c), upstreams, now)
}

func (p *Planner) best(c *request.Call, model string, upstreams []*catalogue.Upstream, now clock.Millis) (Forecast, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.query(c, model, upstreams, now)
	if q == nil {
		return Forecast{}, false
	}
	var best option
	for _, u := range append(q.front(upstreams), q.ranked...) {
		if o := q.score(u); best.listed == nil || o.firstToken < best.firstToken {
			best = o
		}
	}
	return q.forecast(best), true
}

// front returns those of the upstreams that were the earliest for the model when news last came. Comparing all for each call would cost more
// than the choice itself.
func (q *query) front(upstreams []*catalogue.Upstream) []*catalogue.Upstream {
	f := &q.model.front
	if f.newsSeen == q.planner.peersAt && q.now-f.at < frontTTL {
		var open []*catalogue.Upstream
		for _, u := range f.upstreams {
			if slices.Contains(upstreams, u) {
				open = append(open, u)
			}
		}
		if len(open) >= min(minFront, len(upstreams)) {
			return open
		}
	}
	options := make([]option, len(upstreams))
	for i, u := range upstreams {
		options[i] = q.score(u)
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.firstToken, b.firstToken) })
	*f = front{at: q.now, newsSeen: q.planner.peersAt}
	for _, o := range options[:min(maxFront, len(options))] {
		f.upstreams = append(f.upstreams, o.listed)
	}
	return slices.Clone(f.upstreams)
}
