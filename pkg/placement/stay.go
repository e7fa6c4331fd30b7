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
	// modelName is empty for a plain call.
	modelName string
	sentAt    clock.Millis
	// begins is when the upstream is expected to begin with the prompt.
	begins clock.Millis
	// option has what was predicted, and news the age of the news of other instances behind it.
	option option
	news   clock.Millis
	begun  bool
}

// Placed is an attempt whose answer has begun, with the figures by which it was placed; times are in milliseconds.
type Placed struct {
	Service, Upstream, Model string
	// Predicted and Seen are the times to the first token.
	Predicted, Seen float64
	// Wait is the part of Predicted before the upstream begins with the prompt, Pace how much longer than usual it takes, and Work the time to
	// read the prompt at the usual pace.
	Wait, Pace, Work float64
	// InFlight is the number of requests that were known to be at the upstream.
	InFlight float64
	// Tokens is the length of the prompt, and Kept the part of it that the upstream was expected to keep.
	Tokens, Kept float64
	// AtHome is true if the upstream is one at which the shared parts of the prompt are expected.
	AtHome bool
	// NewsAge is the age of the news of other instances.
	NewsAge clock.Millis
}

// minWorkLeft is the fraction of its work that a prompt counts for until its answer begins, however long that takes.
const minWorkLeft = 0.1

// left returns the work that is left of the prompt.
func (st *Stay) left(now clock.Millis) float64 {
	done := float64(max(0, now-st.begins)) / st.option.pace
	return max(st.option.work-done, minWorkLeft*st.option.work)
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
		planner: p, upstream: k, service: s, model: s.model(name), modelName: name, begins: now + clock.Millis(o.wait), sentAt: now, option: o,
		news: now - p.peersAt,
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
	st.upstream.ended(true, now)
	p.learn(st, float64(now-st.sentAt), now)
	if o := &st.option; p.OnFirstToken != nil && o.firstToken > 0 {
		p.OnFirstToken(Placed{
			Service: st.service.name, Upstream: st.upstream.name, Model: st.modelName, Predicted: o.firstToken, Seen: float64(now - st.sentAt),
			Wait: o.wait, Pace: o.pace, Work: o.work, InFlight: o.inFlight, Tokens: o.tokens, Kept: o.saved, AtHome: o.atHome, NewsAge: st.news,
		})
	}
}

// End records the end of the attempt; failed is true if it reached no upstream, or if that ended or was another one.
func (st *Stay) End(failed bool, now clock.Millis) {
	if st == nil {
		return
	}
	p := st.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	st.leaveQueue()
	st.upstream.inFlight--
	if failed {
		st.upstream.ended(false, now)
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
