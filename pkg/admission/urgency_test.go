package admission

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// route returns a route to one service.
func route(service string, priority int, target clock.Millis) *catalogue.Route {
	return &catalogue.Route{Priority: priority, Target: target, Split: []catalogue.Split{{Service: service, Weight: 1}}}
}

func TestUrgencyOfCalls(t *testing.T) {
	table := &catalogue.RouteTable{Routes: map[string][]*catalogue.Route{
		"a.example": {route("models", 2, 4000), route("models", 0, 1000), route("desk", 2, 150)},
		"b.example": {route("models", 1, 2000), route("models", 0, 1500)},
	}}
	tests := []struct {
		name     string
		service  string
		priority int
		want     Urgency
	}{
		{"the most urgent", "models", 0, Urgency{Rank: 0, Ranks: 3, Target: 1000}},
		{"less urgent calls hold up those with a shorter target", "models", 1, Urgency{Rank: 1, Ranks: 3, Target: 1000}},
		{"the least urgent", "models", 2, Urgency{Rank: 2, Ranks: 3, Target: 1000}},
		{"a workspace behind all routes", "models", 5, Urgency{Rank: 3, Ranks: 4, Target: 1000}},
		{"a workspace before all routes", "desk", 0, Urgency{Rank: 0, Ranks: 1, Target: 150}},
		{"one priority alone", "desk", 2, Urgency{Rank: 0, Ranks: 1, Target: 150}},
		{"a service without routes", "other", 1, Urgency{Ranks: 1}},
	}
	var u Urgencies
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, u.Of(table, test.service, test.priority)); diff != "" {
				t.Errorf("Of() differs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestUrgencyFollowsTheConfiguration(t *testing.T) {
	var u Urgencies
	before := &catalogue.RouteTable{Routes: map[string][]*catalogue.Route{"a": {route("models", 1, 1000)}}}
	after := &catalogue.RouteTable{Routes: map[string][]*catalogue.Route{"a": {route("models", 1, 1000), route("models", 0, 500)}}}
	u.Of(before, "models", 1)
	if diff := cmp.Diff(Urgency{Rank: 1, Ranks: 2, Target: 500}, u.Of(after, "models", 1)); diff != "" {
		t.Errorf("Of() after a change differs (-want +got):\n%s", diff)
	}
}

// TestRepeatsGiveWayByUrgency has the load of a burst of long prompts of little urgency: the queues of most upstreams grow while some are idle.
func TestRepeatsGiveWayByUrgency(t *testing.T) {
	tests := []struct {
		name    string
		urgency Urgency
		target  clock.Millis
		want    Repeat
	}{
		{"equally urgent calls go by their own target", Urgency{Ranks: 1, Target: 1000}, 4000, Repeat{MaxWait: 2000}},
		{"the most urgent go by the idlest upstream", Urgency{Rank: 0, Ranks: 3, Target: 1000}, 1000, Repeat{MaxWait: 500}},
		{"the next go by busier ones", Urgency{Rank: 1, Ranks: 3, Target: 1000}, 1000, Repeat{Share: 0.4, MaxWait: 166}},
		{"the least urgent go by the targets of those they hold up", Urgency{Rank: 2, Ranks: 3, Target: 1000}, 4000, Repeat{Share: 0.8, MaxWait: 100}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, RepeatOf(test.urgency, test.target)); diff != "" {
				t.Errorf("RepeatOf() differs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWorthOfARepeatFallsWithTheWait(t *testing.T) {
	r := Repeat{MaxWait: 200}
	for wait, want := range map[clock.Millis]float64{0: 1, 50: 0.75, 200: 0, 1000: 0} {
		if got := r.Worth(wait); got != want {
			t.Errorf("Worth(%d) = %v, want %v", wait, got, want)
		}
	}
}
