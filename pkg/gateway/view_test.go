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

func TestViewNeverGoesBack(t *testing.T) {
	v := &View{}
	v.TakeOperations(operations(true, table(4)), 0)
	v.TakeOperations(operations(false, table(3)), 10)
	v.TakeOperations(operations(true, table(2)), 20)
	if v.table.Version != 4 {
		t.Errorf("version %d is in force after version 4", v.table.Version)
	}
}

func TestViewMoves(t *testing.T) {
	status := func(target string, state catalogue.ReleaseState) archive.Batch[catalogue.ReleaseStatus] {
		return archive.Batch[catalogue.ReleaseStatus]{Items: []catalogue.ReleaseStatus{{Service: "lm", Target: target, State: state}}}
	}
	for _, c := range []struct {
		name string
		do   func(v *View)
		want catalogue.ReleaseState
	}{
		{"ordered", func(*View) {}, catalogue.ReleaseRunning},
		{"another instance reverted it", func(v *View) { v.TakeStatuses(status("v2", catalogue.ReleaseReverted), 20) }, catalogue.ReleaseReverted},
		{"the status of another target says nothing", func(v *View) { v.TakeStatuses(status("v1", catalogue.ReleaseCompleted), 20) }, catalogue.ReleaseRunning},
		{"found here", func(v *View) { v.SetMove("lm", "v2", catalogue.ReleaseReverted) }, catalogue.ReleaseReverted},
		{"a late status doesn't undo it", func(v *View) {
			v.SetMove("lm", "v2", catalogue.ReleaseReverted)
			v.TakeStatuses(status("v2", catalogue.ReleaseRunning), 20)
		}, catalogue.ReleaseReverted},
		{"the order is taken away", func(v *View) { v.TakeOperations(operations(false, order("v2", true)), 20) }, catalogue.ReleaseReverted},
		{"a new order begins anew", func(v *View) {
			v.SetMove("lm", "v2", catalogue.ReleaseReverted)
			v.TakeOperations(operations(false, order("v3", false)), 20)
		}, catalogue.ReleaseRunning},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &View{}
			v.TakeOperations(operations(true, table(1), order("v2", false)), 10)
			c.do(v)
			if got := v.Snapshot(false).Moves["lm"].State; got != c.want {
				t.Errorf("the move is %s, want %s", got, c.want)
			}
		})
	}
}

func TestViewStartOfAMoveComesFromTheStatus(t *testing.T) {
	// An instance that started after the order has its own clock's zero after it.
	for _, began := range []clock.Millis{120, -9000} {
		v := &View{}
		v.TakeOperations(operations(true, table(1), order("v2", false)), 500)
		v.TakeStatuses(archive.Batch[catalogue.ReleaseStatus]{Items: []catalogue.ReleaseStatus{
			{Service: "lm", Target: "v2", State: catalogue.ReleaseRunning, Started: true, StartedAt: began},
		}}, 510)
		if got := v.Snapshot(false).Moves["lm"].StartedAt; got != began {
			t.Errorf("the move began at %d, want %d", got, began)
		}
	}
}

func TestViewListings(t *testing.T) {
	listing := func(name string, leaving bool) catalogue.Listing {
		return catalogue.Listing{Name: name, Upstream: &catalogue.Upstream{Name: name, Service: "lm", Zone: "zone-" + name, Leaving: leaving}}
	}
	v := &View{}
	v.TakeListings(archive.Batch[catalogue.Listing]{Whole: true, Items: []catalogue.Listing{listing("b", false), listing("a", false), listing("c", false)}}, 0)
	v.TakeListings(archive.Batch[catalogue.Listing]{Items: []catalogue.Listing{listing("b", true)}}, 0)
	v.TakeOperations(operations(true, table(1), catalogue.Operation{Kind: catalogue.OperationZoneOut, Zone: "zone-c"}), 0)
	var names []string
	for _, u := range v.Snapshot(false).Pools["lm"] {
		names = append(names, u.Name)
	}
	if diff := cmp.Diff([]string{"a"}, names); diff != "" {
		t.Errorf("upstreams for new work (-want +got):\n%s", diff)
	}
	gone := v.TakeListings(archive.Batch[catalogue.Listing]{Whole: true, Items: []catalogue.Listing{listing("a", false), listing("c", false)}}, 0)
	if diff := cmp.Diff([]string{"b"}, gone); diff != "" {
		t.Errorf("gone (-want +got):\n%s", diff)
	}
}
