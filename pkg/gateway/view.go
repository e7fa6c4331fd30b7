package gateway

import (
	"maps"
	"slices"
	"strings"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// View is the control state of an instance; it is not safe for concurrent use and only the control actor uses it.
type View struct {
	table *catalogue.RouteTable
	// tableConfirmed is false while the store, back from an older copy, has no configuration as new as the table.
	tableConfirmed bool
	// tableConfirmedFrom is the time from which such a store counts as current all the same.
	tableConfirmedFrom clock.Millis
	// tableRecord is the record of the table.
	tableRecord archive.Record
	// doubted is true while other instances, but not the store, may have a newer configuration, at most until doubtedUntil.
	doubted      bool
	doubtedUntil clock.Millis
	zonesOut     map[string]bool
	orders       map[string]catalogue.ReleaseOrder
	statuses     map[string]catalogue.ReleaseStatus
	// ownReverts has by service the target of a rollout that this instance reverted and whose end the store isn't known to have.
	ownReverts map[string]string
	// rollouts has the release rollouts by service, also those whose order was removed.
	rollouts map[string]*catalogue.ReleaseRollout
	// lostRollouts has the rollouts that ended only because the store lost their order.
	lostRollouts map[string]*catalogue.ReleaseRollout
	// unconfirmed is the part of orders and zonesOut that the store doesn't have.
	unconfirmed   unconfirmedOperations
	operationsEra topicEra
	upstreams     map[string]*catalogue.Upstream
	// upstreamRecords has the last records of the upstreams, also of those that were removed lately.
	upstreamRecords map[string]upstreamRecord
	listingsEra     topicEra
	// missingUpstreams are upstreams that a store back from an older copy lacks; they are removed at missingUntil.
	missingUpstreams map[string]bool
	missingUntil     clock.Millis
	// doubtfulListings are entries of upstreams that were removed, which are older than what was known before.
	doubtfulListings map[string]doubtfulListing
	members          map[string]catalogue.Member
	membersEra       topicEra
	// missingMembers are members that a store back from an older copy lacks; they are removed at missingMembersUntil.
	missingMembers      map[string]bool
	missingMembersUntil clock.Millis
	// listRead and statusesRead are true once the upstream list and the rollout statuses were read.
	listRead     bool
	statusesRead bool
}

// ApplyOperations applies a batch of operators' changes; a configuration older than the active one is ignored. What a store that came
// back from an older copy lacks holds for confirmGrace.
func (v *View) ApplyOperations(b archive.Batch[catalogue.Operation], now clock.Millis) {
	if observe(&v.operationsEra, b) {
		v.unconfirm(now)
	}
	knownOrders := v.orders
	if b.Whole {
		v.zonesOut, v.orders = map[string]bool{}, map[string]catalogue.ReleaseOrder{}
	}
	for _, op := range b.Items {
		switch op.Kind {
		case catalogue.OperationTable:
			if v.table == nil || op.Table.Version > v.table.Version {
				v.table, v.tableRecord = op.Table, archive.Record{Key: op.Key, Value: op.Value}
			}
			if op.Table.Version == v.table.Version {
				// One that the operator writes after the return of the store is the newest there is.
				v.tableConfirmed, v.doubted = true, v.doubted && b.Whole
			} else if b.Whole && v.tableConfirmed {
				v.tableConfirmed, v.tableConfirmedFrom = false, now+confirmGrace
			}
		case catalogue.OperationZoneOut:
			if !b.Whole {
				delete(v.unconfirmed.zones, op.Zone)
			}
			if op.Removed {
				delete(v.zonesOut, op.Zone)
			} else {
				v.zonesOut[op.Zone] = true
			}
		case catalogue.OperationRelease:
			if !b.Whole {
				delete(v.unconfirmed.orders, op.Order.Service)
			}
			if op.Removed {
				delete(v.orders, op.Order.Service)
			} else {
				v.orders[op.Order.Service] = *op.Order
			}
		}
	}
	if b.Whole {
		v.keepUnconfirmed(knownOrders)
	}
	v.updateRollouts(now)
}

// ApplyStatuses applies a batch of rollout statuses, which may come from other instances.
func (v *View) ApplyStatuses(b archive.Batch[catalogue.ReleaseStatus], now clock.Millis) {
	v.statusesRead = true
	if b.Whole || v.statuses == nil {
		v.statuses = map[string]catalogue.ReleaseStatus{}
	}
	for _, st := range b.Items {
		if st.Removed {
			delete(v.statuses, st.Service)
			continue
		}
		if known := v.statuses[st.Service]; known.Target == st.Target && isEnd(known) {
			continue
		}
		v.statuses[st.Service] = st
	}
	v.updateRollouts(now)
}

// updateRollouts recomputes the rollouts from the orders and the statuses.
func (v *View) updateRollouts(now clock.Millis) {
	rollouts := map[string]*catalogue.ReleaseRollout{}
	for service, order := range v.orders {
		rollout := v.rollouts[service]
		if lost := v.lostRollouts[service]; lost != nil {
			// The order is there again: the rollout goes on.
			rollout = lost
			delete(v.lostRollouts, service)
		}
		if rollout == nil || rollout.ReleaseOrder != order {
			rollout = &catalogue.ReleaseRollout{ReleaseOrder: order, State: catalogue.ReleaseRunning, StartedAt: now, Canary: catalogue.CanaryFraction(v.countOldUpstreams(order))}
		}
		st, known := v.statuses[service]
		if known && st.Target == order.Target && rollout.State == catalogue.ReleaseRunning && st.State != rollout.State {
			copied := *rollout
			copied.State = st.State
			rollout = &copied
		}
		if known && st.Target == order.Target && isEnd(st) && v.ownReverts[service] == order.Target {
			// The first end that the store has stands, also where this instance has ended the rollout otherwise.
			copied := *rollout
			copied.State = st.State
			rollout = &copied
			delete(v.ownReverts, service)
		}
		if known && st.Target == order.Target && st.Started && st.StartedAt < rollout.StartedAt {
			copied := *rollout
			copied.StartedAt = st.StartedAt
			rollout = &copied
		}
		rollouts[service] = rollout
	}
	for service, rollout := range v.rollouts {
		if _, ordered := v.orders[service]; ordered {
			continue
		}
		// The order was removed: a rollout that was not completed goes back to the old release.
		copied := *rollout
		if copied.State == catalogue.ReleaseRunning {
			copied.State = catalogue.ReleaseReverted
		}
		rollouts[service] = &copied
	}
	v.rollouts = rollouts
}

// countOldUpstreams counts the upstreams of a service that don't run the ordered release.
func (v *View) countOldUpstreams(order catalogue.ReleaseOrder) int {
	n := 0
	for _, u := range v.upstreams {
		if u.Service == order.Service && u.Release != order.Target {
			n++
		}
	}
	return n
}

// SetRolloutState ends a running rollout as this instance decided; it ignores other targets and rollouts that have ended.
func (v *View) SetRolloutState(service, target string, state catalogue.ReleaseState) {
	rollout := v.rollouts[service]
	if rollout == nil || rollout.Target != target || rollout.State != catalogue.ReleaseRunning {
		return
	}
	if v.ownReverts == nil {
		v.ownReverts = map[string]string{}
	}
	if state == catalogue.ReleaseReverted {
		v.ownReverts[service] = target
	}
	copied := *rollout
	copied.State = state
	v.rollouts = maps.Clone(v.rollouts)
	v.rollouts[service] = &copied
}

// ApplyMembers applies a batch of the members' topic. Members that a store back from an older copy lacks stay for restoreGrace, in which
// they register again.
func (v *View) ApplyMembers(b archive.Batch[MemberRecord], now clock.Millis) {
	restored := observe(&v.membersEra, b)
	known := v.members
	if b.Whole || known == nil {
		v.members = map[string]catalogue.Member{}
	}
	if restored {
		v.missingMembers, v.missingMembersUntil = map[string]bool{}, now+restoreGrace
	}
	for _, m := range b.Items {
		name := m.Member.Name
		delete(v.missingMembers, name)
		if m.Removed {
			delete(v.members, name)
			continue
		}
		v.members[name] = m.Member
		if earlier, found := known[name]; restored && found && earlier.Incarnation > m.Member.Incarnation {
			v.members[name] = earlier
		}
	}
	if !b.Whole {
		return
	}
	for name, m := range known {
		if _, listed := v.members[name]; !listed && (restored || v.missingMembers[name]) {
			v.members[name] = m
			v.missingMembers[name] = true
		}
	}
}

// expireMembers removes the members that did not register again in time and reports whether there were any.
func (v *View) expireMembers(now clock.Millis) bool {
	if len(v.missingMembers) == 0 || now < v.missingMembersUntil {
		return false
	}
	for name := range v.missingMembers {
		delete(v.members, name)
	}
	v.missingMembers = nil
	return true
}

// Snapshot builds the snapshot for the request path, without upstreams that are draining or in zones taken out of service.
func (v *View) Snapshot(draining bool) *catalogue.Snapshot {
	s := &catalogue.Snapshot{Routes: v.table, Moves: v.rollouts, Draining: draining, Pools: map[string][]*catalogue.Upstream{}}
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
