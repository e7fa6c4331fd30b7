package session

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// TestP03SessionsKeepTheirVersionThroughARollout sends requests of several sessions to random instances, while a
// roll-out moves new sessions to another version and instances are shut down, killed or cut off one at a time.
func TestP03SessionsKeepTheirVersionThroughARollout(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 20261203))
			h := newHouse(members...)
			first := map[string]catalogue.VersionID{}
			headers := map[string]string{}
			ask := func(session string) {
				at := members[rng.IntN(len(members))].Name
				for h.guests[at].dead.Load() {
					at = members[rng.IntN(len(members))].Name
				}
				c := call(session, headers[session])
				id, pinned := h.at(at).Pinned(background, c)
				if !pinned {
					id = []catalogue.VersionID{"swala@1", "swala@2"}[rng.IntN(2)]
				}
				id, header := h.at(at).Settle(background, c, id)
				// Every other session has a caller that sends its pin along.
				if session[0] == 'p' {
					headers[session] = header
				}
				if first[session] == "" {
					first[session] = id
				}
				if id != first[session] {
					t.Errorf("seed %d: session %s moved from %s to %s", seed, session, first[session], id)
				}
			}
			for step := range 60 {
				ask(fmt.Sprintf("%c%d", "ps"[rng.IntN(2)], rng.IntN(4)))
				if step%6 != 5 {
					continue
				}
				m := members[rng.IntN(len(members))]
				switch rng.IntN(3) {
				case 0:
					_ = h.at(m.Name).Handover(background)
					h.start(m)
				case 1:
					h.start(m)
				default:
					h.guests[m.Name].dead.Store(true)
				}
				// A session whose caller sends no pin survives the loss of one keeper after another as long as it is in use.
				for _, session := range slices.Sorted(maps.Keys(first)) {
					ask(session)
				}
				h.guests[m.Name].dead.Store(false)
				for _, session := range slices.Sorted(maps.Keys(first)) {
					ask(session)
				}
			}
		})
	}
}
