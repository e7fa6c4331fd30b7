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

// TestP03SessionsKeepVersionDuringRollout sends requests of several sessions to random instances, while a rollout moves new
// sessions to another version and instances are shut down, killed or made unreachable one at a time.
func TestP03SessionsKeepVersionDuringRollout(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 20261203))
			c := newCluster(members...)
			first := map[string]catalogue.VersionID{}
			headers := map[string]string{}
			submit := func(session string) {
				name := members[rng.IntN(len(members))].Name
				for c.instances[name].unreachable.Load() {
					name = members[rng.IntN(len(members))].Name
				}
				rc := call(session, headers[session])
				id, pinned := c.at(name).Pinned(background, rc)
				if !pinned {
					id = []catalogue.VersionID{"swala@1", "swala@2"}[rng.IntN(2)]
				}
				id, header := c.at(name).EnsurePin(background, rc, id)
				// The callers of sessions with the prefix p send the pin token; the others don't.
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
				submit(fmt.Sprintf("%c%d", "ps"[rng.IntN(2)], rng.IntN(4)))
				if step%6 != 5 {
					continue
				}
				m := members[rng.IntN(len(members))]
				switch rng.IntN(3) {
				case 0:
					_ = c.at(m.Name).Handover(background)
					c.start(m)
				case 1:
					c.start(m)
				default:
					c.instances[m.Name].unreachable.Store(true)
				}
				// A session whose caller sends no pin survives the successive loss of its replicas only while it is in use.
				for _, session := range slices.Sorted(maps.Keys(first)) {
					submit(session)
				}
				c.instances[m.Name].unreachable.Store(false)
				for _, session := range slices.Sorted(maps.Keys(first)) {
					submit(session)
				}
			}
		})
	}
}
