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
func (n *meshNode) fresh() bool {
	return n.mesh.clock.Now()-n.know.ProvedAt() <= n.mesh.cfg.Times.Horizon
}

// isolate cuts the nodes off from all others, or heals all cuts when there are none.
func (m *mesh) isolate(names ...string) {
	inside := map[string]bool{}
	for _, n := range names {
		inside[n] = true
	}
	m.cut = func(from, to *meshNode) bool { return inside[from.self.Name] != inside[to.self.Name] }
}

func (m *mesh) logDown(down bool) { m.log.SetFaults(fake.Faults{Down: down}) }

// accepted tells whether any node would tell an operator that the revision is accepted.
func (m *mesh) accepted(r catalogue.Revision) bool {
	for _, n := range m.nodes {
		if have, missing := n.know.Holders(r); !n.frozen && n.journal.State().Revision >= r && 2*have > have+len(missing) {
			return true
		}
	}
	return false
}

func TestP12Freshness(t *testing.T) {
	// cutOffFirst leaves the first node without log and members while a change is accepted.
	cutOffFirst := func(m *mesh) {
		m.isolate("entry-000")
		m.nodes[0].view.Cut(true, true)
		m.change(zoneOut("z", true, "c2"))
		m.run(20_000)
	}
	tests := []struct {
		name  string
		nodes int
		fault func(m *mesh)
		// fresh has the nodes that may decide after the fault, old those that don't have the change made before it ended.
		fresh, stale, old []int
	}{
		{name: "no fault", nodes: 3, fault: func(m *mesh) {}, fresh: []int{0, 1, 2}},
		{name: "log down for ten minutes", nodes: 9, fault: func(m *mesh) { m.logDown(true); m.run(600_000) }, fresh: []int{0, 4, 8}},
		{name: "cut off from all while a change is accepted", nodes: 3, fault: cutOffFirst, fresh: []int{1, 2}, stale: []int{0}, old: []int{0}},
		{name: "cut off from the log alone", nodes: 3, fault: func(m *mesh) {
			m.nodes[0].view.Cut(true, true)
			m.change(zoneOut("z", true, "c2"))
			m.run(20_000)
		}, fresh: []int{0, 1, 2}},
		{name: "cut off from the members alone", nodes: 3, fault: func(m *mesh) {
			m.isolate("entry-000")
			m.change(zoneOut("z", true, "c2"))
			m.run(20_000)
		}, fresh: []int{0, 1, 2}},
		{name: "answers to one are lost while the log is down", nodes: 3, fault: func(m *mesh) {
			m.logDown(true)
			m.cut = func(_, to *meshNode) bool { return to == m.nodes[0] }
			m.run(20_000)
		}, fresh: []int{1, 2}, stale: []int{0}},
		{name: "half cut off while the log is down", nodes: 4, fault: func(m *mesh) {
			m.logDown(true)
			m.isolate("entry-000", "entry-001")
			m.run(20_000)
		}, stale: []int{0, 1, 2, 3}},
		{name: "started while the log is down", nodes: 9, fault: func(m *mesh) {
			m.logDown(true)
			m.restart(m.nodes[3].self)
			m.run(20_000)
		}, fresh: []int{0, 3, 8}},
		{name: "holder restarted beside the one that was cut off", nodes: 3, fault: func(m *mesh) {
			cutOffFirst(m)
			m.logDown(true)
			m.isolate("entry-001")
			m.restart(m.nodes[2].self)
			m.run(60_000)
		}, stale: []int{0, 1, 2}, old: []int{0, 2}},
		{name: "restarted beside the one that was cut off, with a short list", nodes: 5, fault: func(m *mesh) {
			cutOffFirst(m)
			m.logDown(true)
			for _, n := range m.nodes[1:4] {
				n.frozen = true
				m.list.Remove(n.self.Name)
			}
			m.cut = nil
			m.restart(m.nodes[4].self)
			m.run(30_000)
		}, stale: []int{0, 4}, old: []int{0, 4}},
		{name: "head dropped, one restarted", nodes: 3, fault: func(m *mesh) {
			m.change(zoneOut("z", true, "c2"))
			m.run(10_000)
			m.log.Trim(catalogue.StreamName, 1)
			m.restart(m.nodes[2].self)
			m.run(10_000)
		}, fresh: []int{0, 1, 2}},
		{name: "log emptied, one restarted", nodes: 3, fault: func(m *mesh) {
			m.change(zoneOut("z", true, "c2"))
			m.run(10_000)
			m.log.Truncate(catalogue.StreamName, 0)
			m.restart(m.nodes[2].self)
			m.run(10_000)
		}, fresh: []int{0, 1, 2}},
		{name: "frozen while a change is accepted", nodes: 3, fault: func(m *mesh) {
			m.nodes[0].frozen = true
			m.change(zoneOut("z", true, "c2"))
			m.run(20_000)
			m.nodes[0].frozen = false
		}, fresh: []int{1, 2}, stale: []int{0}, old: []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, namedMembers(tt.nodes))
			m.change(zoneOut("y", true, "c1"))
			m.run(30_000)
			tt.fault(m)
			for _, i := range tt.fresh {
				if !m.nodes[i].fresh() {
					t.Errorf("node %d is not fresh, its proof is %d ms old", i, m.clock.Now()-m.nodes[i].know.ProvedAt())
				}
			}
			for _, i := range tt.stale {
				if m.nodes[i].fresh() {
					t.Errorf("node %d is fresh at revision %d", i, m.nodes[i].journal.State().Revision)
				}
			}
			if len(tt.old) == 0 {
				m.sameState(t)
			}
		})
	}
}

// sameState reports nodes whose revision differs from that of the first one.
func (m *mesh) sameState(t *testing.T) {
	t.Helper()
	for i, n := range m.nodes {
		if got, want := n.journal.State().Revision, m.nodes[0].journal.State().Revision; got != want {
			t.Errorf("node %d is at revision %d, node 0 at %d", i, got, want)
		}
	}
}

// TestP12MajorityShrinks takes six of nine instances away for good: after some minutes a majority is two of three.
func TestP12MajorityShrinks(t *testing.T) {
	m := newMesh(t, namedMembers(9))
	m.change(zoneOut("y", true, "c1"))
	m.run(10_000)
	for _, n := range m.nodes[3:] {
		n.frozen = true
		m.list.Remove(n.self.Name)
	}
	m.run(30_000)
	if have, missing := m.nodes[0].know.Holders(1); have+len(missing) < 6 {
		t.Errorf("a majority is taken of %d members after 30 s", have+len(missing))
	}
	m.run(600_000)
	for i, n := range m.nodes[:3] {
		if have, missing := n.know.Holders(1); have != 3 || len(missing) != 0 {
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
	var known []acceptance
	newest := catalogue.Revision(1)
	for step := range 40 {
		m.fault(r)
		if !m.isLogDown() && r.IntN(3) == 0 {
			newest = m.change(zoneOut("z", step%2 == 0, fmt.Sprint("c", step)))
		}
		for range 3 {
			m.run(1000)
			if m.accepted(newest) {
				known = append(known, acceptance{newest, m.clock.Now()})
			}
			for i, n := range m.nodes {
				for _, a := range known {
					if n.know.ProvedAt() <= a.at {
						continue
					}
					checked++
					if got := n.journal.State().Revision; got < a.revision {
						t.Fatalf("seed %d step %d: node %d is at revision %d by a proof of %d, revision %d was accepted at %d",
							seed, step, i, got, n.know.ProvedAt(), a.revision, a.at)
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
func (m *mesh) fault(r *rand.Rand) {
	n := m.nodes[r.IntN(len(m.nodes))]
	switch r.IntN(9) {
	case 0:
		m.logDown(true)
	case 1, 2:
		m.logDown(false)
	case 3:
		there := r.IntN(2) == 0
		n.view.Cut(there, !there)
	case 4:
		for _, n := range m.nodes {
			n.view.Cut(false, false)
			n.frozen = false
		}
	case 5:
		n.frozen = true
	case 6:
		m.restart(n.self)
	case 7:
		a, b := m.nodes[r.IntN(len(m.nodes))], m.nodes[r.IntN(len(m.nodes))]
		m.cut = func(from, to *meshNode) bool {
			return from.self.Name == a.self.Name || to.self.Name == a.self.Name || from.self.Name == b.self.Name && to.self.Name < b.self.Name
		}
	case 8:
		m.cut = nil
	}
}

// TestP12HoldersThatWereNeverHeardCount has a list whose incarnations are not those that instances give themselves. In a large set an
// instance hears only its neighbours, and learns the incarnations of all others from the items that are passed on.
func TestP12HoldersThatWereNeverHeardCount(t *testing.T) {
	m := newMesh(t, namedMembers(60))
	for _, n := range m.nodes {
		m.list.Put(backoffice.Instance{Name: n.self.Name, Role: catalogue.RoleEntry, PeerAddress: n.self.Name, Zone: n.self.Zone})
	}
	m.run(10_000)
	r := m.change(zoneOut("z", true, "c1"))
	m.run(10_000)
	for _, n := range m.nodes {
		if have, missing := n.know.Holders(r); len(missing) > 0 {
			t.Fatalf("%s counts %d of 60 holders of revision %d", n.self.Name, have, r)
		}
	}
}
