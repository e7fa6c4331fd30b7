package detour

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

func newDetours(m *clock.Manual, listed []*catalogue.Upstream) *Detours {
	return &Detours{
		Clock: m, Log: logr.Discard(), Self: "edge-1",
		Upstreams: func(string) []*catalogue.Upstream { return listed },
		Members: func() []catalogue.Member {
			return []catalogue.Member{
				{Name: "edge-1", CallerAddress: "a:1"}, {Name: "edge-2", CallerAddress: "b:1"}, {Name: "edge-3", CallerAddress: "c:1"},
				{Name: "leaving", CallerAddress: "d:1", Leaving: true}, {Name: "older version"},
			}
		},
	}
}

func upstreams(names ...string) []*catalogue.Upstream {
	var out []*catalogue.Upstream
	for _, name := range names {
		out = append(out, &catalogue.Upstream{Name: name, Service: "lm"})
	}
	return out
}

// Guards against a few lost upstreams being taken for a cut, and a cut for a few lost upstreams.
func TestCut(t *testing.T) {
	u := upstreams("u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8", "u9")
	type attempt struct {
		upstream  int
		reached   bool
		startedAt clock.Millis
	}
	for _, c := range []struct {
		name     string
		listed   int
		attempts []attempt
		want     bool
	}{
		{"nothing was tried", 4, nil, false},
		{"one of four is not reached", 4, []attempt{{0, false, 1}, {0, false, 2}, {0, false, 3}}, false},
		{"two of four one after the other", 4, []attempt{{0, false, 1}, {1, false, 2}}, true},
		{"another one is reached meanwhile", 4, []attempt{{0, false, 1}, {2, true, 2}, {1, false, 3}}, false},
		{"an older connection ends meanwhile", 4, []attempt{{0, false, 5}, {2, true, 2}, {1, false, 6}}, true},
		{"two of nine", 9, []attempt{{0, false, 1}, {1, false, 2}}, false},
		{"three of nine", 9, []attempt{{0, false, 1}, {1, false, 2}, {2, false, 3}}, true},
		{"the only one", 1, []attempt{{0, false, 1}}, true},
		{"upstreams that are no longer listed", 2, []attempt{{5, false, 1}, {6, false, 2}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDetours(clock.NewManual(0), u[:c.listed])
			for _, a := range c.attempts {
				d.Observe(u[a.upstream], a.reached, a.startedAt)
			}
			if got := d.Cut("lm"); got != c.want {
				t.Errorf("Cut() = %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against an instance that can't help being asked again for each call, and against asking oneself or one that leaves.
func TestNextSpreadsAndAvoids(t *testing.T) {
	m := clock.NewManual(1000)
	d := newDetours(m, upstreams("u1"))
	count := map[string]int{}
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "r10"} {
		count[d.Next("lm", id, nil).Name]++
	}
	if count["edge-2"] == 0 || count["edge-3"] == 0 || len(count) != 2 {
		t.Errorf("calls by instance: %v, want some at edge-2 and edge-3 alone", count)
	}
	d.Avoid("lm", "edge-2")
	if got := d.Next("lm", "r1", []string{"edge-3"}); got != nil {
		t.Errorf("Next() = %v while one instance is avoided and the other was tried, want none", got)
	}
	if got := d.Next("desk", "r1", []string{"edge-3"}); got == nil || got.Name != "edge-2" {
		t.Errorf("Next() for another service = %v, want edge-2", got)
	}
	m.Advance(avoidInstance)
	if got := d.Next("lm", "r1", []string{"edge-3"}); got == nil || got.Name != "edge-2" || got.Address != "b:1" {
		t.Errorf("Next() after the time to avoid = %v, want edge-2", got)
	}
}

// Guards against one lucky attempt to connect sending all calls back to links that still fail.
func TestWayBackTakesProbesInARow(t *testing.T) {
	u := upstreams("u1", "u2")
	d := newDetours(clock.NewManual(0), u)
	d.Observe(u[0], false, 1)
	d.Observe(u[1], false, 2)
	for _, connected := range []bool{true, false, true} {
		d.recordProbe("lm", connected)
	}
	if diff := cmp.Diff([]string{"lm"}, d.Services()); diff != "" {
		t.Errorf("services that are cut off (-want +got):\n%s", diff)
	}
	d.recordProbe("lm", true)
	if got := d.Services(); len(got) != 0 {
		t.Errorf("Services() = %v after two successful attempts in a row, want none", got)
	}
}
