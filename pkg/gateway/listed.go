package gateway

import (
	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

// listedState is what an entry of an upstream says of its cold start.
type listedState struct {
	incarnation int64
	cold        bool
}

// listedStates are the states of the listed upstreams by name; only the follower of the list uses them.
type listedStates map[string]listedState

// update notes the states of a batch and reports whether an upstream that was warm has become cold.
func (s listedStates) update(b archive.Batch[catalogue.Listing]) (cooled bool) {
	for _, l := range b.Items {
		if l.Removed {
			delete(s, l.Name)
			continue
		}
		before, known := s[l.Name]
		state := listedState{incarnation: l.Upstream.Incarnation, cold: l.ColdFor > 0}
		cooled = cooled || known && before.incarnation == state.incarnation && !before.cold && state.cold
		s[l.Name] = state
	}
	return cooled
}

// observeListings has the list read on without a pause once an upstream has become cold: others often become cold at once, and until that is known
// they get the requests of those that are known to be.
func (in *Instance) observeListings() func(b archive.Batch[catalogue.Listing]) {
	states := listedStates{}
	return func(b archive.Batch[catalogue.Listing]) {
		if states.update(b) && !b.Whole {
			in.peerSource.EndListingsPause()
		}
	}
}
