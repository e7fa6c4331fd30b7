package dispatch

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Each step of a cascade uses a different version. Upstreams that failed a previous step are excluded only while others remain,
// since the step would otherwise be refused.
func TestCascadeStepMayReuseExcludedUpstreams(t *testing.T) {
	for _, tc := range []struct {
		name     string
		excluded []string
		want     []string
	}{
		{"some failed", []string{"engine-a", "engine-b"}, []string{"engine-c"}},
		{"all failed", []string{"engine-a", "engine-b", "engine-c"}, []string{"any"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := snapshot(1)
			f := newBalancer(func() *catalogue.Snapshot { return s }, clock.NewManual(0))
			c := newCall("r1")
			c.Request.Deadline = 1
			c.Excluded = tc.excluded
			var got []string
			err := f.Filter(context.Background(), c, request.HandlerFunc(func(_ context.Context, c *request.Call) error {
				name := c.Upstream.Name
				if len(tc.excluded) == len(s.Upstreams) {
					name = "any"
				}
				got = append(got, name)
				return nil
			}))
			if err != nil {
				t.Errorf("Filter() = %v, want no error", err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("upstreams used (-want +got):\n%s", diff)
			}
		})
	}
}
