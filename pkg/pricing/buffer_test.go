package pricing

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/request"
)

// fakeReservation is a MemoryReservation over a fixed number of free bytes.
type fakeReservation struct {
	free, held int64
}

func (r *fakeReservation) TryAcquire(n int64) bool {
	if n > r.free {
		return false
	}
	r.free -= n
	r.held += n
	return true
}

func (r *fakeReservation) Close() {
	r.free += r.held
	r.held = 0
}

// Slow readers keep answers buffered for long, so that buffered bytes must count against the memory for answers.
func TestBufferedAnswersCountAgainstAnswerMemory(t *testing.T) {
	for _, tc := range []struct {
		name string
		free int64
		want string
	}{
		{"enough memory", 1 << 10, "model-1@1"},
		{"memory exhausted", 50, "model-2@1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := newQuery()
			q.Profile.Quality, q.Profile.Cascade = 0.82, true
			f := newVersionFilter(q, fakeRater{score: 0.99})
			reservation := &fakeReservation{free: tc.free}
			f.ReserveMemory = func() MemoryReservation { return reservation }
			var got callerOutput
			c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
			if err := f.Filter(context.Background(), c, request.HandlerFunc(relayAnswer)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(callerOutput{Text: tc.want + strings.Repeat("x", 100), Ended: true}, got); diff != "" {
				t.Errorf("caller output (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.free, reservation.free); diff != "" {
				t.Errorf("free bytes at the end (-want +got):\n%s", diff)
			}
		})
	}
}
