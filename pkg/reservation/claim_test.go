package reservation

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/enquiry"
)

func TestP09SecondAskerGetsTheRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(1)
		a, b := s.start("a", 1), s.start("b", 1)
		defer stop(a, b)
		s.sleep(2000)
		key := s.keyNow("table")
		first := a.ask(context.Background(), "r1", key, "for six", a.upstream(sendRuns, 0))
		s.sleep(2000)
		second := b.ask(context.Background(), "r2", key, "for six", b.upstream(sendRuns, 0))
		third := b.ask(context.Background(), "r3", key, "for seven", b.upstream(sendRuns, 0))
		want := []told{
			{Answer: "r1", Outcome: enquiry.Ran},
			{Answer: "r1", Outcome: enquiry.Ran, Replayed: true},
			{Outcome: enquiry.NotRun, Reason: enquiry.ReasonKeyReused},
		}
		if diff := cmp.Diff(want, []told{first, second, third}); diff != "" {
			t.Errorf("told (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(map[string][]string{key: {"r1"}}, s.runs); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}
