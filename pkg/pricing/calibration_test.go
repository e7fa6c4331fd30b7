package pricing

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCalibrationLearnsFromDroppedAnswers has requests of all difficulties and models whose confidences vary by chance, as at engines
// that nothing is known about: the share of requests that a model turns out to be up to has to match the predicted one.
func TestCalibrationLearnsFromDroppedAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		// slope is the change of confidence from the easiest to the hardest request, noise its standard deviation.
		slope, noise float64
		small, large float64
	}{
		{"steep and exact", 170, 4, 0.56, 0.65},
		{"steep and noisy", 170, 12, 0.56, 0.7},
		{"flat", 60, 6, 0.4, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 5))
			report := func(ability, difficulty float64) int {
				v := evenConfidence + c.slope*(ability-difficulty) + c.noise*rng.NormFloat64()
				return int(math.Round(min(max(0, v), maxConfidence)))
			}
			k := &Calibration{}
			for range 400 {
				difficulty := rng.Float64()
				if first := report(c.small, difficulty); first < 60 && first > 25 {
					k.Record("lm", "small", "large", first, report(c.large, difficulty))
				}
			}
			if got := k.Noise("lm"); math.Abs(got-c.noise) > 0.25*c.noise+1 {
				t.Errorf("Noise() = %.1f, want about %.1f", got, c.noise)
			}
			var n, predicted, actual float64
			for range 20_000 {
				difficulty := rng.Float64()
				first := report(c.small, difficulty)
				if first < 30 || first > 60 {
					continue
				}
				n++
				predicted += k.LargerSuccess("lm", "small", "large", first)
				if difficulty <= c.large {
					actual++
				}
			}
			if math.Abs(predicted-actual) > 0.1*n {
				t.Errorf("the larger model is up to %.2f of the requests, predicted %.2f", actual/n, predicted/n)
			}
		})
	}
}

func TestCalibrationIgnoresAbsurdFigures(t *testing.T) {
	k := &Calibration{}
	for range 50 {
		k.Record("lm", "small", "large", 45, 60)
	}
	want := map[string]float32{}
	k.AddOwn(want)
	for _, pair := range [][2]int{{-1, 60}, {45, -1}, {0, 60}, {45, 100}, {45, 1 << 30}, {math.MinInt, math.MaxInt}} {
		k.Record("lm", "small", "large", pair[0], pair[1])
	}
	got := map[string]float32{}
	k.AddOwn(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sums after absurd confidences (-want +got):\n%s", diff)
	}
	success := k.LargerSuccess("lm", "small", "large", 45)
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, items := range []map[string]float32{
		{"confidence lm small large n": nan, "confidence lm small large sum": 1, "confidence lm small large squares": 1},
		{"confidence lm small large n": 5, "confidence lm small large sum": inf, "confidence lm small large squares": 1},
		{"confidence lm small large n": 5, "confidence lm small large sum": 5, "confidence lm small large squares": nan},
		{"confidence lm small large n": 5, "confidence lm small large sum": 400, "confidence lm small large squares": 1},
		{"confidence lm small large n": -5}, {"confidence n": 5}, {"other": 1},
	} {
		k.SetPeers(items)
		if got := k.LargerSuccess("lm", "small", "large", 45); got != success {
			t.Errorf("LargerSuccess() = %g with %v from a peer, want %g as before", got, items, success)
		}
	}
}

// TestCalibrationOfPeers has an instance that was just started: it gets what the others have learned with their first report.
func TestCalibrationOfPeers(t *testing.T) {
	experienced, fresh := &Calibration{}, &Calibration{}
	for i := range 100 {
		experienced.Record("lm", "small", "large", 40, 52+i%7)
	}
	items := map[string]float32{"v2 requests": 7}
	experienced.AddOwn(items)
	fresh.SetPeers(items)
	if got, want := fresh.LargerSuccess("lm", "small", "large", 40), experienced.LargerSuccess("lm", "small", "large", 40); math.Abs(got-want) > 1e-3 {
		t.Errorf("LargerSuccess() of the fresh instance = %g, want %g", got, want)
	}
	fresh.SetPeers(nil)
	if got := fresh.LargerSuccess("lm", "small", "large", 40); got >= 0.5 {
		t.Errorf("LargerSuccess() = %g before anything was observed, want the cautious initial value below 0.5", got)
	}
}
