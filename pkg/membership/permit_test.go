package membership

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

const permitted = catalogue.VersionID("chai@1")

// snapshot returns what the instance publishes to its request traffic.
func (n *meshInstance) snapshot() *catalogue.Snapshot {
	s := &catalogue.Snapshot{At: n.cluster.ViewAt(), Config: n.replica.State()}
	if n.frozen {
		return s
	}
	l, err := n.mesh.list.Instances(n.mesh.t.Context())
	if err != nil {
		return s
	}
	for _, in := range l.Instances {
		if in.Role == catalogue.RoleEngine {
			s.Upstreams = append(s.Upstreams, &catalogue.Upstream{Name: in.Name, Zone: in.Zone, Leaving: in.Leaving, Versions: in.Versions})
		}
	}
	return s
}

// checkSend is the check before the first byte of a request is sent.
func (n *meshInstance) checkSend(s *catalogue.Snapshot) error {
	if err := s.Fresh(n.mesh.clock.Now(), n.mesh.cfg.Times.Horizon); err != nil {
		return err
	}
	if err := s.PermitVersion("w", permitted); err != nil {
		return err
	}
	return s.PermitUpstream("engine")
}

func objectEdit(t testing.TB, kind catalogue.Kind, name string, object any) catalogue.Edit {
	t.Helper()
	raw, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return catalogue.Edit{Kind: kind, Name: name, AnyBase: true, Object: raw}
}

func workspaceEdit(t testing.TB, versions ...catalogue.VersionID) catalogue.Edit {
	digest := make([]byte, 64)
	for i := range digest {
		digest[i] = 'a'
	}
	return objectEdit(t, catalogue.KindWorkspace, "w", catalogue.Workspace{Name: "w", KeyDigest: string(digest), Versions: versions})
}

func engine(leaving bool) backoffice.Instance {
	return backoffice.Instance{Name: "engine", Role: catalogue.RoleEngine, Zone: "zone-1", Leaving: leaving, Versions: []catalogue.VersionID{permitted}}
}

// revocation forbids the request that checkSend checks.
type revocation func(t testing.TB, m *mesh)

func revokeByChange(kind catalogue.Kind, name string, object any) revocation {
	return func(t testing.TB, m *mesh) {
		m.change(&catalogue.Change{ID: "revoke", Edits: []catalogue.Edit{objectEdit(t, kind, name, object)}})
	}
}

// permitFaults are the faults of the sending instance; some hide the revocation from it.
var permitFaults = []struct {
	name  string
	begin func(m *mesh, n *meshInstance)
	// stale is true when the send must fail because the view is too old, and false when it must fail by the rule.
	stale bool
}{
	{name: "no fault", begin: func(*mesh, *meshInstance) {}},
	{name: "cut off from the log", begin: func(_ *mesh, n *meshInstance) { n.view.SetPartition(true, true) }},
	{name: "cut off from the members", begin: func(m *mesh, n *meshInstance) { m.isolate(n.self.Name) }},
	{name: "cut off from log, list and members", stale: true, begin: func(m *mesh, n *meshInstance) {
		n.view.SetPartition(true, true)
		n.listDown = true
		m.isolate(n.self.Name)
	}},
	{name: "frozen", stale: true, begin: func(_ *mesh, n *meshInstance) { n.frozen = true }},
}

func testPermit(t *testing.T, revoke revocation) {
	t.Helper()
	for _, f := range permitFaults {
		t.Run(f.name, func(t *testing.T) {
			m := newMesh(t, namedMembers(5))
			m.list.Put(engine(false))
			m.change(&catalogue.Change{ID: "first", Edits: []catalogue.Edit{
				objectEdit(t, catalogue.KindVersion, string(permitted), catalogue.Version{ID: permitted}),
				workspaceEdit(t, permitted),
			}})
			m.run(10_000)
			n := m.instances[0]
			before := n.snapshot()
			if err := n.checkSend(before); err != nil {
				t.Fatalf("send before the revocation: %v, want no error", err)
			}
			f.begin(m, n)
			m.clock.Advance(1)
			revoke(t, m)
			m.run(m.cfg.Times.Horizon + 1000)
			s := before
			if !n.frozen {
				s = n.snapshot()
			}
			err := n.checkSend(s)
			var stale *catalogue.StaleError
			var forbidden *catalogue.ForbiddenError
			if isStale, isRule := errors.As(err, &stale), errors.As(err, &forbidden); isStale != f.stale || isRule == f.stale {
				t.Errorf("send after the revocation: %v, want StaleError %t, else ForbiddenError", err, f.stale)
			}
		})
	}
}

func TestP01VersionTakenFromWorkspace(t *testing.T) {
	testPermit(t, func(t testing.TB, m *mesh) {
		m.change(&catalogue.Change{ID: "revoke", Edits: []catalogue.Edit{workspaceEdit(t, "chai@2")}})
	})
}

func TestP02VersionWithdrawn(t *testing.T) {
	testPermit(t, revokeByChange(catalogue.KindVersion, string(permitted), catalogue.Version{ID: permitted, Withdrawn: true}))
}

func TestP06ZoneOut(t *testing.T) {
	testPermit(t, revokeByChange(catalogue.KindZone, "zone-1", catalogue.Zone{Name: "zone-1", Out: true}))
}

func TestP10UpstreamLeaving(t *testing.T) {
	testPermit(t, func(_ testing.TB, m *mesh) { m.list.Put(engine(true)) })
}

func TestP10ListFaults(t *testing.T) {
	tests := []struct {
		name  string
		begin func(m *mesh)
		fresh bool
	}{
		{name: "one instance can't read the list", begin: func(m *mesh) { m.instances[0].listDown = true }},
		{name: "no instance can read the list", begin: func(m *mesh) { m.list.SetFaults(fake.Faults{Down: true}) }, fresh: true},
		{name: "the list doesn't move on", begin: func(m *mesh) { m.list.Freeze(true) }, fresh: true},
		{name: "one instance can't read the list nor reach the members", begin: func(m *mesh) { m.instances[0].listDown = true; m.isolate("entry-000") }},
		{name: "no instance can read the list, one can't reach the members", begin: func(m *mesh) {
			m.list.SetFaults(fake.Faults{Down: true})
			m.isolate("entry-000")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, namedMembers(5))
			m.change(zoneOut("y", true, "c1"))
			m.run(10_000)
			tt.begin(m)
			m.run(30_000)
			if age := m.clock.Now() - m.instances[0].cluster.ListProvedAt(); (age <= m.cfg.Times.Horizon) != tt.fresh {
				t.Errorf("the list was proved %d ms ago, want fresh %t", age, tt.fresh)
			}
		})
	}
}
