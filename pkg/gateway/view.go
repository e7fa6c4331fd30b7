package gateway

import (
	"maps"
	"slices"
	"strings"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// View is the control state of an instance; it belongs to the control thread.
type View struct {
	table    *catalogue.RouteTable
	zonesOut map[string]bool
	orders   map[string]catalogue.ReleaseOrder
	statuses map[string]catalogue.ReleaseStatus
	// moves are the orders that are not settled, with their state.
	moves     map[string]*catalogue.ReleaseMove
	upstreams map[string]*catalogue.Upstream
	members   map[string]catalogue.Member
	// listed and statusKnown are true once the list and the statuses were read.
	listed      bool
	statusKnown bool
}

// TakeOperations takes in what operators ask for.
func (v *View) TakeOperations(b archive.Batch[catalogue.Operation], now clock.Millis) {
	if b.Whole {
		v.zonesOut, v.orders = map[string]bool{}, map[string]catalogue.ReleaseOrder{}
	}
	for _, op := range b.Items {
		switch op.Kind {
		case catalogue.OperationTable:
			if v.table == nil || op.Table.Version > v.table.Version {
				v.table = op.Table
			}
		case catalogue.OperationZoneOut:
			if op.Removed {
				delete(v.zonesOut, op.Zone)
			} else {
				v.zonesOut[op.Zone] = true
			}
		case catalogue.OperationRelease:
			if op.Removed {
				delete(v.orders, op.Order.Service)
			} else {
				v.orders[op.Order.Service] = *op.Order
			}
		}
	}
	v.settleMoves(now)
}

// TakeStatuses takes in how far moves to new releases are.
func (v *View) TakeStatuses(b archive.Batch[catalogue.ReleaseStatus], now clock.Millis) {
	v.statusKnown = true
	if b.Whole || v.statuses == nil {
		v.statuses = map[string]catalogue.ReleaseStatus{}
	}
	for _, st := range b.Items {
		if st.Removed {
			delete(v.statuses, st.Service)
			continue
		}
		v.statuses[st.Service] = st
	}
	v.settleMoves(now)
}

// settleMoves brings the moves in line with the orders and the statuses.
func (v *View) settleMoves(now clock.Millis) {
	moves := map[string]*catalogue.ReleaseMove{}
	for service, order := range v.orders {
		m := v.moves[service]
		if m == nil || m.ReleaseOrder != order {
			m = &catalogue.ReleaseMove{ReleaseOrder: order, State: catalogue.ReleaseRunning, StartedAt: now, Canary: catalogue.CanaryOf(v.oldUpstreams(order))}
		}
		st, known := v.statuses[service]
		if known && st.Target == order.Target && m.State == catalogue.ReleaseRunning && st.State != m.State {
			copied := *m
			copied.State = st.State
			m = &copied
		}
		if known && st.Target == order.Target && st.Started && st.StartedAt < m.StartedAt {
			copied := *m
			copied.StartedAt = st.StartedAt
			m = &copied
		}
		moves[service] = m
	}
	for service, m := range v.moves {
		if _, ordered := v.orders[service]; ordered {
			continue
		}
		// The order was taken away: what was not completed goes back to the old release.
		copied := *m
		if copied.State == catalogue.ReleaseRunning {
			copied.State = catalogue.ReleaseReverted
		}
		moves[service] = &copied
	}
	v.moves = moves
}

// oldUpstreams counts the upstreams of a service that don't run the release that is ordered.
func (v *View) oldUpstreams(order catalogue.ReleaseOrder) int {
	n := 0
	for _, u := range v.upstreams {
		if u.Service == order.Service && u.Release != order.Target {
			n++
		}
	}
	return n
}

// SetMove settles a move as this instance found it.
func (v *View) SetMove(service, target string, state catalogue.ReleaseState) {
	m := v.moves[service]
	if m == nil || m.Target != target || m.State != catalogue.ReleaseRunning {
		return
	}
	copied := *m
	copied.State = state
	v.moves = maps.Clone(v.moves)
	v.moves[service] = &copied
}

// TakeListings takes in the list of upstreams and returns the names of those that are gone.
func (v *View) TakeListings(b archive.Batch[catalogue.Listing], now clock.Millis) (gone []string) {
	old := v.upstreams
	if b.Whole || old == nil {
		v.upstreams = map[string]*catalogue.Upstream{}
	}
	v.listed = true
	for _, l := range b.Items {
		if l.Removed {
			delete(v.upstreams, l.Name)
			gone = append(gone, l.Name)
			continue
		}
		u := *l.Upstream
		if l.ColdFor > 0 {
			u.ColdUntil = now + l.ColdFor
		}
		v.upstreams[l.Name] = &u
	}
	if b.Whole {
		for name := range old {
			if v.upstreams[name] == nil {
				gone = append(gone, name)
			}
		}
	}
	return gone
}

// TakeMembers takes in the entry instances.
func (v *View) TakeMembers(b archive.Batch[MemberRecord]) {
	if b.Whole || v.members == nil {
		v.members = map[string]catalogue.Member{}
	}
	for _, m := range b.Items {
		if m.Removed {
			delete(v.members, m.Member.Name)
			continue
		}
		v.members[m.Member.Name] = m.Member
	}
}

// Snapshot returns what traffic decides on.
func (v *View) Snapshot(draining bool) *catalogue.Snapshot {
	s := &catalogue.Snapshot{Routes: v.table, Moves: v.moves, Draining: draining, Pools: map[string][]*catalogue.Upstream{}}
	for _, u := range v.upstreams {
		if u.Leaving || v.zonesOut[u.Zone] {
			continue
		}
		s.Pools[u.Service] = append(s.Pools[u.Service], u)
		s.Upstreams = append(s.Upstreams, u)
	}
	for _, m := range v.members {
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b catalogue.Member) int { return strings.Compare(a.Name, b.Name) })
	byName := func(a, b *catalogue.Upstream) int { return strings.Compare(a.Name, b.Name) }
	for _, p := range s.Pools {
		slices.SortFunc(p, byName)
	}
	slices.SortFunc(s.Upstreams, byName)
	return s
}
