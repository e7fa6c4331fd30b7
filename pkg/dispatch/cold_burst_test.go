package dispatch

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Guards against cold upstreams that get a request of each instance at once: when they are cold a second time, and when requests come after a
// pause in a cold time.
func TestInstancesTogetherKeepToTheRateOfColdUpstreams(t *testing.T) {
	const (
		// The rule allows overrun times the rate, and slack more, in any second.
		overrun, slack = 1.5, 5
		tick           = 10 * clock.Millis(1)
		coldFor        = 3 * clock.Second
		end            = 40 * clock.Second
	)
	// asks tells whether each instance has a request for the cold upstream at a time.
	const first, second = 2 * clock.Second, 17 * clock.Second
	always := func(clock.Millis) bool { return true }
	cold := func(now clock.Millis) bool {
		return now >= first && now < first+coldFor || now >= second && now < second+coldFor
	}
	until := func(now clock.Millis, name string) clock.Millis {
		switch {
		case name != "cold twice":
			return end
		case now < second:
			return first + coldFor
		}
		return second + coldFor
	}
	for _, c := range []struct {
		name string
		asks func(now clock.Millis) bool
	}{
		{"cold all along", always},
		{"cold twice", cold},
		{"requests after a pause", func(now clock.Millis) bool { return now < clock.Second || now >= 30*clock.Second }},
		{"one burst", func(now clock.Millis) bool { return now == 30*clock.Second }},
	} {
		for _, instances := range []int{1, 9, 12, 40, 64, 330} {
			for _, rate := range []float64{5, 23, 60} {
				t.Run(fmt.Sprintf("%s, %d instances, %.0f a second", c.name, instances, rate), func(t *testing.T) {
					trackers := make([]*LoadTracker, instances)
					for i := range trackers {
						trackers[i] = &LoadTracker{Self: fmt.Sprint("edge-", i)}
					}
					own := coldRateShare * rate / float64(max(minMembers, instances))
					var sent []clock.Millis
					most, oldest := 0, 0
					for now := clock.Millis(0); now < end; now += tick {
						if !c.asks(now) {
							continue
						}
						for _, l := range trackers {
							if l.AllowCold("i-0", now, until(now, c.name), own) {
								sent = append(sent, now)
							}
						}
						for oldest < len(sent) && sent[oldest] <= now-clock.Second {
							oldest++
						}
						most = max(most, len(sent)-oldest)
					}
					if allowed := overrun*rate + slack; float64(most) > allowed {
						t.Errorf("%d requests in a second, %.1f allowed", most, allowed)
					}
					if want := own * float64(instances) * end.Seconds() / 2; c.name == "cold all along" && float64(len(sent)) < want {
						t.Errorf("%d requests in %v, want %.0f at least", len(sent), end, want)
					}
				})
			}
		}
	}
}
