package placement

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// maxAheadShare is the part of a time to the first token that may be due to work ahead of the prompt for it to tell of the model.
	maxAheadShare = 0.5
	// gapWeight is the weight of the gaps of a stream as a sample of its upstream's pace, and firstTokenWeight that of a first token.
	gapWeight, firstTokenWeight = 1.0, 0.5
)

// Report takes the load report of an answer; the first one with a pace switches the service on.
func (p *Planner) Report(u *catalogue.Upstream, r *request.LoadReport, now clock.Millis) {
	if p == nil || r == nil || r.Pace <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(u.Service).paced = true
	p.upstream(u).report(r.Pace, now)
}

// Gap takes the usual gap between the events of an answer.
func (p *Planner) Gap(c *request.Call, gap, now clock.Millis) {
	if p == nil || gap <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[c.Upstream.Service]
	if s == nil || !s.paced {
		return
	}
	k, m := p.upstream(c.Upstream), s.model(modelOf(c))
	seen := math.Log(float64(gap))
	if m.gapKnown {
		k.sample(math.Exp(seen-m.gap), gapWeight, now)
	}
	m.addGap(seen)
}

// learn takes the time to the first token of an attempt. The caller must hold mu.
func (p *Planner) learn(st *Stay, took float64, now clock.Millis) {
	k, m, o := st.upstream, st.model, &st.option
	peers := p.peers[k.key]
	machine := k.machinePace(peers, now-p.peersAt, now)
	if m.known {
		// What doesn't depend on the prompt says nothing of the machine.
		start, read := m.start(o.inFlight, o.waiting), machine*m.read(o.features)
		usual := machine*o.ahead + read
		k.sample((max(0, took-start)+minTime)/(usual+minTime), firstTokenWeight*read/(start+usual+minTime), now)
	}
	pace := max(minPace, machine*k.ownPace(peers, now))
	if ahead := pace * o.ahead; ahead <= maxAheadShare*took {
		m.add(o.features.at(pace, o.inFlight, o.waiting), max(0, took-ahead), now)
	}
}
