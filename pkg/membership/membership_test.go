package membership

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

func listing(asOf clock.Millis, members []catalogue.Member) backoffice.Listing {
	l := backoffice.Listing{AsOf: asOf}
	for _, m := range members {
		l.Instances = append(l.Instances, backoffice.Instance{Name: m.Name, Role: catalogue.RoleEntry, Zone: m.Zone, Incarnation: m.Incarnation, Leaving: m.Leaving})
	}
	l.Instances = append(l.Instances, backoffice.Instance{Name: "engine", Role: catalogue.RoleEngine})
	return l
}

func TestMembershipShrinkingList(t *testing.T) {
	all := namedMembers(9)
	tests := []struct {
		name string
		// listed is what the list shows from the fault on, heard has the members that still send messages.
		listed, heard []catalogue.Member
		after         clock.Millis
		want          int
	}{
		{name: "one is gone", listed: all[:8], after: 20 * clock.Second, want: 8},
		{name: "one is gone for a moment", listed: all[:8], after: 10 * clock.Second, want: 9},
		{name: "one is not listed and sends messages", listed: all[:8], heard: all[8:], after: 600 * clock.Second, want: 9},
		{name: "a zone is gone at once", listed: all[:6], after: 20 * clock.Second, want: 7},
		{name: "a zone is gone for two minutes", listed: all[:6], after: 120 * clock.Second, want: 6},
		{name: "the list shows only this instance", listed: all[:1], after: 30 * clock.Second, want: 7},
		{name: "the list is empty", after: 30 * clock.Second, want: 7},
		{name: "the list is empty and all send messages", heard: all, after: 3600 * clock.Second, want: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &Membership{Self: all[0]}
			m.ApplyList(listing(1_000, all), 1_000)
			for at := clock.Millis(2_000); at <= 1_000+tt.after; at += 1_000 {
				m.ApplyList(listing(at, tt.listed), at)
				for _, h := range tt.heard {
					m.ObserveMember(h.Name, h.Incarnation, at)
				}
				m.DropAbsent(at)
			}
			if got := len(m.Members()); got != tt.want {
				t.Errorf("%d members, want %d", got, tt.want)
			}
		})
	}
}

func TestMembershipIncarnations(t *testing.T) {
	all := namedMembers(3)
	m := &Membership{Self: all[0]}
	m.ApplyList(listing(1_000, all), 1_000)
	if !m.ObserveMember(all[1].Name, 2, 1_500) {
		t.Error("message of a restarted member was ignored")
	}
	if m.ObserveMember(all[1].Name, 1, 1_600) {
		t.Error("message of an old incarnation was accepted after one of the new")
	}
	if m.ObserveMember("stranger", 1, 1_600) {
		t.Error("message of a non-member was accepted")
	}
	// The list lags: it still shows the old incarnation as leaving.
	lagging := append([]catalogue.Member(nil), all...)
	lagging[1].Leaving = true
	m.ApplyList(listing(2_000, lagging), 2_000)
	want := catalogue.Member{Name: all[1].Name, Zone: all[1].Zone, Incarnation: 2}
	if diff := cmp.Diff(want, m.Members()[1]); diff != "" {
		t.Errorf("restarted member (-want +got):\n%s", diff)
	}
}

func TestMembershipListAge(t *testing.T) {
	all := namedMembers(3)
	tests := []struct {
		name string
		// asOf has the AsOf of the lists that are read at 10 s, 11 s and so on; want is the age of the list at the last read, in
		// milliseconds.
		asOf []clock.Millis
		want clock.Millis
	}{
		{name: "moves on", asOf: []clock.Millis{5000, 6000, 7000}},
		{name: "stands still", asOf: []clock.Millis{5000, 5000, 5000}, want: 2000},
		{name: "goes back", asOf: []clock.Millis{5000, 6000, 4000}, want: 1000},
		{name: "lags more than before", asOf: []clock.Millis{5000, 6000, 6500}, want: 500},
		{name: "its clock jumps forward", asOf: []clock.Millis{5000, 900_000, 901_000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &Membership{Self: all[0]}
			at := 10 * clock.Second
			for _, asOf := range tt.asOf {
				m.ApplyList(listing(asOf, all), at)
				at += clock.Second
			}
			if got := at - clock.Second - m.ListAt(); got != tt.want {
				t.Errorf("the list is %d ms old, want %d", got, tt.want)
			}
		})
	}
	m := &Membership{Self: all[0]}
	m.ApplyList(listing(100_000, all), 100_000)
	if !m.ApplyList(listing(50_000, all), 100_000+olderListTimeout) {
		t.Error("list whose clock was set back was ignored after olderListTimeout")
	}
}
