package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// TestP05ColdUpstreamGetsNoRequestThatMayExceedColdHold covers what the waits of membership.ColdShares rely on: when the share of a
// cold upstream passes to another instance, the requests of the previous holder end within ColdHold.
func TestP05ColdUpstreamGetsNoRequestThatMayExceedColdHold(t *testing.T) {
	cold := &catalogue.Upstream{Name: "engine-a", Cold: true, Share: 1}
	warm := &catalogue.Upstream{Name: "engine-b", Share: 1}
	for _, tc := range []struct {
		name     string
		timeLeft clock.Millis
		from     []*catalogue.Upstream
		want     *catalogue.Upstream
	}{
		{"short request, cold upstream", 10_000, []*catalogue.Upstream{cold}, cold},
		{"long request, cold upstream", 10_001, []*catalogue.Upstream{cold}, nil},
		{"long request, cold and warm upstream", 10_001, []*catalogue.Upstream{cold, warm}, warm},
		{"long request, warm upstream", 60_000, []*catalogue.Upstream{warm}, warm},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := &Query{RequestID: "r1", TimeLeft: tc.timeLeft, ColdHold: 10_000}
			got := Pick(q, tc.from, &InFlightLimiter{}, nil)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("Pick() (-want +got):\n%s", diff)
			}
		})
	}
}
