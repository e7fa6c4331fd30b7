package gateway

import (
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Requests were refused as if the view was old, because a read waited too long: before the next read ends, the view is as old as
// both have waited.
func TestOperationsWait(t *testing.T) {
	for _, c := range []struct{ revocation, want clock.Millis }{
		{20 * clock.Second, 1500},
		{5 * clock.Second, 1500},
		{2500, 750},
		{1000, 300},
	} {
		if got := operationsWait(c.revocation); got != c.want {
			t.Errorf("revocation within %d ms: a read waits for %d ms, want %d", c.revocation, got, c.want)
		}
		if age := 2 * c.want; age > c.revocation-keyAgeMargin {
			t.Errorf("revocation within %d ms: the view gets %d ms old", c.revocation, age)
		}
	}
}
