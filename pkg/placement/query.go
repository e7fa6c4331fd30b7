package placement

import (
	"math"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// minPace bounds a pace from below.
	minPace = 0.05
	// defaultSlots is the assumed number of concurrent requests of an upstream that reports none.
	defaultSlots = 8
	// crowdShare is the weight of the work of a prompt, which others at its upstream wait for, against the time of its own caller.
	crowdShare = 2.0
	// otherZone is the time that a call to another availability zone takes longer.
	otherZone = 2.0
)

// query has what is known of a call while upstreams are compared for it.
type query struct {
	planner *Planner
	service *service
	model   *model
	call    *request.Call
	now     clock.Millis
	// target is the time within which the first token is worth most, from now on.
	target float64
	// chain has the parts of the prompt that others share, in order; total is the number of tokens of the whole prompt.
	chain []part
	total float64
	// upstreams is the number of upstreams of the service, ranked has the first of them in the order of the prompt, and homes is the number of
	// those at which its shared parts are expected.
	upstreams int
	ranked    []*catalogue.Upstream
	homes     int
	// keepTime is how long a part is kept after its last use.
	keepTime float64
}

// option is an upstream as it looks for the call of a query; times are in milliseconds and work is at the usual pace.
type option struct {
	listed     *catalogue.Upstream
	firstToken float64
	wait, pace float64
	// inFlight is the number of requests that are known to be there, and waiting those of them that wait for a slot, for each slot.
	inFlight, waiting float64
	// work is the work of reading what isn't kept of the prompt, ahead the work before it, and saved the tokens that are expected to be kept.
	work, ahead, saved float64
	// tokens is the length of the whole prompt.
	tokens   float64
	features features
	score    float64
	atHome   bool
}

// query returns the query of a call, or nil while too little is known of its service. The caller must hold mu.
func (p *Planner) query(c *request.Call, model string, upstreams []*catalogue.Upstream, now clock.Millis) *query {
	s := p.services[upstreams[0].Service]
	if s == nil || !s.paced || !s.model(model).known {
		return nil
	}
	q := p.newQuery(c, s, model, now)
	q.upstreams = len(upstreams)
	q.keepTime = p.keepTime(s, c.Pool, len(upstreams), now)
	q.ranked, q.homes = q.rank(upstreams)
	return q
}

func (p *Planner) newQuery(c *request.Call, s *service, model string, now clock.Millis) *query {
	q := &query{
		planner: p, service: s, model: s.model(model), call: c, now: now,
		target: float64(c.Route.Target - (now - c.Request.ArrivedAt)), upstreams: 1, keepTime: defaultKeepTime,
	}
	if prompt := c.Request.Prompt; prompt != nil {
		q.total = float64(prompt.Tokens)
		q.chain = sharedParts(prompt, model)
	}
	return q
}

// score predicts what the upstream would give the call.
func (q *query) score(u *catalogue.Upstream) option {
	p, k := q.planner, q.planner.upstream(u)
	peers := p.peers[k.key]
	place := slices.Index(q.ranked, u)
	o := option{listed: u, tokens: q.total, atHome: place >= 0 && place < q.homes}
	o.pace = max(minPace, k.machinePace(peers, q.now-p.peersAt, q.now)*k.ownPace(peers, q.now))
	o.ahead = k.ownWork(q.now) + p.peerWork(peers, o.pace, q.now)
	o.saved = q.keptTokens(k, place)
	o.features = promptFeatures(q.total-o.saved, q.total)
	o.work = q.model.read(o.features)
	o.inFlight = k.known(peers, q.now-p.peersAt)
	o.waiting = waitingPerSlot(u, o.inFlight)
	o.wait = o.pace*o.ahead + q.model.start(o.inFlight, o.waiting)
	o.firstToken = o.wait + o.pace*o.work
	if u.Zone != p.Zone {
		o.firstToken += otherZone
	}
	failure := k.failureChance(peers, q.now-p.peersAt, q.now)
	o.score = q.callerCost(o.firstToken) + crowdShare*o.work + failure*float64(q.call.Route.Target)
	return o
}

// waitingPerSlot returns how many requests wait for each slot of an upstream where so many are in flight.
func waitingPerSlot(u *catalogue.Upstream, inFlight float64) float64 {
	slots := float64(u.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	// The number is not known exactly, which makes some calls wait that find a slot by this count, and the other way round.
	over := inFlight + 1 - slots
	waiting := (over + math.Sqrt(over*over+unseen*unseen)) / 2
	if waiting < minWaiting {
		return 0
	}
	return waiting / slots
}

const (
	// unseen is the number of requests by which the known number at an upstream is usually off.
	unseen = 1.5
	// minWaiting is the number of waiting requests below which none is expected to wait.
	minWaiting = 0.1
)

// callerCost returns what a time to the first token costs the caller: little while it is far below the target, and more and more with it.
func (q *query) callerCost(firstToken float64) float64 {
	target := max(q.target, 1)
	if firstToken <= target {
		return firstToken * firstToken / target
	}
	return lateFactor*firstToken - (lateFactor-1)*target
}

// lateFactor is the cost of each millisecond beyond the target.
const lateFactor = 2.0

// forecast returns the forecast of an option.
func (q *query) forecast(o option) Forecast {
	f := Forecast{FirstToken: clock.Millis(math.Ceil(o.firstToken)), Age: q.now - q.planner.peersAt}
	if q.model.gapKnown {
		f.Gap = clock.Millis(math.Ceil(math.Exp(q.model.gap) * o.pace))
	}
	return f
}
