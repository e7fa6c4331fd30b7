package gateway

import (
	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/revision"
)

// restoreGrace is how long instances and upstreams have to write again what a store that came back from an older copy lacks; what was known
// before holds so long.
const restoreGrace = 5 * clock.Second

// confirmGrace is how long operators have to write again what such a store lacks. Orders and zones out hold so long, and an answer that lacks the
// active configuration doesn't count as current. If nobody has written the configuration again by then, nobody will: it was never acknowledged,
// and refusing for its sake would have no end.
const confirmGrace = 2 * restoreGrace

// doubtGrace is how long an instance that knows no earlier era waits for another one to tell of a newer configuration; without any, the store is
// all there is. One that knows an earlier era waits for confirmGrace.
const doubtGrace = revision.MaxWait + membersTimeout

// topicEra is the era of what was read of a topic, and the position behind it.
type topicEra struct {
	era  int64
	next int64
	read bool
	// restores counts the returns from an older copy that were noticed, and before is what had been read before the last one.
	restores int
	before   revision.Position
}

// observe notes the era of a batch and reports whether the batch replaces what was read in another era. Where the era is unknown, a
// topic that ends before the position tells it.
func observe[T any](e *topicEra, b archive.Batch[T]) (restored bool) {
	restored = b.Whole && e.read && (b.IsOtherEra(e.era) || b.Era == 0 && b.Next < e.next)
	if restored {
		e.before = revision.Position{Era: e.era, Next: e.next}
	}
	e.next = b.Next
	if b.Era != 0 {
		e.era = b.Era
	}
	e.read = e.read || b.Whole
	if restored {
		e.restores++
	}
	return restored
}

// unconfirmedOperations are rollout orders and zones out that hold although the store, back from an older copy, doesn't have them.
type unconfirmedOperations struct {
	// orders has by service the order that the store has instead, or nil.
	orders map[string]*catalogue.ReleaseOrder
	zones  map[string]bool
	// until is when they end unless they are written again.
	until clock.Millis
}

// newUnconfirmedOperations returns none, with the end of those that are added.
func newUnconfirmedOperations(now clock.Millis) unconfirmedOperations {
	return unconfirmedOperations{orders: map[string]*catalogue.ReleaseOrder{}, zones: map[string]bool{}, until: now + confirmGrace}
}

// unconfirm makes all known orders and zones out unconfirmed.
func (v *View) unconfirm(now clock.Millis) {
	v.unconfirmed = newUnconfirmedOperations(now)
	for service := range v.orders {
		v.unconfirmed.orders[service] = nil
	}
	for zone := range v.zonesOut {
		v.unconfirmed.zones[zone] = true
	}
	v.tableConfirmed, v.tableConfirmedFrom = false, now+confirmGrace
}

// keepUnconfirmed puts unconfirmed orders and zones out back after the whole topic was read; those that the store has are confirmed.
func (v *View) keepUnconfirmed(known map[string]catalogue.ReleaseOrder) {
	for service := range v.unconfirmed.orders {
		stored, found := v.orders[service]
		switch {
		case !found:
			v.unconfirmed.orders[service] = nil
		case stored == known[service]:
			delete(v.unconfirmed.orders, service)
		default:
			v.unconfirmed.orders[service] = &stored
		}
		v.orders[service] = known[service]
	}
	for zone := range v.unconfirmed.zones {
		if v.zonesOut[zone] {
			delete(v.unconfirmed.zones, zone)
		}
		v.zonesOut[zone] = true
	}
}

// dropUnconfirmed ends what was not written again, in favour of what the store has.
func (v *View) dropUnconfirmed(now clock.Millis) {
	for service, stored := range v.unconfirmed.orders {
		if stored != nil {
			v.orders[service] = *stored
			continue
		}
		delete(v.orders, service)
		if rollout := v.rollouts[service]; rollout != nil && rollout.State == catalogue.ReleaseRunning {
			if v.lostRollouts == nil {
				v.lostRollouts = map[string]*catalogue.ReleaseRollout{}
			}
			v.lostRollouts[service] = rollout
		}
	}
	for zone := range v.unconfirmed.zones {
		delete(v.zonesOut, zone)
	}
	v.unconfirmed = unconfirmedOperations{}
	v.updateRollouts(now)
}

// AdoptOperations takes over rollout orders and zones out that another instance knows and the store, back from an older copy, lacks. They are
// unconfirmed like own ones.
func (v *View) AdoptOperations(orders []catalogue.ReleaseOrder, zones []string, now clock.Millis) (adopted int) {
	if !v.hasUnconfirmed() {
		v.unconfirmed = newUnconfirmedOperations(now)
	}
	for _, order := range orders {
		known, found := v.orders[order.Service]
		if known == order {
			continue
		}
		if _, unconfirmed := v.unconfirmed.orders[order.Service]; !unconfirmed {
			v.unconfirmed.orders[order.Service] = nil
			if found {
				v.unconfirmed.orders[order.Service] = &known
			}
		}
		v.orders[order.Service] = order
		adopted++
	}
	for _, zone := range zones {
		if v.zonesOut[zone] {
			continue
		}
		v.unconfirmed.zones[zone], v.zonesOut[zone] = true, true
		adopted++
	}
	if adopted > 0 {
		v.updateRollouts(now)
	}
	return adopted
}

// hasUnconfirmed reports whether any order or zone out is unconfirmed.
func (v *View) hasUnconfirmed() bool { return len(v.unconfirmed.orders)+len(v.unconfirmed.zones) > 0 }

// doubt makes the store count as current only once doubted is false, or at until.
func (v *View) doubt(until clock.Millis) { v.doubted, v.doubtedUntil = true, until }

// AdoptTable takes over a configuration of another instance, which the store lacks, and reports whether it is newer than the active one.
func (v *View) AdoptTable(op catalogue.Operation, now clock.Millis) bool {
	if op.Table == nil || v.table != nil && op.Table.Version <= v.table.Version {
		return false
	}
	v.table, v.tableRecord = op.Table, archive.Record{Key: op.Key, Value: op.Value}
	v.tableConfirmed, v.tableConfirmedFrom = false, now+confirmGrace
	return true
}

// isCurrent reports whether the store, as read last, has all changes of the configuration that were confirmed before.
func (v *View) isCurrent() bool { return v.tableConfirmed && !v.doubted }

// NextExpiry returns the time of the next change by Expire, and false if there is none.
func (v *View) NextExpiry() (clock.Millis, bool) {
	var next clock.Millis
	found := false
	for _, l := range v.doubtfulListings {
		if !found || l.from < next {
			next, found = l.from, true
		}
	}
	for _, e := range []struct {
		due bool
		at  clock.Millis
	}{
		{v.hasUnconfirmed(), v.unconfirmed.until},
		{v.table != nil && !v.tableConfirmed, v.tableConfirmedFrom},
		{v.doubted, v.doubtedUntil},
		{len(v.missingUpstreams) > 0, v.missingUntil},
		{len(v.missingMembers) > 0, v.missingMembersUntil},
	} {
		if e.due && (!found || e.at < next) {
			next, found = e.at, true
		}
	}
	return next, found
}

// Expire ends what holds from an earlier era of the store and was not written again in time. It returns the names of the upstreams that
// were removed by that, and whether members were.
func (v *View) Expire(now clock.Millis) (removed []string, membersChanged bool) {
	if v.hasUnconfirmed() && now >= v.unconfirmed.until {
		v.dropUnconfirmed(now)
	}
	if v.table != nil && now >= v.tableConfirmedFrom {
		v.tableConfirmed = true
	}
	v.doubted = v.doubted && now < v.doubtedUntil
	return v.expireListings(now), v.expireMembers(now)
}
