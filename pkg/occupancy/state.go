package occupancy

import "carawayknot.example/carawayknot/pkg/clock"

// State is a fragile upstream as this instance sees it.
type State struct {
	MaxRejections float64
	// Bound is the number of requests to which rejections have bound this instance, or -1, Room the number of requests that there is room
	// for, or 0 if the slots are the limit, and InFlight the number of its requests.
	Bound, Room, InFlight int
	// AnsweredAt is when an answer to this instance last said that the upstream is fragile, or 0.
	AnsweredAt clock.Millis
}

// States returns the fragile upstreams by name.
func (s *Slots) States(now clock.Millis) map[string]State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := map[string]State{}
	for name, k := range s.upstreams {
		if !k.statement.fragile || k.statement.expired(now) {
			continue
		}
		state := State{
			MaxRejections: k.statement.maxRejections, Bound: -1, Room: int(k.room), InFlight: k.inFlight, AnsweredAt: k.statement.answeredAt,
		}
		if k.hasBound {
			state.Bound = int(k.bound)
		}
		states[name] = state
	}
	return states
}

// Counts returns the numbers since the start.
func (s *Slots) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
