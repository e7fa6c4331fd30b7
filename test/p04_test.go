//go:build process

package test

import (
	"fmt"
	"sync"
	"testing"

	"carawayknot.example/carawayknot/pkg/proctest"
)

// checkBills holds the bills in the log against the requests that were answered.
func checkBills(t *testing.T, s *proctest.System, answered []string) {
	t.Helper()
	for _, id := range answered {
		awaitBill(t, s, id)
	}
	for id, all := range bills(t, s) {
		for _, b := range all[1:] {
			// A bill that was appended twice is the same one and is counted once by every reader.
			if b.Cost != all[0].Cost || b.Outcome != all[0].Outcome || b.Instance != all[0].Instance {
				t.Errorf("request %s has two bills: %+v and %+v", id, all[0], b)
			}
		}
	}
}

func TestP04BilledOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		begin   func(s *proctest.System)
		end     func(s *proctest.System)
		engine0 map[string]any
	}{
		{name: "quiet"},
		{name: "answers of the log lost", begin: func(s *proctest.System) { s.Log.SetFaults(map[string]any{"LoseAnswers": 20}) }},
		{
			name:  "log down and back",
			begin: func(s *proctest.System) { s.Log.SetFaults(map[string]any{"Down": true}) },
			end:   func(s *proctest.System) { s.Log.SetFaults(map[string]any{"Down": false}) },
		},
		{name: "retries", engine0: map[string]any{"Crossed": true}},
		{
			name:  "one instance killed while the log is down",
			begin: func(s *proctest.System) { s.Log.SetFaults(map[string]any{"Down": true}) },
			end: func(s *proctest.System) {
				s.Daemons[0].Kill()
				s.Log.SetFaults(map[string]any{"Down": false})
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := proctest.NewSystem(t, proctest.Options{Instances: 3})
			if c.begin != nil {
				c.begin(s)
			}
			if c.engine0 != nil {
				s.Upstreams["engine-0"].SetFaults(c.engine0)
			}
			var (
				all      sync.WaitGroup
				mu       sync.Mutex
				answered []string
			)
			for i := range 24 {
				all.Go(func() {
					id, profile := fmt.Sprintf("r%d", i), "reply"
					if i%3 == 0 {
						profile = "dossier"
					}
					r := s.Daemons[i%3].Chat(t.Context(), proctest.Chat{ID: id, Content: id, Profile: profile, Deadline: 10_000})
					mu.Lock()
					defer mu.Unlock()
					if r.Whole {
						answered = append(answered, id)
					}
				})
			}
			all.Wait()
			if c.end != nil {
				c.end(s)
			}
			if len(answered) == 0 {
				t.Error("no request was answered")
			}
			checkBills(t, s, answered)
		})
	}
}
