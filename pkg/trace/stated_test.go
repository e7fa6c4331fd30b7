package trace

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStatedOutcomes replays the recorded traces and compares each measure with the bound that the trace states.
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
						t.Errorf("%s = %.3f, want at most %.3f", s.Measure, s.Got, s.AtMost)
					}
				})
			}
		})
	}
}

func TestRecordedTracesMatchTheirSeeds(t *testing.T) {
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
			t.Errorf("recorded trace %s differs from Make with its seed (-made +recorded):\n%s", name, diff)
		}
	}
}

// TestReplayWithoutHistoryServes starts without ratings and without verdicts on the upstreams, which the router therefore
// treats as cold; most requests must still be answered, since the first answers show the upstreams to be warm.
func TestReplayWithoutHistoryServes(t *testing.T) {
	t.Parallel()
	tr, err := Load(filepath.Join("..", "..", "traces", "chai-houses.json"))
	if err != nil {
		t.Fatal(err)
	}
	rep, err := Replay(context.Background(), tr, Options{NoHistory: true})
	if err != nil {
		t.Fatal(err)
	}
	const minShare = 0.95
	if got := float64(rep.Policies[0].Answered) / float64(rep.Requests); got < minShare {
		t.Errorf("share of answered requests = %.3f, want at least %.2f", got, minShare)
	}
}
