package pricing

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// taker takes the head of an answer.
type taker struct {
	request.Writer
	confidence int
}

func (w *taker) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	w.confidence = h.Confidence
	return nil
}

func TestSizes(t *testing.T) {
	const unknown = -1
	for _, c := range []struct {
		name  string
		model string
		sizes []string
		// confidence has that of each model, and before counts the runs before the first answer.
		confidence map[string]int
		before     int
		budget     float64
		refuse     map[string]bool
		want       []string
		took       int
	}{
		{name: "sure", sizes: []string{"small", "middle", "large"}, confidence: map[string]int{"small": 60}, want: []string{"small"}, took: 60},
		{name: "unsure", sizes: []string{"small", "middle", "large"}, confidence: map[string]int{"small": 59, "large": 3}, want: []string{"small", "large"}, took: 3},
		{name: "no confidence told", sizes: []string{"small", "large"}, confidence: map[string]int{"small": unknown}, want: []string{"small"}, took: unknown},
		{name: "one size", sizes: []string{"small"}, confidence: map[string]int{"small": 1}, want: []string{"small"}, took: 1},
		{name: "the caller names the model", model: "mine", sizes: []string{"small", "large"}, confidence: map[string]int{"mine": 1}, want: []string{"mine"}, took: 1},
		{name: "no attempt is left for a larger one", sizes: []string{"small", "large"}, confidence: map[string]int{"small": 1}, before: 2, want: []string{"small"}, took: 1},
		{name: "an unsure answer is better than none", sizes: []string{"small", "large"}, confidence: map[string]int{"small": 1}, refuse: map[string]bool{"large": true}, want: []string{"small", "large", "small"}, took: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			least := &atomic.Int32{}
			least.Store(60)
			f := &Sizes{Log: logr.Discard(), Least: least, Budgets: &dispatch.Budgets{Share: 1}}
			w := &taker{confidence: -2}
			call := &request.Call{
				Request: &request.Request{ID: "r", Prompt: &request.Prompt{Model: c.model}}, Writer: w, Pool: &catalogue.Pool{Name: "lm"},
				Route: &catalogue.Route{Sizes: c.sizes, MaxAttempts: 3}, Runs: c.before,
			}
			var asked []string
			err := f.Filter(context.Background(), call, request.HandlerFunc(func(ctx context.Context, call *request.Call) error {
				asked = append(asked, call.Model)
				if c.refuse[call.Model] {
					return request.Refuse(request.ReasonNoUpstream, 0, "none")
				}
				err := call.Writer.WriteHead(ctx, call, request.Head{Status: 200, Confidence: c.confidence[call.Model]})
				call.Runs++
				return err
			}))
			if err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(c.want, asked); diff != "" {
				t.Errorf("models (-want +got):\n%s", diff)
			}
			if w.confidence != c.took {
				t.Errorf("the caller got an answer of confidence %d, want %d", w.confidence, c.took)
			}
		})
	}
}
