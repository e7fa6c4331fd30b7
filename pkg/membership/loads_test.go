package membership

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
)

func TestLoadsSum(t *testing.T) {
	m := clock.NewManual(1000)
	own := map[string]float32{"u": 1}
	l := &Loads{Clock: m, Self: "head", Zone: "a", OwnLoad: func() (work, seen map[string]float32) { return own, nil }}
	report := func(from, zone string, work float32) float32 {
		var reply LoadReply
		if err := l.Tell(LoadArgs{From: from, Zone: zone, Work: map[string]float32{"u": work}}, &reply); err != nil {
			t.Fatal(err)
		}
		return reply.Work["u"]
	}
	for _, c := range []struct {
		name, from, zone string
		work, want       float32
	}{
		{"first instance of the zone gets the leader's work", "a1", "a", 10, 1},
		{"second instance also gets the first one's", "a2", "a", 20, 11},
		{"other zone gets the sum of this zone alone", "b1", "b", 300, 31},
		{"instance of this zone gets the other zone's sum", "a1", "a", 10, 321},
	} {
		if got := report(c.from, c.zone, c.work); got != c.want {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
	m.Advance(loadReportTTL + 1)
	if got := report("a1", "a", 10); got != 1 {
		t.Errorf("work after the reports expired: %g, want 1", got)
	}
}

func TestLoadsSumFigures(t *testing.T) {
	own := map[uint32][]float32{7: {1, 1}}
	l := &Loads{
		Clock: clock.NewManual(1000), Self: "head", Zone: "a", OwnLoad: func() (work, seen map[string]float32) { return nil, nil },
		OwnFigures: func() map[uint32][]float32 { return own },
	}
	var reply LoadReply
	for _, args := range []LoadArgs{
		{From: "a1", Zone: "a", Figures: map[uint32][]float32{7: {10, 20}, 8: {5}}},
		{From: "b1", Zone: "b", Figures: map[uint32][]float32{7: {100, 200}}},
		{From: "old", Zone: "a"},
		{From: "a2", Zone: "a"},
	} {
		reply = LoadReply{}
		if err := l.Tell(args, &reply); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(map[uint32][]float32{7: {111, 221}, 8: {5}}, reply.Figures); diff != "" {
		t.Errorf("figures of all others (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[uint32][]float32{7: {1, 1}}, own); diff != "" {
		t.Errorf("own figures after the exchange (-want +got):\n%s", diff)
	}
}
