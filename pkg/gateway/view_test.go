package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

func operations(whole bool, items ...catalogue.Operation) archive.Batch[catalogue.Operation] {
	return archive.Batch[catalogue.Operation]{Items: items, Whole: whole}
}

func table(version int64) catalogue.Operation {
	return catalogue.Operation{Kind: catalogue.OperationTable, Table: &catalogue.RouteTable{Version: version}}
}

func order(target string, removed bool) catalogue.Operation {
	return catalogue.Operation{Kind: catalogue.OperationRelease, Removed: removed, Order: &catalogue.ReleaseOrder{Service: "lm", Target: target, Span: 1000}}
}

func TestViewIgnoresOlderConfiguration(t *testing.T) {
	v := &View{}
	v.ApplyOperations(operations(true, table(4)), 0)
	v.ApplyOperations(operations(false, table(3)), 10)
	v.ApplyOperations(operations(true, table(2)), 20)
	if v.table.Version != 4 {
		t.Errorf("active version is %d, want 4", v.table.Version)
	}
}

func TestViewRolloutState(t *testing.T) {
	status := func(target string, state catalogue.ReleaseState) archive.Batch[catalogue.ReleaseStatus] {
		return archive.Batch[catalogue.ReleaseStatus]{Items: []catalogue.ReleaseStatus{{Service: "lm", Target: target, State: state}}}
	}
	for _, c := range []struct {
		name string
		do   func(v *View)
		want catalogue.ReleaseState
	}{
		{"ordered", func(*View) {}, catalogue.ReleaseRunning},
		{"another instance reverted it", func(v *View) { v.ApplyStatuses(status("v2", catalogue.ReleaseReverted), 20) }, catalogue.ReleaseReverted},
		{"the status of another target is ignored", func(v *View) { v.ApplyStatuses(status("v1", catalogue.ReleaseCompleted), 20) }, catalogue.ReleaseRunning},
		{"this instance reverted it", func(v *View) { v.SetRolloutState("lm", "v2", catalogue.ReleaseReverted) }, catalogue.ReleaseReverted},
		{"another instance completed it before this one reverted it", func(v *View) {
			v.SetRolloutState("lm", "v2", catalogue.ReleaseReverted)
			v.ApplyStatuses(status("v2", catalogue.ReleaseCompleted), 20)
		}, catalogue.ReleaseCompleted},
		{"a revert after the completion is ignored", func(v *View) {
			v.ApplyStatuses(status("v2", catalogue.ReleaseCompleted), 20)
			v.ApplyStatuses(status("v2", catalogue.ReleaseReverted), 30)
		}, catalogue.ReleaseCompleted},
		{"a completion after the confirmed revert is ignored", func(v *View) {
			v.SetRolloutState("lm", "v2", catalogue.ReleaseReverted)
			v.ApplyStatuses(status("v2", catalogue.ReleaseReverted), 20)
			v.ApplyStatuses(status("v2", catalogue.ReleaseCompleted), 30)
		}, catalogue.ReleaseReverted},
		{"a late status does not undo a revert", func(v *View) {
			v.SetRolloutState("lm", "v2", catalogue.ReleaseReverted)
			v.ApplyStatuses(status("v2", catalogue.ReleaseRunning), 20)
		}, catalogue.ReleaseReverted},
		{"the order is removed", func(v *View) { v.ApplyOperations(operations(false, order("v2", true)), 20) }, catalogue.ReleaseReverted},
		{"a new order starts a new rollout", func(v *View) {
			v.SetRolloutState("lm", "v2", catalogue.ReleaseReverted)
			v.ApplyOperations(operations(false, order("v3", false)), 20)
		}, catalogue.ReleaseRunning},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &View{}
			v.ApplyOperations(operations(true, table(1), order("v2", false)), 10)
			c.do(v)
			if got := v.Snapshot(false).Moves["lm"].State; got != c.want {
				t.Errorf("rollout state is %s, want %s", got, c.want)
			}
		})
	}
}

func TestViewTakesRolloutStartFromStatus(t *testing.T) {
	// The clock of an instance starts at 0, so that a rollout that began before the instance did has a negative start.
	for _, start := range []clock.Millis{120, -9000} {
		v := &View{}
		v.ApplyOperations(operations(true, table(1), order("v2", false)), 500)
		v.ApplyStatuses(archive.Batch[catalogue.ReleaseStatus]{Items: []catalogue.ReleaseStatus{
			{Service: "lm", Target: "v2", State: catalogue.ReleaseRunning, Started: true, StartedAt: start},
		}}, 510)
		if got := v.Snapshot(false).Moves["lm"].StartedAt; got != start {
			t.Errorf("rollout started at %d, want %d", got, start)
		}
	}
}

func TestViewListings(t *testing.T) {
	listing := func(name string, leaving bool) catalogue.Listing {
		return catalogue.Listing{Name: name, Upstream: &catalogue.Upstream{Name: name, Service: "lm", Zone: "zone-" + name, Leaving: leaving}}
	}
	v := &View{}
	v.ApplyListings(archive.Batch[catalogue.Listing]{Whole: true, Items: []catalogue.Listing{listing("b", false), listing("a", false), listing("c", false)}}, 0)
	v.ApplyListings(archive.Batch[catalogue.Listing]{Items: []catalogue.Listing{listing("b", true)}}, 0)
	v.ApplyOperations(operations(true, table(1), catalogue.Operation{Kind: catalogue.OperationZoneOut, Zone: "zone-c"}), 0)
	var names []string
	for _, u := range v.Snapshot(false).Pools["lm"] {
		names = append(names, u.Name)
	}
	if diff := cmp.Diff([]string{"a"}, names); diff != "" {
		t.Errorf("upstreams for new work (-want +got):\n%s", diff)
	}
	removed := v.ApplyListings(archive.Batch[catalogue.Listing]{Whole: true, Items: []catalogue.Listing{listing("a", false), listing("c", false)}}, 0)
	if diff := cmp.Diff([]string{"b"}, removed); diff != "" {
		t.Errorf("removed upstreams (-want +got):\n%s", diff)
	}
}
