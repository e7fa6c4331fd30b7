package placement

import (
	"math"

	"carawayknot.example/carawayknot/pkg/clock"
)

// UpstreamState is what is known of an upstream, for operators.
type UpstreamState struct {
	Service string
	// MachinePace is how much longer than usual work takes on the machine now, and OwnPace how much longer than its kind the upstream takes.
	MachinePace, OwnPace float64
	// InFlight is the number of requests of all instances there, and WorkAhead the work that waits there, in milliseconds at the usual pace.
	InFlight  int
	WorkAhead clock.Millis
	// NewsAge is the age of the news of other instances.
	NewsAge clock.Millis
}

// States returns the upstreams of the services whose first tokens are predicted, by name.
func (p *Planner) States(now clock.Millis) map[string]UpstreamState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := map[string]UpstreamState{}
	for name, k := range p.upstreams {
		if s := p.services[k.service]; s == nil || !s.paced {
			continue
		}
		peers := p.peers[k.key]
		machine, own := k.machinePace(peers, now-p.peersAt, now), k.ownPace(peers, now)
		states[name] = UpstreamState{
			Service: k.service, MachinePace: machine, OwnPace: own, InFlight: int(k.known(peers, now-p.peersAt)), NewsAge: now - p.peersAt,
			WorkAhead: clock.Millis(math.Round(k.ownWork(now) + p.peerWork(peers, max(minPace, machine*own), now))),
		}
	}
	return states
}
