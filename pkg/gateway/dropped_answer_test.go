package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/pricing"
	"carawayknot.example/carawayknot/pkg/request"
)

// An answer was dropped for that of a larger model, and the request refused because all upstreams were full for a moment then.
func TestDroppedAnswerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const busy = 1500 * time.Millisecond
		route := catalogue.Route{Streaming: true, Resumable: true, MaxAttempts: 3, Target: 2000, GapTarget: 1000, Sizes: []string{"small", "large"}}
		scripts := map[string]*scriptedUpstream{
			"u1:1": {declinesAfter: 1, busyFor: busy}, "u2:1": {declinesUntil: busy}, "u3:1": {declinesUntil: busy}, "u4:1": {declinesUntil: busy},
		}
		chain, call, w := silenceChain(route, scripts)
		call.Request.Prompt = &request.Prompt{Tokens: 100}
		budgets := &dispatch.RetryBudgets{Share: 5}
		budgets.Deposit("lm", 0)
		var leastSuccess atomic.Int32
		leastSuccess.Store(75)
		cascade := &pricing.ConfidenceCascade{Log: logr.Discard(), LeastSuccess: &leastSuccess, Calibration: &pricing.Calibration{}, Budgets: budgets}
		err := cascade.Filter(t.Context(), call, chain)
		time.Sleep(busy)
		if err != nil || !w.end {
			t.Errorf("ended %t with error %v after %d runs, want a whole answer", w.end, err, call.Runs)
		}
	})
}
