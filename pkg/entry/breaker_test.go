package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// raterFunc is a rating service that returns a fixed score and the error of the function.
type raterFunc func() error

func (f raterFunc) Rate(context.Context, backoffice.RateRequest) (float64, error) { return 0.5, f() }

func TestRaterBreaker(t *testing.T) {
	now := clock.NewManual(1000)
	reached, down := 0, true
	b := &RaterBreaker{Clock: now, Rater: raterFunc(func() error {
		reached++
		if down {
			return errors.New("down")
		}
		return nil
	})}
	for _, step := range []struct {
		name    string
		advance clock.Millis
		down    bool
		calls   int
		reached int
		open    bool
	}{
		{"fails three times and opens", 0, true, 10, 3, true},
		{"stays open", breakerOpenTime - 1, true, 10, 0, true},
		{"allows one trial call", 1, true, 10, 1, true},
		{"closes after a success", breakerOpenTime, false, 10, 10, false},
		{"two failures leave it closed", 0, true, 2, 2, false},
		{"a success resets the count", 0, false, 1, 1, false},
		{"two failures leave it closed again", 0, true, 2, 2, false},
	} {
		now.Advance(step.advance)
		reached, down = 0, step.down
		var err error
		for range step.calls {
			_, err = b.Rate(t.Context(), backoffice.RateRequest{})
		}
		var open *BreakerError
		got := []any{reached, errors.As(err, &open)}
		if diff := cmp.Diff([]any{step.reached, step.open}, got); diff != "" {
			t.Errorf("%s: calls that reached the service, and whether the breaker is open (-want +got):\n%s", step.name, diff)
		}
	}
}
