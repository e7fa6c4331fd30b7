package gateway

import (
	"testing"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Guards against upstreams that get the requests of all others because their entries, written right after those, are read only after a pause; and
// against reads of the list without a pause after each other record, which cost calls of the store.
func TestColdUpstreamsHaveTheListReadOn(t *testing.T) {
	cold := func(l catalogue.Listing) catalogue.Listing {
		l.ColdFor = 3000
		return l
	}
	states := listedStates{}
	states.update(listings(1, true, entry("a", 1, 1, false), entry("b", 1, 1, false)))
	for _, c := range []struct {
		name string
		b    archive.Batch[catalogue.Listing]
		want bool
	}{
		{"heartbeats", listings(1, false, entry("a", 1, 2, false), entry("b", 1, 2, false)), false},
		{"cold", listings(1, false, cold(entry("a", 1, 3, false))), true},
		{"still cold", listings(1, false, cold(entry("a", 1, 4, false))), false},
		{"warm", listings(1, false, entry("a", 1, 5, false)), false},
		{"cold again", listings(1, false, cold(entry("a", 1, 6, false)), entry("b", 1, 3, false)), true},
		{"leaving", listings(1, false, entry("a", 1, 7, true)), false},
		{"started again", listings(1, false, cold(entry("b", 2, 1, false))), false},
		{"removed", listings(1, false, catalogue.Listing{Name: "a", Removed: true}), false},
		{"removed once more", listings(1, false, catalogue.Listing{Name: "a", Removed: true}), false},
		{"new", listings(1, false, cold(entry("c", 1, 1, false))), false},
		{"nothing", listings(1, false), false},
	} {
		if got := states.update(c.b); got != c.want {
			t.Errorf("%s: cooled is %t, want %t", c.name, got, c.want)
		}
	}
}
