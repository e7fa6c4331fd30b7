//go:build process

package test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/standin"
)

func TestP07AnswerIsCompleteAndOwnOrReportedIncomplete(t *testing.T) {
	t.Parallel()
	const tokens = 8
	cases := []struct {
		name string
		// all has the faults of every engine, one those of the first engine only.
		all map[string]any
		one map[string]any
		// neverComplete means that no engine completes an answer.
		neverComplete bool
	}{
		{name: "no fault"},
		{name: "all crossed", all: map[string]any{"Crossed": true}, neverComplete: true},
		{name: "one crossed", one: map[string]any{"Crossed": true}},
		{name: "all cut", all: map[string]any{"CutAfter": 3}, neverComplete: true},
		{name: "one cut", one: map[string]any{"CutAfter": 3}},
		{name: "all without end mark", all: map[string]any{"SkipDone": true}, neverComplete: true},
		{name: "one without end mark", one: map[string]any{"SkipDone": true}},
		{name: "all repeated", all: map[string]any{"Repeat": true}},
		{name: "one late", one: map[string]any{"LateMillis": 300}},
		{name: "one loses answers", one: map[string]any{"LoseAnswers": 5}},
		{name: "one down", one: map[string]any{"Down": true}},
		{name: "one closes connections", one: map[string]any{"Cut": true}},
	}
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	clean := map[string]any{
		"Crossed": false, "CutAfter": 0, "SkipDone": false, "Repeat": false, "LateMillis": 0, "LoseAnswers": 0,
		"Down": false, "Cut": false,
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, e := range engines(s) {
				e.SetFaults(clean)
				e.SetFaults(c.all)
			}
			s.Upstreams["engine-0"].SetFaults(c.one)
			var wg sync.WaitGroup
			for i := range 24 {
				d := s.Daemons[i%len(s.Daemons)]
				wg.Go(func() {
					content := fmt.Sprintf("%s %d", c.name, i)
					r := d.Chat(t.Context(), proctest.Chat{Content: content, Stream: i%4 < 2, Deadline: 8000})
					checkAnswer(t, r, content, tokens)
					if c.neverComplete && r.Whole {
						t.Errorf("incomplete answer was reported as complete: %q", r.Text)
					}
				})
			}
			wg.Wait()
		})
	}
}

// checkAnswer checks that a reply reported as complete is the whole answer, that an incomplete one is a prefix of the answer
// and states an outcome, and that no text of another request appears.
func checkAnswer(t *testing.T, r proctest.Reply, content string, tokens int) {
	t.Helper()
	want := standin.AnswerText(content, tokens)
	if r.Whole && r.Text != want {
		t.Errorf("got complete answer %q, want %q", r.Text, want)
	}
	if !strings.HasPrefix(want, r.Text) {
		t.Errorf("got text %q, want a prefix of %q", r.Text, want)
	}
	if !r.Whole && r.Error.Outcome == "" {
		t.Errorf("incomplete answer without an error that states an outcome: status %d, error %v, body %q", r.Status, r.Err, r.Body)
	}
}

func TestP07OneFaultyEngineCostsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, faults := range []map[string]any{{"Crossed": true}, {"Down": true}, {"Cut": true}} {
		t.Run(fmt.Sprint(faults), func(t *testing.T) {
			t.Parallel()
			s := proctest.NewSystem(t, proctest.Options{Instances: 2})
			s.Upstreams["engine-0"].SetFaults(faults)
			for i := range 20 {
				// The avoidance of the failing engine ends several times within the test.
				sleep(300 * time.Millisecond)
				content := fmt.Sprintf("hello %d", i)
				requireChat(t, s.Daemons[i%2].Chat(t.Context(), proctest.Chat{Content: content, Stream: true}), content, 8)
			}
		})
	}
}
