package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Guards against what is known of an upstream being dropped with an entry that lapses, kept for its next lifetime, or kept for good.
func TestLifetimes(t *testing.T) {
	listing := func(incarnations ...int64) (listed []*catalogue.Upstream) {
		for _, n := range incarnations {
			listed = append(listed, &catalogue.Upstream{Name: "u", Incarnation: n})
		}
		return listed
	}
	type step struct {
		at                     clock.Millis
		listed                 []*catalogue.Upstream
		wantRestarted, wantEnd []string
	}
	u := []string{"u"}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"listed on", []step{{0, listing(5), nil, nil}, {keepUnlisted + 1, listing(5), nil, nil}, {2 * keepUnlisted, listing(5), nil, nil}}},
		{"lapses and comes back", []step{{0, listing(5), nil, nil}, {1000, nil, nil, nil}, {keepUnlisted, listing(5), nil, nil}}},
		{"told once without its start", []step{{0, listing(5), nil, nil}, {1000, listing(0), nil, nil}, {2000, listing(5), nil, nil}}},
		{"starts again", []step{{0, listing(5), nil, nil}, {1000, listing(6), u, nil}, {2000, listing(6), nil, nil}}},
		{"starts again after a lapse", []step{{0, listing(5), nil, nil}, {1000, nil, nil, nil}, {2000, listing(6), u, nil}}},
		{"an older entry comes later", []step{{0, listing(6), nil, nil}, {1000, listing(5), nil, nil}, {2000, listing(6), nil, nil}}},
		{"is gone for good", []step{{0, listing(5), nil, nil}, {keepUnlisted + 1, nil, nil, u}, {2 * keepUnlisted, nil, nil, nil}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &lifetimes{}
			for _, s := range c.steps {
				restarted, gone := l.update(s.listed, s.at)
				if diff := cmp.Diff([][]string{s.wantRestarted, s.wantEnd}, [][]string{restarted, gone}); diff != "" {
					t.Errorf("restarted and gone at %d (-want +got):\n%s", s.at, diff)
				}
			}
		})
	}
}
