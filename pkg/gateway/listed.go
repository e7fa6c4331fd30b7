package gateway

import (
	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

// listedState is what an entry of an upstream says beside its liveness.
type listedState struct {
	incarnation   int64
	leaving, cold bool
}

// listedStates are the states of the listed upstreams by name; only the follower of the list uses them.
type listedStates map[string]listedState

// update notes the states of a batch and reports whether one of them is new or has changed, or an upstream was removed.
func (s listedStates) update(b archive.Batch[catalogue.Listing]) (changed bool) {
	for _, l := range b.Items {
		before, known := s[l.Name]
		if l.Removed {
			changed = changed || known
			delete(s, l.Name)
			continue
		}
		state := listedState{incarnation: l.Upstream.Incarnation, leaving: l.Upstream.Leaving, cold: l.ColdFor > 0}
		changed = changed || !known || before != state
		s[l.Name] = state
	}
	return changed
}

// observeListings has the list read on without a pause after a change: others often follow at once, and until they are known their upstreams get the
// requests of those that are known to be cold or to leave.
func (in *Instance) observeListings() func(b archive.Batch[catalogue.Listing]) {
	states := listedStates{}
	return func(b archive.Batch[catalogue.Listing]) {
		if states.update(b) && !b.Whole {
			in.peerSource.EndListingsPause()
		}
	}
}
