package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// fresh tells whether the node may decide on its configuration now.
func (n *meshInstance) isFresh() bool {
	return n.mesh.clock.Now()-n.cluster.ProvedAt() <= n.mesh.cfg.Times.Horizon
}

// isolate cuts the nodes off from all others, or heals all cuts when there are none.
func (m *mesh) isolate(names ...string) {
	inside := map[string]bool{}
	for _, n := range names {
		inside[n] = true
	}
	m.partitioned = func(from, to *meshInstance) bool { return inside[from.self.Name] != inside[to.self.Name] }
}

func (m *mesh) logDown(down bool) { m.log.SetFaults(fake.Faults{Down: down}) }

// accepted tells whether any node would tell an operator that the revision is accepted.
func (m *mesh) accepted(r catalogue.Revision) bool {
	for _, n := range m.instances {
		if have, missing := n.cluster.Holders(r); !n.frozen && n.journal.State().Revision >= r && 2*have > have+len(missing) {
			return true
		}
	}
	return false
}

func TestP12Freshness(t *testing.T) {
	// cutOffFirst leaves the first node without log and members while a change is accepted.
	isolateFirst := func(m *mesh) {
		m.isolate("entry-000")
		m.instances[0].view.Cut(true, true)
		m.change(zoneOut("z", true, "c2"))
		m.run(20_000)
	}
	tests := []struct {
		name   string
		size   int
		inject func(m *mesh)
		// fresh has the nodes that may decide after the fault, old those that don't have the change made before it ended.
		fresh, stale, outdated []int
	}{
		{name: "no fault", size: 3, inject: func(m *mesh) {}, fresh: []int{0, 1, 2}},
		{name: "log down for ten minutes", size: 9, inject: func(m *mesh) { m.logDown(true); m.run(600_000) }, fresh: []int{0, 4, 8}},
		{name: "cut off from all while a change is accepted", size: 3, inject: isolateFirst, fresh: []int{1, 2}, stale: []int{0}, outdated: []int{0}},
		{name: "cut off from the log alone", size: 3, inject: func(m *mesh) {
			m.instances[0].view.Cut(true, true)
			m.change(zoneOut("z", true, "c2"))
			m.run(20_000)
		}, fresh: []int{0, 1, 2}},
		{name: "cut off from the members alone", size: 3, inject: func(m *mesh) {
			m.isolate("entry-000")
			m.change(zoneOut("z", true, "c2"))
			m.run(20_000)
		}, fresh: []int{0, 1, 2}},
		{name: "answers to one are lost while the log is down", size: 3, inject: func(m *mesh) {
			m.logDown(true)
			m.partitioned = func(_, to *meshInstance) bool { return to == m.instances[0] }
			m.run(20_000)
		}, fresh: []int{1, 2}, stale: []int{0}},
		{name: "half cut off while the log is down", size: 4, inject: func(m *mesh) {
			m.logDown(true)
			m.isolate("entry-000", "entry-001")
			m.run(20_000)
		}, stale: []int{0, 1, 2, 3}},
		{name: "started while the log is down", size: 9, inject: func(m *mesh) {
			m.logDown(true)
			m.restart(m.instances[3].self)
			m.run(20_000)
		}, fresh: []int{0, 3, 8}},
		{name: "holder restarted beside the one that was cut off", size: 3, inject: func(m *mesh) {
			isolateFirst(m)
			m.logDown(true)
			m.isolate("entry-001")
			m.restart(m.instances[2].self)
			m.run(60_000)
		}, stale: []int{0, 1, 2}, outdated: []int{0, 2}},
		{name: "restarted beside the one that was cut off, with a short list", size: 5, inject: func(m *mesh) {
			isolateFirst(m)
			m.logDown(true)
			for _, n := range m.instances[1:4] {
				n.frozen = true
				m.list.Remove(n.self.Name)
			}
			m.partitioned = nil
			m.restart(m.instances[4].self)
			m.run(30_000)
		}, stale: []int{0, 4}, outdated: []int{0, 4}},
		{name: "head dropped, one restarted", size: 3, inject: func(m *mesh) {
			m.change(zoneOut("z", true, "c2"))
			m.run(10_000)
			m.log.Trim(catalogue.StreamName, 1)
			m.restart(m.instances[2].self)
			m.run(10_000)
		}, fresh: []int{0, 1, 2}},
		{name: "log emptied, one restarted", size: 3, inject: func(m *mesh) {
			m.change(zoneOut("z", true, "c2"))
			m.run(10_000)
			m.log.Truncate(catalogue.StreamName, 0)
			m.restart(m.instances[2].self)
			m.run(10_000)
		}, fresh: []int{0, 1, 2}},
		{name: "frozen while a change is accepted", size: 3, inject: func(m *mesh) {
			m.instances[0].frozen = true
			m.change(zoneOut("z", true, "c2"))
			m.run(20_000)
			m.instances[0].frozen = false
		}, fresh: []int{1, 2}, stale: []int{0}, outdated: []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, namedMembers(tt.size))
			m.change(zoneOut("y", true, "c1"))
			m.run(30_000)
			tt.inject(m)
			for _, i := range tt.fresh {
				if !m.instances[i].isFresh() {
					t.Errorf("node %d is not fresh, its proof is %d ms old", i, m.clock.Now()-m.instances[i].cluster.ProvedAt())
				}
			}
			for _, i := range tt.stale {
				if m.instances[i].isFresh() {
					t.Errorf("node %d is fresh at revision %d", i, m.instances[i].journal.State().Revision)
				}
			}
			if len(tt.outdated) == 0 {
				m.checkSameRevision(t)
			}
		})
	}
}

// sameState reports nodes whose revision differs from that of the first one.
func (m *mesh) checkSameRevision(t *testing.T) {
	t.Helper()
	for i, n := range m.instances {
		if got, want := n.journal.State().Revision, m.instances[0].journal.State().Revision; got != want {
			t.Errorf("node %d is at revision %d, node 0 at %d", i, got, want)
		}
	}
}

// TestP12MajorityShrinks takes six of nine instances away for good: after some minutes a majority is two of three.
func TestP12MajorityShrinks(t *testing.T) {
	m := newMesh(t, namedMembers(9))
	m.change(zoneOut("y", true, "c1"))
	m.run(10_000)
	for _, n := range m.instances[3:] {
		n.frozen = true
		m.list.Remove(n.self.Name)
	}
	m.run(30_000)
	if have, missing := m.instances[0].cluster.Holders(1); have+len(missing) < 6 {
		t.Errorf("a majority is taken of %d members after 30 s", have+len(missing))
	}
	m.run(600_000)
	for i, n := range m.instances[:3] {
		if have, missing := n.cluster.Holders(1); have != 3 || len(missing) != 0 {
			t.Errorf("node %d: %d members hold the revision, missing %v", i, have, missing)
		}
	}
}

// acceptance is when a revision was first seen to be accepted.
type acceptance struct {
	revision catalogue.Revision
	at       clock.Millis
}

// TestP12NoFreshNodeMissesAnAcceptedChange runs random faults: a node whose proof is younger than an acceptance holds the change.
func TestP12NoFreshNodeMissesAnAcceptedChange(t *testing.T) {
	const seeds = 200
	checked := 0
	for seed := range uint64(seeds) {
		checked += runFaults(t, seed)
	}
	if checked < 10*seeds {
		t.Errorf("only %d fresh views were checked", checked)
	}
}

func runFaults(t *testing.T, seed uint64) (checked int) {
	r := rand.New(rand.NewPCG(seed, 12))
	m := newMesh(t, namedMembers(3+r.IntN(4)))
	m.change(zoneOut("y", true, "first"))
	m.run(20_000)
	var acceptances []acceptance
	newest := catalogue.Revision(1)
	for step := range 40 {
		m.toggleFault(r)
		if !m.isLogDown() && r.IntN(3) == 0 {
			newest = m.change(zoneOut("z", step%2 == 0, fmt.Sprint("c", step)))
		}
		for range 3 {
			m.run(1000)
			if m.accepted(newest) {
				acceptances = append(acceptances, acceptance{newest, m.clock.Now()})
			}
			for i, n := range m.instances {
				for _, a := range acceptances {
					if n.cluster.ProvedAt() <= a.at {
						continue
					}
					checked++
					if got := n.journal.State().Revision; got < a.revision {
						t.Fatalf("seed %d step %d: node %d is at revision %d by a proof of %d, revision %d was accepted at %d",
							seed, step, i, got, n.cluster.ProvedAt(), a.revision, a.at)
					}
				}
			}
		}
	}
	return checked
}

func (m *mesh) isLogDown() bool {
	_, err := m.log.Read(m.t.Context(), catalogue.StreamName, 0, 1, 0)
	return err != nil
}

// fault starts or ends one fault.
func (m *mesh) toggleFault(r *rand.Rand) {
	n := m.instances[r.IntN(len(m.instances))]
	switch r.IntN(9) {
	case 0:
		m.logDown(true)
	case 1, 2:
		m.logDown(false)
	case 3:
		there := r.IntN(2) == 0
		n.view.Cut(there, !there)
	case 4:
		for _, n := range m.instances {
			n.view.Cut(false, false)
			n.frozen = false
		}
	case 5:
		n.frozen = true
	case 6:
		m.restart(n.self)
	case 7:
		a, b := m.instances[r.IntN(len(m.instances))], m.instances[r.IntN(len(m.instances))]
		m.partitioned = func(from, to *meshInstance) bool {
			return from.self.Name == a.self.Name || to.self.Name == a.self.Name || from.self.Name == b.self.Name && to.self.Name < b.self.Name
		}
	case 8:
		m.partitioned = nil
	}
}

// TestP12HoldersThatWereNeverHeardCount has a list whose incarnations are not those that instances give themselves. In a large set an
// instance hears only its neighbours, and learns the incarnations of all others from the items that are passed on.
func TestP12HoldersThatWereNeverHeardCount(t *testing.T) {
	m := newMesh(t, namedMembers(60))
	for _, n := range m.instances {
		m.list.Put(backoffice.Instance{Name: n.self.Name, Role: catalogue.RoleEntry, PeerAddress: n.self.Name, Zone: n.self.Zone})
	}
	m.run(10_000)
	r := m.change(zoneOut("z", true, "c1"))
	m.run(10_000)
	for _, n := range m.instances {
		if have, missing := n.cluster.Holders(r); len(missing) > 0 {
			t.Fatalf("%s counts %d of 60 holders of revision %d", n.self.Name, have, r)
		}
	}
}
