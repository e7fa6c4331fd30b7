package gateway

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// entry returns the entry number sequence of an upstream that started at incarnation.
func entry(name string, incarnation, sequence int64, leaving bool) catalogue.Listing {
	return catalogue.Listing{Name: name, Sequence: sequence, Upstream: &catalogue.Upstream{Name: name, Service: "lm", Incarnation: incarnation, Leaving: leaving}}
}

func listings(era int64, whole bool, items ...catalogue.Listing) archive.Batch[catalogue.Listing] {
	return archive.Batch[catalogue.Listing]{Items: items, Whole: whole, Era: era}
}

// Guards against work for a leaving upstream, and against the loss of a sound one, after the store came back from an older copy.
func TestViewListingsOfAnEarlierEra(t *testing.T) {
	const incarnation = 1000
	ready := func(sequence int64) catalogue.Listing { return entry("u", incarnation, sequence, false) }
	leaving := func(sequence int64) catalogue.Listing { return entry("u", incarnation, sequence, true) }
	gone := catalogue.Listing{Name: "u", Removed: true}
	for _, c := range []struct {
		name string
		// known has the records of the first era, copied those of the whole read of the second one at time 100, and later the
		// following ones.
		known, copied, later []catalogue.Listing
		at                   clock.Millis
		serves               bool
	}{
		{name: "ready and missing", known: []catalogue.Listing{ready(3)}, at: 100 + listingGrace - 1, serves: true},
		{name: "ready and missing for too long", known: []catalogue.Listing{ready(3)}, at: 100 + listingGrace},
		{name: "registered again", known: []catalogue.Listing{ready(3)}, later: []catalogue.Listing{ready(4)}, at: 100 + listingGrace, serves: true},
		{name: "registered again late", known: []catalogue.Listing{ready(3)}, later: []catalogue.Listing{ready(4)}, at: 9000, serves: true},
		{name: "missing, then removed", known: []catalogue.Listing{ready(3)}, later: []catalogue.Listing{gone}, at: 200},
		{name: "missing, then leaving", known: []catalogue.Listing{ready(3)}, later: []catalogue.Listing{leaving(4)}, at: 200},
		{name: "ready in the copy", known: []catalogue.Listing{ready(3)}, copied: []catalogue.Listing{ready(2)}, at: 9000, serves: true},
		{name: "leaving and ready in the copy", known: []catalogue.Listing{ready(3), leaving(4)}, copied: []catalogue.Listing{ready(3)}, at: 200},
		{name: "leaving and ready in the copy, later", known: []catalogue.Listing{ready(3), leaving(4)}, copied: []catalogue.Listing{ready(3)}, at: 90_000},
		{name: "leaving with the same sequence", known: []catalogue.Listing{ready(3), leaving(3)}, copied: []catalogue.Listing{ready(3)}, at: 9000},
		{name: "leaving, and an earlier entry is written again", known: []catalogue.Listing{leaving(4)}, copied: []catalogue.Listing{ready(3)}, later: []catalogue.Listing{ready(4)}, at: 9000},
		{name: "leaving, and the copy lacks it", known: []catalogue.Listing{leaving(4)}, at: 200},
		{name: "leaving, and ready later on", known: []catalogue.Listing{leaving(4)}, copied: []catalogue.Listing{ready(3)}, later: []catalogue.Listing{ready(5)}, at: 200, serves: true},
		{name: "leaving, and started again", known: []catalogue.Listing{leaving(4)}, copied: []catalogue.Listing{ready(3)},
			later: []catalogue.Listing{entry("u", incarnation+1, 1, false)}, at: 200, serves: true},
		{name: "removed and ready in the copy", known: []catalogue.Listing{ready(3), gone}, copied: []catalogue.Listing{ready(3)}, at: 100 + restoreGrace - 1},
		{name: "removed, in the copy and removed again", known: []catalogue.Listing{ready(3), gone}, copied: []catalogue.Listing{ready(3)}, later: []catalogue.Listing{gone}, at: 9000},
		{name: "removed, and the copy's entry stays", known: []catalogue.Listing{ready(3), gone}, copied: []catalogue.Listing{ready(3)}, at: 100 + restoreGrace, serves: true},
		{name: "removed, and back in the copy", known: []catalogue.Listing{ready(3), gone}, copied: []catalogue.Listing{ready(4)}, at: 200, serves: true},
		{name: "removed, and back after it", known: []catalogue.Listing{ready(3), gone}, later: []catalogue.Listing{ready(3)}, at: 200, serves: true},
		{name: "removed, and the copy has its earlier start", known: []catalogue.Listing{ready(3), gone},
			copied: []catalogue.Listing{entry("u", incarnation-1, 9, false)}, at: 9000},
		{name: "ready, and the copy has its earlier start, leaving", known: []catalogue.Listing{ready(3)},
			copied: []catalogue.Listing{entry("u", incarnation-1, 9, true)}, at: 9000, serves: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &View{}
			v.ApplyListings(listings(1, true), 0)
			for _, l := range c.known {
				v.ApplyListings(listings(1, false, l), 10)
			}
			v.ApplyListings(listings(2, true, c.copied...), 100)
			// A read of the whole list in the same era, after compaction, must change nothing.
			v.ApplyListings(listings(2, true, c.copied...), 110)
			for _, l := range c.later {
				v.ApplyListings(listings(2, false, l), 150)
			}
			v.Expire(c.at)
			serves := slices.ContainsFunc(v.Snapshot(false).Pools["lm"], func(u *catalogue.Upstream) bool { return u.Name == "u" })
			if serves != c.serves {
				t.Errorf("the upstream gets work: %t, want %t", serves, c.serves)
			}
		})
	}
}

// Guards against work for an upstream that leaves, or is gone, after the store has executed one of its heartbeats late.
func TestViewIgnoresHeartbeatsThatComeLate(t *testing.T) {
	const incarnation = 1000
	ready := func(sequence int64) catalogue.Listing { return entry("u", incarnation, sequence, false) }
	leaving := func(sequence int64) catalogue.Listing { return entry("u", incarnation, sequence, true) }
	gone := catalogue.Listing{Name: "u", Removed: true}
	lapsed := 100 + restoreGrace
	for _, c := range []struct {
		name  string
		known []catalogue.Listing
		// late is read at time 100, and whole is true if it is read with the whole list.
		late   catalogue.Listing
		whole  bool
		at     clock.Millis
		serves bool
	}{
		{name: "leaving", known: []catalogue.Listing{ready(3), leaving(7)}, late: ready(4), at: 9000},
		{name: "leaving, in a read of the whole list", known: []catalogue.Listing{ready(3), leaving(7)}, late: ready(4), whole: true, at: 9000},
		{name: "leaving, with the same sequence", known: []catalogue.Listing{leaving(7)}, late: ready(7), at: 9000},
		{name: "leaving, without its start", known: []catalogue.Listing{leaving(7)}, late: entry("u", 0, 4, false), at: 9000},
		{name: "leaving, and an earlier start was ready", known: []catalogue.Listing{leaving(7)}, late: entry("u", incarnation-1, 9, false), at: 9000},
		{name: "leaving was told without its start", known: []catalogue.Listing{ready(3), entry("u", 0, 7, true)}, late: ready(4), at: 9000},
		{name: "ready, and an earlier start was leaving", known: []catalogue.Listing{ready(3)}, late: entry("u", incarnation-1, 9, true), at: 9000, serves: true},
		{name: "ready, and was leaving before", known: []catalogue.Listing{leaving(4), ready(7)}, late: leaving(5), at: 9000, serves: true},
		{name: "gone", known: []catalogue.Listing{ready(7), gone}, late: ready(4), at: lapsed - 1},
		{name: "gone, in a read of the whole list", known: []catalogue.Listing{ready(7), gone}, late: ready(4), whole: true, at: lapsed - 1},
		{name: "gone, and the entry doesn't lapse", known: []catalogue.Listing{ready(7), gone}, late: ready(4), at: lapsed, serves: true},
		{name: "left and gone", known: []catalogue.Listing{leaving(7), gone}, late: ready(7), at: lapsed - 1},
		{name: "gone, and an earlier start was ready", known: []catalogue.Listing{ready(2), gone}, late: entry("u", incarnation-1, 9, false), at: 9000},
		{name: "the entry lapsed and is written again", known: []catalogue.Listing{ready(7), gone}, late: ready(7), at: 100, serves: true},
		{name: "started again", known: []catalogue.Listing{leaving(7)}, late: entry("u", incarnation+1, 1, false), at: 100, serves: true},
		{name: "starts are unknown", known: []catalogue.Listing{entry("u", 0, 7, true)}, late: entry("u", 0, 1, false), at: 100, serves: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &View{}
			v.ApplyListings(listings(1, true), 0)
			for _, l := range c.known {
				v.ApplyListings(listings(1, false, l), 10)
			}
			v.ApplyListings(listings(1, c.whole, c.late), 100)
			v.Expire(c.at)
			serves := slices.ContainsFunc(v.Snapshot(false).Pools["lm"], func(u *catalogue.Upstream) bool { return u.Name == "u" })
			if serves != c.serves {
				t.Errorf("the upstream gets work: %t, want %t", serves, c.serves)
			}
		})
	}
}

func TestViewReportsUpstreamsThatDidNotRegisterAgain(t *testing.T) {
	v := &View{}
	v.ApplyListings(listings(1, true, entry("a", 1, 1, false), entry("b", 1, 1, false)), 0)
	if removed := v.ApplyListings(listings(2, true, entry("a", 1, 1, false)), 100); len(removed) > 0 {
		t.Errorf("%v were removed at once", removed)
	}
	at, due := v.NextExpiry()
	if !due || at != 100+listingGrace {
		t.Errorf("the next expiry is at %d (%t), want %d", at, due, 100+listingGrace)
	}
	expired, _ := v.Expire(at)
	if diff := cmp.Diff([]string{"b"}, expired); diff != "" {
		t.Errorf("removed upstreams (-want +got):\n%s", diff)
	}
	if _, due := v.NextExpiry(); due {
		t.Error("an expiry is due after all have expired")
	}
}

// Guards against the memory of removed upstreams growing with each replacement.
func TestViewForgetsRemovedUpstreams(t *testing.T) {
	v := &View{}
	v.ApplyListings(listings(1, true), 0)
	for i := range 1000 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		now := clock.Millis(i) * clock.Second
		v.ApplyListings(listings(1, false, entry(name, int64(i), 1, false)), now)
		v.ApplyListings(listings(1, false, catalogue.Listing{Name: name, Removed: true}), now)
	}
	if got := len(v.upstreamRecords); got > 62 {
		t.Errorf("%d removed upstreams are remembered after 1000 s, want those of 60 s", got)
	}
}
