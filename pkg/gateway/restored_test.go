package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

func ofEra[T any](era int64, b archive.Batch[T]) archive.Batch[T] {
	b.Era = era
	return b
}

func zoneOut(zone string, removed bool) catalogue.Operation {
	return catalogue.Operation{Kind: catalogue.OperationZoneOut, Zone: zone, Removed: removed}
}

// Guards against orders and zones out that end for good because the store came back from a copy without them.
func TestViewKeepsOperationsOfAnEarlierEra(t *testing.T) {
	type state struct {
		Rollout   catalogue.ReleaseState
		Target    string
		StartedAt clock.Millis
		ZoneOut   bool
	}
	running := state{Rollout: catalogue.ReleaseRunning, Target: "v2", StartedAt: 10, ZoneOut: true}
	for _, c := range []struct {
		name string
		// do follows the whole read of another era at time 100 that lacks the order and the zone.
		do   func(v *View)
		at   clock.Millis
		want state
	}{
		{"kept for a while", func(*View) {}, 100 + confirmGrace - 1, running},
		{"not written again", func(*View) {}, 100 + confirmGrace, state{Rollout: catalogue.ReleaseReverted, Target: "v2", StartedAt: 10}},
		{"written again in time", func(v *View) {
			v.ApplyOperations(operations(false, order("v2", false), zoneOut("z", false)), 200)
		}, 100 + confirmGrace, running},
		{"removed", func(v *View) {
			v.ApplyOperations(operations(false, order("v2", true), zoneOut("z", true)), 200)
		}, 300, state{Rollout: catalogue.ReleaseReverted, Target: "v2", StartedAt: 10}},
		{"written again too late", func(v *View) {
			v.Expire(100 + confirmGrace)
			v.ApplyOperations(operations(false, order("v2", false)), 19000)
		}, 19000, state{Rollout: catalogue.ReleaseRunning, Target: "v2", StartedAt: 10}},
		{"another order too late", func(v *View) {
			v.Expire(100 + confirmGrace)
			v.ApplyOperations(operations(false, order("v3", false)), 19000)
		}, 19000, state{Rollout: catalogue.ReleaseRunning, Target: "v3", StartedAt: 19000}},
		{"found by another whole read", func(v *View) {
			v.ApplyOperations(ofEra(2, operations(true, table(1), order("v2", false), zoneOut("z", false))), 200)
		}, 100 + confirmGrace, running},
		{"not found by another whole read", func(v *View) {
			v.ApplyOperations(ofEra(2, operations(true, table(1))), 200)
		}, 300, running},
		{"the store goes back once more", func(v *View) {
			v.ApplyOperations(ofEra(3, operations(true, table(1))), 1100)
		}, 100 + confirmGrace, running},
		{"the store goes back to an earlier order", func(v *View) {
			v.ApplyOperations(ofEra(3, operations(true, table(1), order("v1", false))), 1100)
		}, 1100 + confirmGrace - 1, running},
		{"the earlier order is not replaced again", func(v *View) {
			v.ApplyOperations(ofEra(3, operations(true, table(1), order("v1", false))), 1100)
		}, 1100 + confirmGrace, state{Rollout: catalogue.ReleaseRunning, Target: "v1", StartedAt: 1100 + confirmGrace}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &View{}
			v.ApplyOperations(ofEra(1, operations(true, table(1), order("v2", false), zoneOut("z", false))), 10)
			v.ApplyOperations(ofEra(2, operations(true, table(1))), 100)
			c.do(v)
			v.Expire(c.at)
			r := v.Snapshot(false).Moves["lm"]
			got := state{Rollout: r.State, Target: r.Target, StartedAt: r.StartedAt, ZoneOut: v.zonesOut["z"]}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a bad release that begins anew because its order was lost and written again.
func TestViewKeepsRevertedRolloutWhenItsOrderIsWrittenAgain(t *testing.T) {
	for _, after := range []clock.Millis{1000, confirmGrace + 1000} {
		v := &View{}
		v.ApplyOperations(ofEra(1, operations(true, table(1), order("v2", false))), 10)
		v.SetRolloutState("lm", "v2", catalogue.ReleaseReverted)
		v.ApplyOperations(ofEra(2, operations(true, table(1))), 100)
		v.Expire(100 + after)
		v.ApplyOperations(ofEra(2, operations(false, order("v2", false))), 100+after)
		if got := v.Snapshot(false).Moves["lm"].State; got != catalogue.ReleaseReverted {
			t.Errorf("%d ms after the store came back the rollout is %s, want Reverted", after, got)
		}
	}
}

// Guards against a rollout that ends because a store without eras came back from a copy without its order.
func TestViewKeepsOperationsWhenTheTopicEndsBeforeThePosition(t *testing.T) {
	for _, c := range []struct {
		next int64
		want catalogue.ReleaseState
	}{{6, catalogue.ReleaseRunning}, {7, catalogue.ReleaseReverted}, {8, catalogue.ReleaseReverted}} {
		v := &View{}
		b := operations(true, table(1), order("v2", false))
		b.Next = 6
		v.ApplyOperations(b, 10)
		v.ApplyOperations(archive.Batch[catalogue.Operation]{Next: 7}, 20)
		b = operations(true, table(1))
		b.Next = c.next
		v.ApplyOperations(b, 30)
		if got := v.Snapshot(false).Moves["lm"].State; got != c.want {
			t.Errorf("the topic ends at %d after a position of 7: the rollout is %s, want %s", c.next, got, c.want)
		}
	}
}

// Guards against operations that are kept although the store did not go back.
func TestViewDropsOperationsThatAWholeReadOfTheSameEraLacks(t *testing.T) {
	v := &View{}
	v.ApplyOperations(ofEra(1, operations(true, table(1), zoneOut("z", false))), 10)
	v.ApplyOperations(ofEra(1, operations(true, table(1))), 20)
	v.ApplyOperations(operations(true, table(1)), 20)
	if _, due := v.NextExpiry(); due || v.zonesOut["z"] {
		t.Errorf("the zone is out %t, an expiry is due %t, want neither", v.zonesOut["z"], due)
	}
}

// Guards against revoked keys that are trusted because a store that came back without the revocation answers.
func TestViewIsConfirmedByItsConfigurationOnly(t *testing.T) {
	v := &View{}
	for i, c := range []struct {
		name string
		b    archive.Batch[catalogue.Operation]
		want bool
	}{
		{"the first read", ofEra(1, operations(true, table(4))), true},
		{"nothing new", ofEra(1, operations(false)), true},
		{"back from a copy with an earlier configuration", ofEra(2, operations(true, table(3))), false},
		{"nothing new after that", ofEra(2, operations(false)), false},
		{"a configuration between the two", ofEra(2, operations(false, table(3))), false},
		{"the same configuration", ofEra(2, operations(false, table(4))), true},
		{"back from a copy without any configuration", ofEra(3, operations(true)), false},
		{"a later configuration", ofEra(3, operations(false, table(7))), true},
		{"back from a copy with the same configuration", ofEra(4, operations(true, table(7))), true},
		{"an earlier configuration in an unknown era", operations(true, table(4)), false},
		{"the same configuration in an unknown era", operations(true, table(7)), true},
	} {
		v.ApplyOperations(c.b, clock.Millis(i))
		if v.tableConfirmed != c.want {
			t.Errorf("%s: confirmed is %t, want %t", c.name, v.tableConfirmed, c.want)
		}
	}
}

// Guards against instances that take too large a share of what all share because the store lost the registrations of the others.
func TestViewKeepsMembersOfAnEarlierEra(t *testing.T) {
	member := func(name string, incarnation int64) MemberRecord {
		return MemberRecord{Member: catalogue.Member{Name: name, Incarnation: incarnation}}
	}
	for _, c := range []struct {
		name string
		// later follows the whole read of another era at time 100 that has only a, with its earlier start.
		later []MemberRecord
		at    clock.Millis
		want  map[string]int64
	}{
		{"kept for a while", nil, 100 + restoreGrace - 1, map[string]int64{"a": 2, "b": 1}},
		{"not registered again", nil, 100 + restoreGrace, map[string]int64{"a": 2}},
		{"registered again", []MemberRecord{member("b", 1)}, 100 + restoreGrace, map[string]int64{"a": 2, "b": 1}},
		{"removed", []MemberRecord{{Member: catalogue.Member{Name: "b"}, Removed: true}}, 200, map[string]int64{"a": 2}},
		{"another one", []MemberRecord{member("c", 7)}, 200, map[string]int64{"a": 2, "b": 1, "c": 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &View{}
			v.ApplyMembers(archive.Batch[MemberRecord]{Whole: true, Era: 1, Items: []MemberRecord{member("a", 2), member("b", 1)}}, 0)
			v.ApplyMembers(archive.Batch[MemberRecord]{Whole: true, Era: 2, Items: []MemberRecord{member("a", 1)}}, 100)
			v.ApplyMembers(archive.Batch[MemberRecord]{Era: 2, Items: c.later}, 150)
			v.Expire(c.at)
			got := map[string]int64{}
			for _, m := range v.Snapshot(false).Members {
				got[m.Name] = m.Incarnation
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("members and their starts (-want +got):\n%s", diff)
			}
		})
	}
}
