//go:build process

package test

import (
	"fmt"
	"sync"
	"testing"

	"carawayknot.example/carawayknot/pkg/proctest"
)

// checkBills checks that each answered request has a bill, and that repeated bills of a request agree.
func checkBills(t *testing.T, s *proctest.System, answered []string) {
	t.Helper()
	for _, id := range answered {
		awaitBill(t, s, id)
	}
	for id, all := range bills(t, s) {
		for _, b := range all[1:] {
			// An identical bill may be appended twice; every reader counts it once.
			if b.Cost != all[0].Cost || b.Outcome != all[0].Outcome || b.Instance != all[0].Instance {
				t.Errorf("request %s has two different bills: %+v and %+v", id, all[0], b)
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
		{name: "no fault"},
		{name: "lost responses of the log", begin: func(s *proctest.System) { s.Log.SetFaults(map[string]any{"LoseAnswers": 20}) }},
		{
			name:  "log outage",
			begin: func(s *proctest.System) { s.Log.SetFaults(map[string]any{"Down": true}) },
			end:   func(s *proctest.System) { s.Log.SetFaults(map[string]any{"Down": false}) },
		},
		{name: "retries", engine0: map[string]any{"Crossed": true}},
		{
			name:  "instance killed while the log is down",
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
				wg       sync.WaitGroup
				mu       sync.Mutex
				answered []string
			)
			for i := range 24 {
				wg.Go(func() {
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
			wg.Wait()
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
