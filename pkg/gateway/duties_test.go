package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/usage"
)

// candidates returns, in the order of the candidates, whether each of five members watches the lease some time after its start.
func candidates(t *testing.T, service *usage.Service, age clock.Millis) []bool {
	t.Helper()
	s := &catalogue.Snapshot{}
	for _, m := range []struct{ name, zone string }{{"e1", "a"}, {"e2", "a"}, {"e3", "b"}, {"e4", "b"}, {"e5", "c"}} {
		s.Members = append(s.Members, catalogue.Member{Name: m.name, Zone: m.zone})
	}
	var got []bool
	for _, m := range leaseOrder(s.Members) {
		in := &Instance{self: m, startedAt: 1000, duties: &duties{service: service}, control: &Control{}}
		in.control.snapshot.Store(s)
		got = append(got, in.isLeaseCandidate(1000+age))
	}
	return got
}

// Guards against a lease that nobody takes because the first members by rank are gone for good.
func TestLeaseCandidates(t *testing.T) {
	tests := []struct {
		name    string
		service *usage.Service
		age     clock.Millis
		want    []bool
	}{
		{"just started", &usage.Service{}, 0, []bool{true, true, true, false, false}},
		{"no holder has asked for long", &usage.Service{}, unaskedTimeout + 3*unaskedStep, []bool{true, true, true, true, false}},
		{"for longer", &usage.Service{}, unaskedTimeout + 4*unaskedStep, []bool{true, true, true, true, true}},
		{"nobody asks for counts", nil, unaskedTimeout, []bool{true, true, true, false, false}},
		{"nobody asks for counts for long", nil, unaskedTimeout + 3*unheardStep, []bool{true, true, true, true, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, candidates(t, test.service, test.age)); diff != "" {
				t.Errorf("candidates differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFirstCandidatesAreOfDifferentZones(t *testing.T) {
	zones := map[string]bool{}
	for _, m := range leaseOrder([]catalogue.Member{
		{Name: "e1", Zone: "a"}, {Name: "e2", Zone: "a"}, {Name: "e3", Zone: "a"}, {Name: "e4", Zone: "b"}, {Name: "e5", Zone: "c"},
	})[:3] {
		zones[m.Zone] = true
	}
	if len(zones) != 3 {
		t.Errorf("the first three candidates are of the zones %v, want three", zones)
	}
}
