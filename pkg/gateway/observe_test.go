package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// A request that fails at any upstream was counted at each one that it was sent to, and silence was counted as failure, so that good
// releases were reverted.
func TestReleaseEvidence(t *testing.T) {
	type evidence struct {
		result request.Result
		slow   bool
		ok     bool
	}
	for _, c := range []struct {
		name     string
		excluded []string
		sample   request.Sample
		slow     bool
		want     evidence
	}{
		{"an answer", nil, request.Sample{Result: request.ResultComplete, Answered: true, FirstToken: 60}, false, evidence{request.ResultComplete, false, true}},
		{"a late answer", nil, request.Sample{Result: request.ResultComplete, Answered: true, FirstToken: 900}, true, evidence{request.ResultComplete, true, true}},
		{"a failure", nil, request.Sample{Result: request.ResultFailed, Answered: true, Total: 50}, false, evidence{request.ResultFailed, false, true}},
		{"the failure of a retry", []string{"u1"}, request.Sample{Result: request.ResultFailed, Answered: true, Total: 50}, false, evidence{}},
		{"a retry that was answered", []string{"u1"}, request.Sample{Result: request.ResultComplete, Answered: true, FirstToken: 60}, false, evidence{}},
		{"no first byte in time", nil, request.Sample{Result: request.ResultFailed, Total: 700}, false, evidence{request.ResultComplete, true, true}},
		{"a stream that paused", nil, request.Sample{Result: request.ResultFailed, FirstToken: 80, Total: 2000}, false, evidence{request.ResultComplete, true, true}},
		{"the time limit", nil, request.Sample{Result: request.ResultFailed, Total: 600, At: 9000}, false, evidence{request.ResultComplete, true, true}},
		{"a connection that was reset", nil, request.Sample{Result: request.ResultFailed, Total: 50}, false, evidence{request.ResultCut, false, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			call := &request.Call{Request: &request.Request{Deadline: 9000}, FirstByteTimeout: 700, Excluded: c.excluded}
			var got evidence
			got.result, got.slow, got.ok = releaseEvidence(call, c.sample, c.slow)
			if got != c.want {
				t.Errorf("evidence %+v, want %+v", got, c.want)
			}
		})
	}
}

// Retries that began in time were counted beside the answers that are judged, and thinned out the late ones.
func TestRetriesSayNothingOfARelease(t *testing.T) {
	for _, c := range []struct {
		name     string
		excluded []string
		want     int
	}{
		{"a first attempt", nil, 1},
		{"a retry", []string{"u1"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := &Instance{
				Clock: clock.NewManual(0), latencies: &dispatch.LatencyTracker{}, comparisons: map[string]*comparison{}, awaited: map[*request.Call]awaited{},
			}
			rollout := &catalogue.ReleaseRollout{ReleaseOrder: catalogue.ReleaseOrder{Service: "lm", Target: "v2"}}
			call := &request.Call{
				Request: &request.Request{}, Route: &catalogue.Route{Name: "a"}, Upstream: &catalogue.Upstream{Name: "u2"}, Excluded: c.excluded,
			}
			ended := in.recordSend(call, rollout, true)
			in.progress(call, request.Sample{FirstToken: 10})
			counts := map[string]float32{}
			in.comparisonOf("lm", "v2").AddOwnCounts("", counts)
			// The send itself is counted in both cases.
			if diff := cmp.Diff(c.want+1, len(counts)); diff != "" {
				t.Errorf("counts %v (-want +got):\n%s", counts, diff)
			}
			ended()
			if diff := cmp.Diff(0, len(in.awaited)); diff != "" {
				t.Errorf("attempts under way (-want +got):\n%s", diff)
			}
		})
	}
}
