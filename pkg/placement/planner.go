package placement

import (
	"math"
	"sync"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Planner predicts first tokens and places calls for the services whose upstreams report the pace of their machines. It is safe for
// concurrent use, and its exported fields must be set before its first use; a nil Planner places nothing.
type Planner struct {
	// Zone is the availability zone of this instance.
	Zone string
	// Members returns the number of instances, including this one.
	Members func() int
	// OnFirstToken is called when an answer begins, with what was predicted of it; it is optional and must not call the planner.
	OnFirstToken func(placed Placed)

	mu        sync.Mutex
	services  map[string]*service
	upstreams map[string]*upstream
	// peers has the figures of all other instances as of peersAt, by the hash of what they describe.
	peers   Figures
	peersAt clock.Millis
}

// Forecast is what an upstream would give a call that was sent now.
type Forecast struct {
	// FirstToken is the time to the first token, or to the answer of a plain call.
	FirstToken clock.Millis
	// Gap is the time between two events of the answer; it is 0 for a plain call.
	Gap clock.Millis
	// Age is the age of the newest news of other instances behind the forecast.
	Age clock.Millis
}

// service is what the upstreams of a service have in common.
type service struct {
	name string
	// paced is true once an upstream has reported the pace of its machine.
	paced bool
	// models has what was learned of each model; plain calls are of the model "".
	models map[string]*model
	// arrivals has the work that this instance sends, and tokens the prompt tokens.
	arrivals, tokens rate
	parts            partTable
}

// InTime returns the chance that the answer of a model to the call would begin within the target latency of its route if the call was sent
// now, and false while nothing is known of the upstreams.
func (p *Planner) InTime(c *request.Call, model string, upstreams []*catalogue.Upstream, now clock.Millis) (chance float64, ok bool) {
	if p == nil || len(upstreams) == 0 {
		return 0, false
	}
	best, ok := p.best(c, model, upstreams, now)
	if !ok {
		return 0, false
	}
	left := float64(c.Route.Target - (now - c.Request.ArrivedAt))
	if left <= 0 {
		return 0, true
	}
	// Times to the first token are about log-normal around the predicted one.
	return 0.5 * math.Erfc(math.Log(float64(best.FirstToken)/left)/(spread*math.Sqrt2)), true
}

// spread is the standard deviation of the logarithm of the time to the first token around the predicted one.
const spread = 0.5

// modelOf returns the model of a call, or the smallest of its route while none is chosen; one that isn't listed counts as none.
func modelOf(c *request.Call) string {
	switch {
	case c.Request.Prompt == nil:
		return ""
	case c.Model != "":
		return c.ListedModel(c.Model)
	case c.Request.Prompt.Model != "" || len(c.Route.Sizes) == 0:
		return c.ListedModel(c.Request.Prompt.Model)
	}
	return c.Route.Sizes[0]
}

// service returns what is known of a service. The caller must hold mu.
func (p *Planner) service(name string) *service {
	s := p.services[name]
	if s == nil {
		if p.services == nil {
			p.services = map[string]*service{}
		}
		s = &service{name: name, models: map[string]*model{}}
		p.services[name] = s
	}
	return s
}

func (s *service) model(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{key: figureKey("model", s.name+" "+name)}
		s.models[name] = m
	}
	return m
}

// upstream returns what is known of an upstream; a new lifetime begins with nothing. The caller must hold mu.
func (p *Planner) upstream(u *catalogue.Upstream) *upstream {
	k := p.upstreams[u.Name]
	if k != nil && k.incarnation >= u.Incarnation {
		return k
	}
	if p.upstreams == nil {
		p.upstreams = map[string]*upstream{}
	}
	k = newUpstream(u)
	p.upstreams[u.Name] = k
	return k
}

// Forget drops what is known of an upstream that has been gone for long.
func (p *Planner) Forget(name string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.upstreams, name)
}

// members returns the number of instances, at least 1.
func (p *Planner) members() float64 {
	if p.Members == nil {
		return 1
	}
	return float64(max(1, p.Members()))
}
