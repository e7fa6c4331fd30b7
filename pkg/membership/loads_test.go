package membership

import (
	"context"
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

// TestPlacementsSpreadBetweenReports has long prompts of many instances arrive before the next load report: each gets an upstream
// of its own, then those with the least work.
func TestPlacementsSpreadBetweenReports(t *testing.T) {
	m := clock.NewManual(1000)
	l := &Loads{
		Clock: m, Self: "leader", Zone: "a", Leader: func() string { return "leader" }, ZoneLeaders: func() map[string]string { return nil },
		OwnLoad:      func() (work, seen map[string]float32) { return map[string]float32{"u2": 10}, nil },
		SetPeerLoads: func(_, _ map[string]float32) {},
	}
	l.exchangeOnce(context.Background())
	ask := func(n int) []string {
		var got []string
		for range n {
			got = append(got, l.PlaceLongPrompt(context.Background(), []string{"u1", "u2", "u3"}, 100))
		}
		return got
	}
	if d := cmp.Diff([]string{"u1", "u3", "u2", "u1"}, ask(4)); d != "" {
		t.Error(d)
	}
	m.Advance(placementTTL)
	if d := cmp.Diff([]string{"u1", "u3", "u2"}, ask(3)); d != "" {
		t.Errorf("after the placements expired (-want +got): %s", d)
	}
	if got := l.PlaceLongPrompt(context.Background(), nil, 100); got != "" {
		t.Errorf("upstream chosen among none: %q, want none", got)
	}
}

// TestPlaceLongPromptOfUnreachableInstance checks that no upstream is returned and that the unreachable instance is not called again
// at once.
func TestPlaceLongPromptOfUnreachableInstance(t *testing.T) {
	p := newPeerPair(t)
	p.source.Network.SetMembers(nil)
	l := &Loads{Clock: p.clock, Self: "young", Network: p.source.Network, Leader: func() string { return "old" }}
	for range 2 {
		if got := l.PlaceLongPrompt(context.Background(), []string{"u1"}, 100); got != "" {
			t.Errorf("upstream %q of an unreachable instance, want none", got)
		}
	}
	if !l.cooldowns.active("old", p.clock.Now()) {
		t.Error("the unreachable instance is not in a cooldown")
	}
}
