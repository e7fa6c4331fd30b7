package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const engine = "engine-a"

// coldStartTimeline feeds a ColdStartDetector with samples and reports at increasing times.
type coldStartTimeline struct {
	ColdStartDetector
	at clock.Millis
}

func (h *coldStartTimeline) complete(n int, firstToken clock.Millis) {
	for range n {
		h.at += 100
		h.RecordSample(request.Sample{At: h.at, Upstream: engine, Version: version, Result: request.ResultComplete, FirstToken: firstToken})
	}
}

func (h *coldStartTimeline) start(n int, firstToken clock.Millis) {
	for range n {
		h.at += 100
		h.RecordSample(request.Sample{At: h.at, Upstream: engine, Version: version, Result: request.ResultStarted, FirstToken: firstToken})
	}
}

func (h *coldStartTimeline) fail(n int) {
	for range n {
		h.at += 100
		h.RecordSample(request.Sample{At: h.at, Upstream: engine, Version: version, Result: request.ResultRefused})
	}
}

func (h *coldStartTimeline) report(incarnation int64, r backoffice.LoadReport) {
	h.at += 500
	r.Bearable = 20
	h.RecordLoad(engine, incarnation, r, h.at)
}

func TestP05ColdStartIsInferred(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps func(h *coldStartTimeline)
		want  bool
	}{
		{"unknown upstream", func(*coldStartTimeline) {}, true},
		{"warm after quick answers", func(h *coldStartTimeline) { h.complete(warmAnswersWithoutBaseline, 100) }, false},
		{"new incarnation", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(2, backoffice.LoadReport{})
		}, true},
		{"reported cold start", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(1, backoffice.LoadReport{Cold: true})
		}, true},
		{"quick answers during a reported cold start", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(1, backoffice.LoadReport{Cold: true})
			h.complete(warmAnswersWithoutBaseline, 100)
		}, true},
		{"slow first tokens without a reported cold start", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.complete(coldSignalThreshold, 600)
		}, true},
		{"one slow first token", func(h *coldStartTimeline) { h.complete(warmAnswersWithoutBaseline, 100); h.complete(1, 600) }, false},
		{"slow and quick answers alternate", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			for range coldSignalThreshold {
				h.complete(1, 600)
				h.complete(1, 100)
			}
		}, false},
		{"slow answers while full", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(1, backoffice.LoadReport{InFlight: 18})
			h.complete(coldSignalThreshold, 600)
		}, false},
		{"refusals while not full", func(h *coldStartTimeline) { h.complete(warmAnswersWithoutBaseline, 100); h.fail(coldSignalThreshold) }, true},
		{"warm again after the second cold start", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.complete(coldSignalThreshold, 600)
			h.complete(warmQuickAnswers, 110)
		}, false},
		{"slow answers do not end a cold start", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(2, backoffice.LoadReport{})
			h.complete(10*warmAnswersWithoutBaseline, 600)
		}, true},
		{"slow incomplete answers", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.start(coldSignalThreshold, 600)
		}, true},
		{"one slow incomplete answer, confirmed by reports", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(1, backoffice.LoadReport{FirstTokenTime: 100})
			h.report(1, backoffice.LoadReport{FirstTokenTime: 200})
			h.report(1, backoffice.LoadReport{FirstTokenTime: 200})
			h.start(1, 600)
		}, true},
		{"a slow answer counts once, at its first token", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.start(coldSignalThreshold-1, 600)
			h.complete(coldSignalThreshold-1, 600)
		}, false},
		{"quick incomplete answers do not end a cold start", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(2, backoffice.LoadReport{})
			h.start(10*warmAnswersWithoutBaseline, 100)
		}, true},
		{"slow reports", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(1, backoffice.LoadReport{FirstTokenTime: 100})
			h.report(1, backoffice.LoadReport{FirstTokenTime: 400})
			h.report(1, backoffice.LoadReport{FirstTokenTime: 400})
		}, true},
		{"slower reports because of a different mix of versions", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(1, backoffice.LoadReport{FirstTokenTime: 100})
			for range 10 {
				h.report(1, backoffice.LoadReport{FirstTokenTime: 250})
			}
		}, false},
		{"slow reports while full", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.report(1, backoffice.LoadReport{FirstTokenTime: 100})
			for range 10 {
				h.report(1, backoffice.LoadReport{FirstTokenTime: 400, InFlight: 15})
			}
		}, false},
		{"verdict of another instance", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.MergeVerdicts([]Verdict{{Upstream: engine, Incarnation: 1, Episode: 2, Cold: true}})
		}, true},
		{"outdated verdict of another instance", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.complete(coldSignalThreshold, 600)
			h.complete(warmQuickAnswers, 100)
			h.MergeVerdicts([]Verdict{{Upstream: engine, Incarnation: 1, Episode: 2, Cold: true}})
		}, false},
		{"another instance finds it warm again", func(h *coldStartTimeline) {
			h.complete(warmAnswersWithoutBaseline, 100)
			h.fail(coldSignalThreshold)
			h.MergeVerdicts([]Verdict{{Upstream: engine, Incarnation: 1, Episode: 3, Limit: 4}})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := &coldStartTimeline{}
			h.report(1, backoffice.LoadReport{})
			tc.steps(h)
			if diff := cmp.Diff(tc.want, h.Cold(engine)); diff != "" {
				t.Errorf("Cold() (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWarmLimitAdapts(t *testing.T) {
	for _, tc := range []struct {
		name      string
		steps     func(h *coldStartTimeline)
		low, high int
	}{
		{"initial limit", func(*coldStartTimeline) {}, initialWarmLimit, initialWarmLimit},
		{"grows to the reported capacity", func(h *coldStartTimeline) {
			for range 20 {
				h.report(1, backoffice.LoadReport{InFlight: 3})
			}
		}, 20, 20},
		{"decreases with repeated refusals", func(h *coldStartTimeline) {
			for range 20 {
				h.report(1, backoffice.LoadReport{InFlight: 19})
			}
			for range 5 {
				h.at += limitChangeInterval
				h.fail(1)
			}
		}, 4, 8},
		{"a burst of refusals counts once", func(h *coldStartTimeline) {
			for range 20 {
				h.report(1, backoffice.LoadReport{InFlight: 19})
			}
			h.fail(8)
		}, 16, 16},
		{"decreases while requests queue at the upstream", func(h *coldStartTimeline) {
			for range 20 {
				h.report(1, backoffice.LoadReport{})
			}
			for range 8 {
				h.report(1, backoffice.LoadReport{InFlight: 20, Queued: 3})
			}
		}, 6, 12},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := &coldStartTimeline{}
			h.report(1, backoffice.LoadReport{})
			h.complete(warmAnswersWithoutBaseline, 100)
			tc.steps(h)
			if got := h.WarmLimit(engine); got < tc.low || got > tc.high {
				t.Errorf("WarmLimit() = %d, want %d to %d", got, tc.low, tc.high)
			}
		})
	}
}
