package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/request"
)

func TestP05VerdictsOfOthers(t *testing.T) {
	warm := Verdict{Upstream: "engine-a", Incarnation: 2, Limit: 12}
	cold := Verdict{Upstream: "engine-a", Incarnation: 2, Cold: true, Limit: 4}
	old := Verdict{Upstream: "engine-a", Incarnation: 1, Limit: 30}
	type result struct {
		Cold  bool
		Limit int
	}
	for _, tc := range []struct {
		name     string
		verdicts []Verdict
		report   backoffice.LoadReport
		want     result
	}{
		{"no verdict", nil, backoffice.LoadReport{Bearable: 20}, result{Cold: true, Limit: initialWarmLimit}},
		{"warm verdict", []Verdict{warm}, backoffice.LoadReport{Bearable: 20}, result{Limit: 12}},
		{"warm and cold verdict", []Verdict{warm, cold}, backoffice.LoadReport{Bearable: 20}, result{Cold: true, Limit: 12}},
		{"verdict on a previous incarnation", []Verdict{old}, backoffice.LoadReport{Bearable: 20}, result{Cold: true, Limit: initialWarmLimit}},
		{"warm verdict, reported cold start", []Verdict{warm}, backoffice.LoadReport{Bearable: 20, Cold: true}, result{Cold: true, Limit: 12}},
		{"reported capacity below the limit", []Verdict{warm}, backoffice.LoadReport{Bearable: 6}, result{Limit: 6}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d ColdStartDetector
			d.RecordLoad("engine-a", 2, tc.report, 1000)
			d.MergeVerdicts(tc.verdicts)
			got := result{Cold: d.Cold("engine-a"), Limit: d.WarmLimit("engine-a")}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("state of engine-a (-want +got):\n%s", diff)
			}
		})
	}
}

func TestP05OwnVerdict(t *testing.T) {
	var d ColdStartDetector
	d.RecordLoad("engine-a", 1, backoffice.LoadReport{Bearable: 20}, 1000)
	if diff := cmp.Diff([]Verdict(nil), d.Verdicts()); diff != "" {
		t.Errorf("Verdicts() before a request (-want +got):\n%s", diff)
	}
	for range warmAnswersWithoutBaseline - 1 {
		d.RecordSample(request.Sample{Upstream: "engine-a", Result: request.ResultComplete, FirstToken: 50, At: 2000})
	}
	if diff := cmp.Diff([]Verdict(nil), d.Verdicts()); diff != "" {
		t.Errorf("Verdicts() before enough answers (-want +got):\n%s", diff)
	}
	d.RecordSample(request.Sample{Upstream: "engine-a", Result: request.ResultComplete, FirstToken: 50, At: 2000})
	want := []Verdict{{Upstream: "engine-a", Incarnation: 1, Episode: 1, Limit: initialWarmLimit}}
	if diff := cmp.Diff(want, d.Verdicts()); diff != "" {
		t.Errorf("Verdicts() after quick answers (-want +got):\n%s", diff)
	}
	d.RecordLoad("engine-a", 2, backoffice.LoadReport{Bearable: 20}, 3000)
	if diff := cmp.Diff([]Verdict(nil), d.Verdicts()); diff != "" {
		t.Errorf("Verdicts() after a restart (-want +got):\n%s", diff)
	}
}
