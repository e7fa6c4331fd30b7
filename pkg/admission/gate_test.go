package admission

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// refusedShare returns the share of calls that is refused at a wait, over many draws.
func refusedShare(u Urgency, wait, left clock.Millis) float64 {
	const draws = 100
	refused := 0
	for i := range draws {
		if Decide(u, wait, left, (float64(i)+0.5)/draws).Refused {
			refused++
		}
	}
	return float64(refused) / draws
}

func TestSharesRefusedUnderNamedLoads(t *testing.T) {
	urgency := func(rank int) Urgency { return Urgency{Rank: rank, Ranks: 3, Target: 1000} }
	tests := []struct {
		name string
		wait clock.Millis
		// want has the share that is refused of each urgency, the most urgent first; all have 15 s left.
		want [3]float64
	}{
		{"idle upstreams", 0, [3]float64{}},
		{"a burst that the most urgent calls bear", 900, [3]float64{}},
		{"a burst under which the most urgent calls are late", 1500, [3]float64{0, 0.25, 0.5}},
		{"a burst of four times the room", 6000, [3]float64{0, 0.6, 0.6}},
		{"no answer before any deadline", 15000, [3]float64{1, 1, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got [3]float64
			for rank := range got {
				got[rank] = refusedShare(urgency(rank), test.wait, 15*clock.Second)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("refused shares differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEquallyUrgentCallsGiveWayToNone(t *testing.T) {
	if got := refusedShare(Urgency{Ranks: 1, Target: 1000}, 5000, 15*clock.Second); got != 0 {
		t.Errorf("refused share = %v, want 0", got)
	}
}

func TestRetryAfterIsSpreadAndBounded(t *testing.T) {
	var got []clock.Millis
	for _, draw := range []float64{0, 0.5, 1} {
		got = append(got, retryAfter(2000, draw))
	}
	got = append(got, retryAfter(10, 0), retryAfter(60*clock.Second, 0))
	if diff := cmp.Diff([]clock.Millis{1500, 2000, 2500, minRetryAfter, maxRetryAfter}, got); diff != "" {
		t.Errorf("retryAfter() differs (-want +got):\n%s", diff)
	}
}

func TestGateRefusesBeforeAnythingIsSent(t *testing.T) {
	pool := &catalogue.Pool{Name: "models"}
	newCall := func() *request.Call {
		return &request.Call{
			Request: &request.Request{ID: "r", Deadline: 4000, Prompt: &request.Prompt{Tokens: 10}},
			Route:   &catalogue.Route{Sizes: []string{"small", "large"}},
		}
	}
	tests := []struct {
		name   string
		wait   clock.Millis
		change func(c *request.Call)
		pool   *catalogue.Pool
		want   string
	}{
		{"room", 100, nil, pool, "passed on with small"},
		{"no room before the deadline", 5000, nil, pool, "NotRun Overloaded"},
		{"a plain call", 5000, func(c *request.Call) { c.Request.Prompt = nil }, pool, "passed on"},
		{"a call of another instance", 5000, func(c *request.Call) { c.Request.HandedOver = true }, pool, "passed on"},
		{"an unknown service", 5000, nil, nil, "passed on"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, model := "", ""
			g := &Gate{
				Clock: clock.NewManual(1000), Log: logr.Discard(),
				Pool:    func(*request.Call) *catalogue.Pool { return test.pool },
				Urgency: func(*request.Call) Urgency { return Urgency{Ranks: 1} },
				ExpectedWait: func(_ *request.Call, m string, _ float64) clock.Millis {
					model = " with " + m
					return test.wait
				},
			}
			c := newCall()
			if test.change != nil {
				test.change(c)
			}
			err := g.Filter(t.Context(), c, request.HandlerFunc(func(context.Context, *request.Call) error {
				got = "passed on" + model
				return nil
			}))
			var r *request.Refusal
			if errors.As(err, &r) {
				got = fmt.Sprintf("%s %s", r.Outcome, r.Reason)
			}
			if got != test.want {
				t.Errorf("Filter() = %q, want %q", got, test.want)
			}
		})
	}
}
