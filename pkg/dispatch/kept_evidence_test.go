package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Guards against a request or a part that ends further upstreams because all instances that knew of it have ended.
func TestQuarantineOutlivesAllInstances(t *testing.T) {
	for _, c := range []struct {
		name  string
		crash func(s *CrashSuspects) *request.Refusal
	}{
		{"a part of prompts", func(s *CrashSuspects) *request.Refusal {
			_, refusal := crashOnce(s, "crashing")
			return refusal
		}},
		{"a plain request", func(s *CrashSuspects) *request.Refusal {
			_, refusal := crashCall(s, plainCall("r", "crashing", false))
			return refusal
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := clock.NewManual(1000)
			s := newSuspects(m)
			ended := 0
			send := func(lasting clock.Millis) {
				for end := m.Now() + lasting; m.Now() < end; m.Advance(700) {
					if c.crash(s) == nil {
						ended++
					}
				}
			}
			send(40 * clock.Second)
			kept := s.Kept()
			s = newSuspects(m)
			s.Hear(kept)
			before := ended
			send(50 * clock.Second)
			if got := ended - before; len(kept) == 0 || got > 1 {
				t.Errorf("%d upstreams ended after the restart with the evidence %v, want one probe at most", got, kept)
			}
		})
	}
}

// Guards against writes to the store for each crash of an upstream, of which most tell nothing of a request.
func TestKeptEvidence(t *testing.T) {
	m := clock.NewManual(1000)
	s := newSuspects(m)
	own := 0
	s.OnOwnNews = func() { own++ }
	call := plainCall("r", "crashing", false)
	var kept []int
	for range 4 {
		m.Advance(120 * clock.Second)
		crashCall(s, call)
		kept = append(kept, len(s.Kept()))
	}
	w := &SuspectWatch{}
	m.Advance(maxProbePause)
	if refusal := s.Admit(w, call); refusal != nil {
		t.Fatal(refusal)
	}
	w.FirstEvent()
	kept = append(kept, len(s.Kept()))
	if diff := cmp.Diff([]int{0, 0, 1, 1, 0}, kept); diff != "" {
		t.Errorf("kept subjects after each crash and the answer (-want +got):\n%s", diff)
	}
	s.Hear([]string{CrashEvidence{Subject: CrashSubject{Hash: 7}, Crashes: keptCrashes}.key()})
	if want := 5; own != want {
		t.Errorf("told %d times of own news, want %d: not of those of others", own, want)
	}
}
