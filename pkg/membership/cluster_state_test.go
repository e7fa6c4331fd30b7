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

// isFresh reports whether the instance may still decide on its configuration.
func (n *meshInstance) isFresh() bool {
	return n.mesh.clock.Now()-n.cluster.ProvedAt() <= n.mesh.cfg.Times.Horizon
}

// isolate cuts the instances off from all others, or ends all partitions when there are no names.
func (m *mesh) isolate(names ...string) {
	inside := map[string]bool{}
	for _, n := range names {
		inside[n] = true
	}
	m.partitioned = func(from, to *meshInstance) bool { return inside[from.self.Name] != inside[to.self.Name] }
}

func (m *mesh) logDown(down bool) { m.log.SetFaults(fake.Faults{Down: down}) }

// accepted reports whether any instance would report the revision to an operator as accepted.
func (m *mesh) accepted(r catalogue.Revision) bool {
	for _, n := range m.instances {
		if have, missing := n.cluster.Holders(r); !n.frozen && n.replica.State().Revision >= r && 2*have > have+len(missing) {
			return true
		}
	}
	return false
}

func TestP12Freshness(t *testing.T) {
	// isolateFirst cuts the first instance off from log and members while a change is accepted.
	isolateFirst := func(m *mesh) {
		m.isolate("entry-000")
		m.instances[0].view.SetPartition(true, true)
		m.change(zoneOut("z", true, "c2"))
		m.run(20_000)
	}
	tests := []struct {
		name   string
		size   int
		inject func(m *mesh)
		// fresh has the instances that may decide after the fault, stale those that may not, and outdated those without the change
		// that was made before the fault ended.
		fresh, stale, outdated []int
	}{
		{name: "no fault", size: 3, inject: func(m *mesh) {}, fresh: []int{0, 1, 2}},
		{name: "log down for ten minutes", size: 9, inject: func(m *mesh) { m.logDown(true); m.run(600_000) }, fresh: []int{0, 4, 8}},
		{name: "cut off from all while a change is accepted", size: 3, inject: isolateFirst, fresh: []int{1, 2}, stale: []int{0}, outdated: []int{0}},
		{name: "cut off from the log alone", size: 3, inject: func(m *mesh) {
			m.instances[0].view.SetPartition(true, true)
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
		{name: "holder of the change restarted beside the instance that was cut off", size: 3, inject: func(m *mesh) {
			isolateFirst(m)
			m.logDown(true)
			m.isolate("entry-001")
			m.restart(m.instances[2].self)
			m.run(60_000)
		}, stale: []int{0, 1, 2}, outdated: []int{0, 2}},
		{name: "restarted beside the instance that was cut off, with a short list", size: 5, inject: func(m *mesh) {
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
		{name: "oldest records of the log trimmed, one restarted", size: 3, inject: func(m *mesh) {
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
					t.Errorf("instance %d is stale, its proof is %d ms old, want fresh", i, m.clock.Now()-m.instances[i].cluster.ProvedAt())
				}
			}
			for _, i := range tt.stale {
				if m.instances[i].isFresh() {
					t.Errorf("instance %d is fresh at revision %d, want stale", i, m.instances[i].replica.State().Revision)
				}
			}
			if len(tt.outdated) == 0 {
				m.checkSameRevision(t)
			}
		})
	}
}

// checkSameRevision reports instances whose revision differs from that of the first one.
func (m *mesh) checkSameRevision(t *testing.T) {
	t.Helper()
	for i, n := range m.instances {
		if got, want := n.replica.State().Revision, m.instances[0].replica.State().Revision; got != want {
			t.Errorf("instance %d is at revision %d, want %d as instance 0", i, got, want)
		}
	}
}

// TestP12MajorityShrinks removes six of nine instances for good: after some minutes a majority is two of three.
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
		t.Errorf("majority is taken of %d members after 30 s, want at least 6", have+len(missing))
	}
	m.run(600_000)
	for i, n := range m.instances[:3] {
		if have, missing := n.cluster.Holders(1); have != 3 || len(missing) != 0 {
			t.Errorf("instance %d: %d members hold the revision, want 3, missing %v, want none", i, have, missing)
		}
	}
}

// acceptance is the time at which a revision was first seen to be accepted.
type acceptance struct {
	revision catalogue.Revision
	at       clock.Millis
}

// TestP12NoFreshInstanceMissesAnAcceptedChange injects random faults: an instance whose proof is newer than an acceptance holds the
// accepted change.
func TestP12NoFreshInstanceMissesAnAcceptedChange(t *testing.T) {
	const seeds = 200
	checked := 0
	for seed := range uint64(seeds) {
		checked += runFaults(t, seed)
	}
	if checked < 10*seeds {
		t.Errorf("%d fresh views were checked, want at least 10 for each seed", checked)
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
					if got := n.replica.State().Revision; got < a.revision {
						t.Fatalf("seed %d step %d: instance %d is at revision %d by a proof of time %d, want at least revision %d, accepted at %d",
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

// toggleFault starts or ends one random fault.
func (m *mesh) toggleFault(r *rand.Rand) {
	n := m.instances[r.IntN(len(m.instances))]
	switch r.IntN(9) {
	case 0:
		m.logDown(true)
	case 1, 2:
		m.logDown(false)
	case 3:
		requestsLost := r.IntN(2) == 0
		n.view.SetPartition(requestsLost, !requestsLost)
	case 4:
		for _, n := range m.instances {
			n.view.SetPartition(false, false)
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

// TestP12HoldersNeverContactedCount uses a list whose incarnations differ from those that instances give themselves. Among many
// members an instance contacts only its neighbours, and must learn the incarnations of all others from the items that are passed on.
func TestP12HoldersNeverContactedCount(t *testing.T) {
	m := newMesh(t, namedMembers(60))
	for _, n := range m.instances {
		m.list.Put(backoffice.Instance{Name: n.self.Name, Role: catalogue.RoleEntry, PeerAddress: n.self.Name, Zone: n.self.Zone})
	}
	m.run(10_000)
	r := m.change(zoneOut("z", true, "c1"))
	m.run(10_000)
	for _, n := range m.instances {
		if have, missing := n.cluster.Holders(r); len(missing) > 0 {
			t.Fatalf("%s counts %d holders of revision %d, want 60", n.self.Name, have, r)
		}
	}
}
