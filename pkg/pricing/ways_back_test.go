package pricing

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// largerModels plays calls of a service one after the other, of which each waits for its larger model while the next ones begin.
type largerModels struct {
	clock   *clock.Manual
	budgets *dispatch.RetryBudgets
	cascade *ConfidenceCascade
}

func newLargerModels(slack float64) *largerModels {
	leastSuccess := &atomic.Int32{}
	leastSuccess.Store(75)
	m := &largerModels{clock: clock.NewManual(0), budgets: &dispatch.RetryBudgets{Slack: slack}}
	m.cascade = &ConfidenceCascade{Log: logr.Discard(), Clock: m.clock, LeastSuccess: leastSuccess, Calibration: &Calibration{}, Budgets: m.budgets}
	return m
}

// callWith runs one call whose larger model is refused or not, with other calls run while the larger model is awaited; it returns the
// models that were tried.
func (m *largerModels) callWith(t *testing.T, refused bool, others func()) (models []string) {
	t.Helper()
	call := &request.Call{
		Request: &request.Request{ID: "r", Prompt: &request.Prompt{}}, Writer: &headRecorder{}, Pool: &catalogue.Pool{Name: "lm"},
		Route: &catalogue.Route{Sizes: []string{"small", "large"}, Streaming: true, Resumable: true, MaxAttempts: 3},
	}
	err := m.cascade.Filter(context.Background(), call, request.HandlerFunc(func(ctx context.Context, call *request.Call) error {
		models = append(models, call.Model)
		if call.Model == "large" {
			if others != nil {
				others()
			}
			if refused {
				return request.Refuse(request.ReasonNoUpstream, 0, "none")
			}
		}
		err := call.Writer.WriteHead(ctx, call, request.Head{Status: 200, Confidence: 1})
		call.Runs++
		return err
	}))
	if err != nil && !refused {
		t.Error(err)
	}
	return models
}

// Pattern: many answers are dropped for larger models, none of which is refused, and the budget of the service allows few retries. What
// is set aside for going back must not keep other calls from their larger model.
func TestReservedWaysBackLeaveRoomForLargerModels(t *testing.T) {
	const warmUp, concurrent = 60, 20
	m := newLargerModels(2 * (warmUp + 1.5*concurrent))
	for range warmUp {
		m.callWith(t, false, nil)
	}
	larger := 0
	var nest func(depth int)
	nest = func(depth int) {
		if depth == 0 {
			return
		}
		if models := m.callWith(t, false, func() { nest(depth - 1) }); len(models) == 2 {
			larger++
		}
	}
	nest(concurrent)
	if larger != concurrent {
		t.Errorf("%d of %d concurrent calls got their larger model, want all: the budget has one and a half retries for each", larger, concurrent)
	}
}

// Pattern: the larger models of a service are refused suddenly, and accepted again after a while. No arrival may exceed the budget, and
// all but a few calls must still get an answer.
func TestWaysBackKeepTheBudgetWhenLargerModelsFail(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		slack := 100 + float64(rng.IntN(200))
		m := newLargerModels(slack)
		sent, lost, calls := 0, 0, 0
		for i := range 400 {
			failing := i > 100 && i < 200
			models := m.callWith(t, failing && rng.Float64() < 0.9, nil)
			calls++
			sent += len(models) - 1
			if models[len(models)-1] == "large" && failing && len(models) == 2 {
				lost++
			}
		}
		if float64(sent) > slack/2 {
			t.Errorf("seed %d: %d arrivals beyond the first of each call, want at most %.0f", seed, sent, slack/2)
		}
		if lost > calls/20 {
			t.Errorf("seed %d: %d calls had their answer dropped and did not go back, want at most %d", seed, lost, calls/20)
		}
	}
}
