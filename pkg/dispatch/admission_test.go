package dispatch

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// admitCalls tries to admit n calls at the times 0, step, 2*step and so on; it returns the number of admitted calls and, by reason, of
// refused ones.
func admitCalls(a *Admission, s *catalogue.Snapshot, w *catalogue.Workspace, priority, n int, step clock.Millis) (int, map[request.Reason]int) {
	in, reasons := 0, map[request.Reason]int{}
	for i := range n {
		c := &request.Call{
			Request:   &request.Request{ID: fmt.Sprint(w.Name, i), Workspace: w.Name},
			Workspace: w,
			Profile:   &catalogue.Profile{Priority: priority},
		}
		if r := a.Admit(s, c, clock.Millis(i)*step); r != nil {
			reasons[r.Reason]++
			continue
		}
		in++
	}
	return in, reasons
}

func TestAdmission(t *testing.T) {
	members := func(n int) []catalogue.Member { return make([]catalogue.Member, n) }
	for _, tc := range []struct {
		name      string
		limit     int
		members   int
		draining  bool
		workspace catalogue.Workspace
		priority  int
		n         int
		step      clock.Millis
		want      int
		reasons   map[request.Reason]int
	}{
		{name: "no limits", limit: 100, members: 4, priority: 9, n: 20, want: 20, reasons: map[request.Reason]int{}},
		{
			name: "member's part of the workspace's in-flight limit", limit: 100, members: 4, priority: 9, n: 20,
			workspace: catalogue.Workspace{MaxInFlight: 22},
			want:      6, reasons: map[request.Reason]int{request.ReasonWorkspaceLimit: 14},
		},
		{
			name: "a member's part is at least one", limit: 100, members: 9, priority: 9, n: 3,
			workspace: catalogue.Workspace{MaxInFlight: 2},
			want:      1, reasons: map[request.Reason]int{request.ReasonWorkspaceLimit: 2},
		},
		{
			name: "member's part of the workspace's rate", limit: 1000, members: 4, priority: 9, n: 101, step: 100,
			workspace: catalogue.Workspace{RequestsPerSecond: 8},
			want:      22, reasons: map[request.Reason]int{request.ReasonWorkspaceLimit: 79},
		},
		{
			name: "highest priority fills the limit", limit: 10, members: 1, priority: 9, n: 12,
			want: 10, reasons: map[request.Reason]int{request.ReasonOverloaded: 2},
		},
		{
			name: "lowest priority is limited to a fraction", limit: 10, members: 1, priority: 1, n: 12,
			want: 7, reasons: map[request.Reason]int{request.ReasonOverloaded: 5},
		},
		{
			name: "draining", limit: 10, members: 1, priority: 9, n: 2, draining: true,
			want: 0, reasons: map[request.Reason]int{request.ReasonDraining: 2},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := catalogue.NewState()
			cfg.Profiles["low"] = &catalogue.Profile{Priority: 1}
			cfg.Profiles["high"] = &catalogue.Profile{Priority: 9}
			s := &catalogue.Snapshot{Config: cfg, Members: members(tc.members), Draining: tc.draining}
			tc.workspace.Name = "desk"
			in, reasons := admitCalls(&Admission{Limit: tc.limit}, s, &tc.workspace, tc.priority, tc.n, tc.step)
			if in != tc.want {
				t.Errorf("%d calls were admitted, want %d", in, tc.want)
			}
			if diff := cmp.Diff(tc.reasons, reasons); diff != "" {
				t.Errorf("refusals (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBusyInstanceSharesCapacityFairly(t *testing.T) {
	s := &catalogue.Snapshot{Config: catalogue.NewState(), Members: make([]catalogue.Member, 1)}
	a := &Admission{Limit: 12}
	large, _ := admitCalls(a, s, &catalogue.Workspace{Name: "large"}, 0, 6, 0)
	small, _ := admitCalls(a, s, &catalogue.Workspace{Name: "small"}, 0, 2, 0)
	more, _ := admitCalls(a, s, &catalogue.Workspace{Name: "large"}, 0, 6, 0)
	if diff := cmp.Diff([]int{6, 2, 0}, []int{large, small, more}); diff != "" {
		t.Errorf("admitted calls (-want +got):\n%s", diff)
	}
}

func TestRetryAfterIsSpread(t *testing.T) {
	s := &catalogue.Snapshot{Config: catalogue.NewState(), Draining: true}
	a := &Admission{Limit: 1}
	seen := map[clock.Millis]bool{}
	for i := range 50 {
		c := &request.Call{Request: &request.Request{ID: fmt.Sprint("r", i)}}
		r := a.Admit(s, c, 0)
		if r.RetryAfter < minRetryAfter || r.RetryAfter > 2*minRetryAfter {
			t.Errorf("RetryAfter = %d ms, want once to twice minRetryAfter", r.RetryAfter)
		}
		seen[r.RetryAfter] = true
	}
	if len(seen) < 20 {
		t.Errorf("50 refusals have %d distinct values of RetryAfter, want at least 20", len(seen))
	}
}

func TestQueueWakesByPriority(t *testing.T) {
	q := &Queue{Limit: 4}
	var woken []string
	push := func(name string, priority int) *QueuedRequest {
		req := &QueuedRequest{Priority: priority, Ready: func() { woken = append(woken, name) }}
		if !q.Push(req) {
			woken = append(woken, name+" refused")
		}
		return req
	}
	push("dossier", 1)
	removed := push("removed", 9)
	push("chat", 5)
	push("booking", 9)
	push("late", 9)
	q.Remove(removed)
	for range 4 {
		q.Wake()
	}
	if diff := cmp.Diff([]string{"late refused", "booking", "chat", "dossier"}, woken); diff != "" {
		t.Errorf("woken requests (-want +got):\n%s", diff)
	}
}
