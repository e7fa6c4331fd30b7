package placement

import (
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Stay is an attempt at an upstream.
type Stay struct {
	planner  *Planner
	upstream *upstream
	service  *service
	model    *model
	// work is the work of its prompt, in milliseconds of an upstream of the usual pace, and begins the time at which the upstream is expected to
	// begin with it.
	work   float64
	begins clock.Millis
	pace   float64
	sentAt clock.Millis
	// expected is the forecast of its first token, ahead the work before its own, and features the prompt as the model sees it.
	expected float64
	ahead    float64
	features features
	begun    bool
}

// minWorkLeft is the fraction of its work that a prompt counts for until its answer begins, however long that takes.
const minWorkLeft = 0.1

// left returns the work that is left of the prompt.
func (st *Stay) left(now clock.Millis) float64 {
	done := float64(max(0, now-st.begins)) / st.pace
	return max(st.work-done, minWorkLeft*st.work)
}

// ownWork returns the work of this instance that waits at the upstream.
func (k *upstream) ownWork(now clock.Millis) float64 {
	sum := 0.0
	for _, st := range k.waiting {
		sum += st.left(now)
	}
	return sum
}

// Start counts an attempt that is about to be sent to c.Upstream; choice is what Choose returned for it, if it did.
func (p *Planner) Start(c *request.Call, choice Choice, now clock.Millis) *Stay {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[c.Upstream.Service]
	if s == nil || !s.paced {
		return nil
	}
	k, name, o := p.upstream(c.Upstream), modelOf(c), choice.option
	if o.listed != c.Upstream {
		o = p.newQuery(c, s, name, now).score(c.Upstream)
	}
	st := &Stay{
		planner: p, upstream: k, service: s, model: s.model(name), work: o.work, begins: now + clock.Millis(o.wait), pace: o.pace,
		sentAt: now, expected: o.firstToken, ahead: o.ahead, features: o.features,
	}
	k.inFlight++
	k.waiting = append(k.waiting, st)
	s.arrivals.add(o.work, now)
	if prompt := c.Request.Prompt; prompt != nil {
		chain := sharedParts(prompt, name)
		s.tokens.add(float64(prompt.Tokens), now)
		s.parts.add(chain, now)
		s.parts.placed(o.atHome)
		k.keep(chain, now)
	}
	return st
}

// Begin records that the first token has arrived, or the answer to a plain call.
func (st *Stay) Begin(now clock.Millis) {
	if st == nil {
		return
	}
	p := st.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	st.leaveQueue()
	p.learn(st, float64(now-st.sentAt), now)
	if p.OnFirstToken != nil && st.expected > 0 {
		p.OnFirstToken(st.service.name, clock.Millis(st.expected), now-st.sentAt)
	}
}

// End records the end of the attempt; complete is true if the upstream answered in full.
func (st *Stay) End(complete bool, now clock.Millis) {
	if st == nil {
		return
	}
	p := st.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	st.leaveQueue()
	st.upstream.inFlight--
	if complete {
		st.service.hold.add(float64(now - st.sentAt))
	}
}

// leaveQueue removes the attempt from those whose answer hasn't begun.
func (st *Stay) leaveQueue() {
	if st.begun {
		return
	}
	st.begun = true
	waiting := st.upstream.waiting
	for i, other := range waiting {
		if other == st {
			waiting[i] = waiting[len(waiting)-1]
			waiting[len(waiting)-1] = nil
			st.upstream.waiting = waiting[:len(waiting)-1]
			return
		}
	}
}
