package trace

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStatedOutcomes replays the recorded traces and holds each measure against the outcome that the trace states.
func TestStatedOutcomes(t *testing.T) {
	for _, name := range Names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr, err := Load(filepath.Join("..", "..", "traces", name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			rep, err := Replay(context.Background(), tr, Options{})
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range rep.Stated {
				t.Run(s.Measure, func(t *testing.T) {
					if !s.Met {
						t.Errorf("%s = %.3f, stated at most %.3f", s.Measure, s.Got, s.AtMost)
					}
				})
			}
		})
	}
}

func TestRecordedTracesAreWhatTheirSeedsGive(t *testing.T) {
	for _, name := range Names {
		recorded, err := Load(filepath.Join("..", "..", "traces", name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		made, err := Make(name, recorded.Seed)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(made, recorded); diff != "" {
			t.Errorf("trace %s (-made +recorded):\n%s", name, diff)
		}
	}
}
