package dispatch

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// A release that fails under load answered well while its few requests were spread over all of its upstreams.
func TestReleaseUpstreamsUnderLoad(t *testing.T) {
	const now clock.Millis = 10_000
	for _, c := range []struct {
		name  string
		state catalogue.ReleaseState
		share float64
		// target and old are the numbers of upstreams; the first cold of the new release are in cold start.
		target, old, cold int
		want              []string
	}{
		{"canary", catalogue.ReleaseRunning, 0, 6, 6, 0, []string{"u0", "u1"}},
		{"half of the requests", catalogue.ReleaseRunning, 0.5, 6, 6, 0, []string{"u0", "u1", "u2"}},
		{"half of the requests of more old upstreams", catalogue.ReleaseRunning, 0.5, 6, 8, 0, []string{"u0", "u1", "u2", "u3"}},
		{"fewer upstreams than the old release", catalogue.ReleaseRunning, 0.5, 3, 8, 0, []string{"u0", "u1", "u2"}},
		{"cold upstreams are left out", catalogue.ReleaseRunning, 0.5, 6, 6, 2, []string{"u2", "u3", "u4"}},
		{"too few warm upstreams", catalogue.ReleaseRunning, 0.5, 3, 4, 2, []string{"u0", "u1", "u2"}},
		{"one upstream", catalogue.ReleaseRunning, 0.5, 1, 4, 0, []string{"u0"}},
		{"all requests", catalogue.ReleaseRunning, 1, 3, 3, 0, []string{"u0", "u1", "u2"}},
		{"completed", catalogue.ReleaseCompleted, 0.5, 3, 3, 0, []string{"u0", "u1", "u2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rollout := &catalogue.ReleaseRollout{
				ReleaseOrder: catalogue.ReleaseOrder{Service: "lm", Target: "v2", Span: 10_000}, State: c.state, Canary: 0.06,
			}
			var target []*catalogue.Upstream
			for i := range c.target {
				u := &catalogue.Upstream{Name: fmt.Sprint("u", i)}
				if i < c.cold {
					u.ColdUntil = now + 1
				}
				target = append(target, u)
			}
			r := &Releases{}
			r.SetShare(rollout, c.share)
			var got []string
			for _, u := range r.loaded(rollout, target, c.old, now) {
				got = append(got, u.Name)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("upstreams of the new release (-want +got):\n%s", diff)
			}
		})
	}
}
