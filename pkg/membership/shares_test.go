package membership

import (
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

func TestP05PartsAddUp(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 9, 60} {
		members := namedMembers(n)
		for _, limit := range []int{0, 1, 2, 5, 9, 10, 64, 200} {
			cold, warm := 0, 0
			for _, m := range members {
				rank, _ := RankOf("u", m.Name, members)
				cold += partForRank(rank, limit, n)
				s := Subset{Self: m.Name}
				s.SetMembers(members)
				warm += s.Part("u", limit)
			}
			if cold != limit {
				t.Errorf("cold parts of %d members add up to %d, want %d", n, cold, limit)
			}
			if warm != limit {
				t.Errorf("warm parts of %d members add up to %d, want %d", n, warm, limit)
			}
		}
	}
}

func TestP05ShareWaits(t *testing.T) {
	members := namedMembers(4)
	s := &ColdShares{Self: "entry-000", MaxListLag: 2000, Lease: 5000, ShareTTL: 3000, Hold: 5000}
	share := func(now clock.Millis) int { return s.Share("u", 8, now) }
	at := clock.Millis(1000)
	observe := func(m []catalogue.Member, span clock.Millis) {
		for end := at + span; at < end; at += 1000 {
			s.ObserveList(m, at)
		}
	}
	observe(members, 26_000)
	if got := share(at - 1000); got != 0 {
		t.Errorf("share %d before the window has passed, want 0", got)
	}
	observe(members, 5000)
	if got := share(at); got != 2 {
		t.Errorf("share %d of 8 among 4, want 2", got)
	}
	if got := share(at + 5000); got != 0 {
		t.Errorf("share %d by a list that is too old, want 0", got)
	}
	observe(namedMembers(8), 1000)
	if got := share(at); got != 1 {
		t.Errorf("share %d right after members joined, want 1", got)
	}
	observe(members, 20_000)
	if got := share(at); got != 1 {
		t.Errorf("share %d soon after members left, want 1", got)
	}
	observe(members, 20_000)
	if got := share(at); got != 2 {
		t.Errorf("share %d long after members left, want 2", got)
	}
}
