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

// hangingRater accepts requests and never answers.
type hangingRater struct{}

// Rate blocks until ctx ends and returns its error.
func (hangingRater) Rate(ctx context.Context, _ backoffice.RateRequest) (float64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestP07HangingRatingServiceDelaysNoAnswer(t *testing.T) {
	const deadline = 60 * clock.Second
	synctest.Test(t, func(t *testing.T) {
		q := newQuery()
		q.Profile.Quality, q.Profile.Cascade = 0.82, true
		f := newVersionFilter(q, hangingRater{})
		f.Clock = clock.NewReal()
		start := f.Clock.Now()
		q.Request.Deadline = start + deadline
		var got callerOutput
		c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
		if err := f.Filter(context.Background(), c, answerWith("", 0)); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(callerOutput{Text: "model-2@1", Ended: true}, got); diff != "" {
			t.Errorf("caller output (-want +got):\n%s", diff)
		}
		if left := start + deadline - f.Clock.Now(); left < deadline/2 {
			t.Errorf("%d ms left for the next version, want at least %d ms", left, deadline/2)
		}
	})
}

// relayAnswer writes an answer as the sending filter does: it reports a failed write as a caller that has gone.
func relayAnswer(ctx context.Context, c *request.Call) error {
	if err := answerWith("", 100)(ctx, c); err != nil {
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonCallerGone, Cause: err}
	}
	return nil
}

func TestP07AnswerLargerThanBufferComesFromNextVersion(t *testing.T) {
	q := newQuery()
	q.Profile.Quality, q.Profile.Cascade = 0.82, true
	f := newVersionFilter(q, fakeRater{score: 0.99})
	f.Settings.Limits.RequestBytes = 64
	var got callerOutput
	c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
	if err := f.Filter(context.Background(), c, request.HandlerFunc(relayAnswer)); err != nil {
		t.Errorf("got refusal %v, want none", err)
	}
	if diff := cmp.Diff(callerOutput{Text: "model-2@1" + strings.Repeat("x", 100), Ended: true}, got); diff != "" {
		t.Errorf("caller output (-want +got):\n%s", diff)
	}
}
