package desk

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Callers that are refused while the store is away came back at once, all in vain, and all together on its return.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	const limit clock.Millis = 4600
	s := &catalogue.Snapshot{Routes: &catalogue.RouteTable{Keys: map[string]catalogue.KeyHolder{}}}
	for _, c := range []struct {
		name               string
		age                clock.Millis
		earliest, atLatest clock.Millis
		// spread is the least difference between the delays of many callers.
		spread clock.Millis
	}{
		{"this instance may be the only one", limit + 1, 300, 301, 0},
		{"a second later", limit + 1000, 800, 1800, 800},
		{"a long outage", limit + 4000, 2300, 6300, 3200},
	} {
		t.Run(c.name, func(t *testing.T) {
			var shortest, longest clock.Millis = 1 << 40, 0
			for i := range 200 {
				r := KeyRefusal(s, &request.Call{Request: &request.Request{ID: fmt.Sprint("r", i)}, Route: &catalogue.Route{}}, c.age, limit)
				shortest, longest = min(shortest, r.RetryAfter), max(longest, r.RetryAfter)
			}
			if shortest < c.earliest || longest > c.atLatest || longest-shortest < c.spread {
				t.Errorf("delays from %d to %d ms, want %d to %d, %d apart", shortest, longest, c.earliest, c.atLatest, c.spread)
			}
		})
	}
}
