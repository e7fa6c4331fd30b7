package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

func TestOutliers(t *testing.T) {
	var o OutlierDetector
	var got []bool
	at := func(now clock.Millis) { got = append(got, o.ShouldAvoid("engine-a", now)) }
	at(0)
	o.RecordFailure("engine-a", 0)
	at(999)
	at(1000)
	o.RecordFailure("engine-a", 1000)
	at(2999)
	at(3000)
	for range 9 {
		o.RecordFailure("engine-a", 3000)
	}
	at(18_999)
	at(19_000)
	o.RecordSuccess("engine-a")
	o.RecordFailure("engine-a", 20_000)
	at(20_999)
	at(21_000)
	if diff := cmp.Diff([]bool{false, true, false, true, false, true, false, true, false}, got); diff != "" {
		t.Errorf("ShouldAvoid results (-want +got):\n%s", diff)
	}
}

func TestPickAvoidsOutliers(t *testing.T) {
	a, b := &catalogue.Upstream{Name: "engine-a", Share: 1}, &catalogue.Upstream{Name: "engine-b", Share: 1}
	from := []*catalogue.Upstream{a, b}
	var o OutlierDetector
	o.RecordFailure("engine-a", 0)
	inFlight := &InFlightLimiter{}
	for i := range 50 {
		q := &Query{RequestID: string(rune('a' + i)), Outliers: &o}
		if got := Pick(q, from, inFlight, nil); got != b {
			t.Fatalf("Pick() for request %d = %v, want engine-b", i, got)
		}
	}
	inFlight.Acquire("engine-b", 1)
	if got := Pick(&Query{RequestID: "r", Outliers: &o}, from, inFlight, nil); got != a {
		t.Errorf("Pick() while only the outlier has capacity = %v, want engine-a", got)
	}
}
