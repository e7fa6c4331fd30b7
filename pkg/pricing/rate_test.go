package pricing

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// silentRater takes requests and never answers.
type silentRater struct{}

// Rate returns once ctx ends.
func (silentRater) Rate(ctx context.Context, _ backoffice.RateRequest) (float64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestP07SilentRatingServiceHoldsUpNoAnswer(t *testing.T) {
	const deadline = 60 * clock.Second
	synctest.Test(t, func(t *testing.T) {
		q := scene()
		q.Profile.Quality, q.Profile.Cascade = 0.82, true
		f := newChoose(q, silentRater{})
		f.Clock = clock.NewReal()
		began := f.Clock.Now()
		q.Request.Deadline = began + deadline
		var got shown
		c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
		if err := f.Filter(context.Background(), c, answer("", 0)); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(shown{Text: "model-2@1", Ended: true}, got); diff != "" {
			t.Errorf("shown (-want +got):\n%s", diff)
		}
		if left := began + deadline - f.Clock.Now(); left < deadline/2 {
			t.Errorf("time left for the next version: %d ms, want at least %d ms", left, deadline/2)
		}
	})
}

// sender passes an answer on as the sending filter does: a writer that fails is taken for a caller that has gone.
func sender(ctx context.Context, c *request.Call) error {
	if err := answer("", 100)(ctx, c); err != nil {
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonCallerGone, Cause: err}
	}
	return nil
}

func TestP07AnswerTooLongToHoldIsGivenByTheNextVersion(t *testing.T) {
	q := scene()
	q.Profile.Quality, q.Profile.Cascade = 0.82, true
	f := newChoose(q, fakeRater{score: 0.99})
	f.Settings.Limits.RequestBytes = 64
	var got shown
	c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
	if err := f.Filter(context.Background(), c, request.HandlerFunc(sender)); err != nil {
		t.Errorf("refused: %v", err)
	}
	if diff := cmp.Diff(shown{Text: "model-2@1" + strings.Repeat("x", 100), Ended: true}, got); diff != "" {
		t.Errorf("shown (-want +got):\n%s", diff)
	}
}
