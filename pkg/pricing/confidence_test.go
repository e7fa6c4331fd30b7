package pricing

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// headRecorder records the confidence of the answer that the caller receives.
type headRecorder struct {
	request.Writer
	confidence int
}

func (w *headRecorder) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	w.confidence = h.Confidence
	return nil
}

// Pattern: half of the engines are gone, so that prompts of the largest model wait for seconds.
func TestBusyEnginesKeepMoreAnswers(t *testing.T) {
	const target clock.Millis = 3000
	for _, c := range []struct {
		name       string
		wait       clock.Millis
		confidence int
		want       []string
	}{
		{"idle, doubtful answer", 0, 55, []string{"small", "large"}},
		{"some wait, doubtful answer", target / 8, 55, []string{"small"}},
		{"some wait, bad answer", target / 8, 40, []string{"small", "large"}},
		{"the larger model's answer would be late", target / 2, 1, []string{"small"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			leastSuccess := &atomic.Int32{}
			leastSuccess.Store(75)
			f := &ConfidenceCascade{
				Log: logr.Discard(), Clock: clock.NewManual(0), LeastSuccess: leastSuccess, Calibration: &Calibration{}, Budgets: &dispatch.RetryBudgets{Share: 1, Slack: 6},
				ExpectedWait: func(*request.Call, string, float64) clock.Millis { return c.wait },
			}
			call := &request.Call{
				Request: &request.Request{ID: "r", Prompt: &request.Prompt{}, Deadline: 12_000}, Writer: &headRecorder{}, Pool: &catalogue.Pool{Name: "lm"},
				Route: &catalogue.Route{Sizes: []string{"small", "large"}, Streaming: true, Resumable: true, MaxAttempts: 3, Target: target},
			}
			var models []string
			if err := f.Filter(context.Background(), call, request.HandlerFunc(func(ctx context.Context, call *request.Call) error {
				models = append(models, call.Model)
				err := call.Writer.WriteHead(ctx, call, request.Head{Status: 200, Confidence: c.confidence})
				call.Runs++
				return err
			})); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, models); diff != "" {
				t.Errorf("models tried (-want +got):\n%s", diff)
			}
		})
	}
}

func TestConfidenceCascade(t *testing.T) {
	const unknown = -1
	// With the initial noise of confidences this success belongs to a confidence of 60.
	const leastSuccessAtSixty = 84
	costs := map[string]float64{"small": 0.02, "middle": 0.14, "large": 0.29}
	for _, c := range []struct {
		name  string
		model string
		sizes []string
		// confidence is by model; runsBefore is the number of runs before the first answer.
		confidence     map[string]int
		runsBefore     int
		refuses        map[string]bool
		costs          map[string]float64
		want           []string
		wantConfidence int
	}{
		{name: "confident", sizes: []string{"small", "middle", "large"}, confidence: map[string]int{"small": 60}, want: []string{"small"}, wantConfidence: 60},
		{name: "not confident", sizes: []string{"small", "middle", "large"}, confidence: map[string]int{"small": 59, "large": 3}, want: []string{"small", "large"}, wantConfidence: 3},
		{name: "no confidence reported", sizes: []string{"small", "large"}, confidence: map[string]int{"small": unknown}, want: []string{"small"}, wantConfidence: unknown},
		{name: "one model", sizes: []string{"small"}, confidence: map[string]int{"small": 1}, want: []string{"small"}, wantConfidence: 1},
		{name: "the caller names the model", model: "mine", sizes: []string{"small", "large"}, confidence: map[string]int{"mine": 1}, want: []string{"mine"}, wantConfidence: 1},
		{name: "no attempt is left for the larger model", sizes: []string{"small", "large"}, confidence: map[string]int{"small": 1}, runsBefore: 2, want: []string{"small"}, wantConfidence: 1},
		{name: "middle model is cheaper", sizes: []string{"small", "middle", "large"}, costs: costs, confidence: map[string]int{"small": 55, "middle": 70}, want: []string{"small", "middle"}, wantConfidence: 70},
		{name: "middle model is not up to it either", sizes: []string{"small", "middle", "large"}, costs: costs, confidence: map[string]int{"small": 55, "middle": 50, "large": 90}, want: []string{"small", "middle", "large"}, wantConfidence: 90},
		{name: "middle model would probably fail", sizes: []string{"small", "middle", "large"}, costs: costs, confidence: map[string]int{"small": 30, "large": 90}, want: []string{"small", "large"}, wantConfidence: 90},
		{name: "one attempt is left, so that the middle model could not be followed", sizes: []string{"small", "middle", "large"}, costs: costs, confidence: map[string]int{"small": 55, "large": 90}, runsBefore: 1, want: []string{"small", "large"}, wantConfidence: 90},
		{name: "the larger model is refused, so the small one is tried again", sizes: []string{"small", "large"}, confidence: map[string]int{"small": 1}, refuses: map[string]bool{"large": true}, want: []string{"small", "large", "small"}, wantConfidence: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			leastSuccess := &atomic.Int32{}
			leastSuccess.Store(leastSuccessAtSixty)
			f := &ConfidenceCascade{Log: logr.Discard(), Clock: clock.NewManual(0), LeastSuccess: leastSuccess, Calibration: &Calibration{}, Budgets: &dispatch.RetryBudgets{Share: 1, Slack: 6}}
			w := &headRecorder{confidence: -2}
			call := &request.Call{
				Request: &request.Request{ID: "r", Prompt: &request.Prompt{Model: c.model}}, Writer: w, Pool: &catalogue.Pool{Name: "lm"},
				Route: &catalogue.Route{Sizes: c.sizes, Streaming: true, Resumable: true, MaxAttempts: 3}, Runs: c.runsBefore,
			}
			if c.costs != nil {
				call.Pool.ModelCosts = c.costs
			}
			var models []string
			err := f.Filter(context.Background(), call, request.HandlerFunc(func(ctx context.Context, call *request.Call) error {
				models = append(models, call.Model)
				if c.refuses[call.Model] {
					return request.Refuse(request.ReasonNoUpstream, 0, "none")
				}
				err := call.Writer.WriteHead(ctx, call, request.Head{Status: 200, Confidence: c.confidence[call.Model]})
				call.Runs++
				return err
			}))
			if err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(c.want, models); diff != "" {
				t.Errorf("models tried (-want +got):\n%s", diff)
			}
			if w.confidence != c.wantConfidence {
				t.Errorf("the caller got an answer with confidence %d, want %d", w.confidence, c.wantConfidence)
			}
		})
	}
}

// A call that went back to the smallest model sent one request more than its retry budget had paid for.
func TestGoingBackIsPaidForBeforeAnAnswerIsDropped(t *testing.T) {
	for _, c := range []struct {
		name     string
		retries  int
		refused  bool
		want     []string
		wantLeft int
	}{
		{"nothing left for going back", 1, true, []string{"small"}, 1},
		{"the larger model is refused", 2, true, []string{"small", "large", "small"}, 0},
		{"the larger model answers", 2, false, []string{"small", "large"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			leastSuccess := &atomic.Int32{}
			leastSuccess.Store(75)
			budgets := &dispatch.RetryBudgets{Slack: float64(2 * c.retries)}
			f := &ConfidenceCascade{Log: logr.Discard(), Clock: clock.NewManual(0), LeastSuccess: leastSuccess, Calibration: &Calibration{}, Budgets: budgets}
			call := &request.Call{
				Request: &request.Request{ID: "r", Prompt: &request.Prompt{}}, Writer: &headRecorder{}, Pool: &catalogue.Pool{Name: "lm"},
				Route: &catalogue.Route{Sizes: []string{"small", "large"}, Streaming: true, Resumable: true, MaxAttempts: 3},
			}
			var models []string
			err := f.Filter(context.Background(), call, request.HandlerFunc(func(ctx context.Context, call *request.Call) error {
				models = append(models, call.Model)
				if c.refused && call.Model == "large" {
					return request.Refuse(request.ReasonNoUpstream, 0, "none")
				}
				err := call.Writer.WriteHead(ctx, call, request.Head{Status: 200, Confidence: 1})
				call.Runs++
				if call.Model == "large" && !budgets.TryWithdraw("lm", 0) {
					t.Error("the way back is still reserved when the answer has begun")
				}
				return err
			}))
			if err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(c.want, models); diff != "" {
				t.Errorf("models tried (-want +got):\n%s", diff)
			}
			left := 0
			for budgets.TryWithdraw("lm", 0) {
				left++
			}
			if left != c.wantLeft {
				t.Errorf("%d retries are left, want %d", left, c.wantLeft)
			}
		})
	}
}
