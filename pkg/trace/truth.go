package trace

import (
	"math"
	"strconv"

	"gonum.org/v1/gonum/stat/distuv"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// quantiles is how many points of a distribution are added up for its mean.
const quantiles = 2000

// distribution is the true distribution of the ratings of a version for a task.
type distribution struct {
	mean      float64
	deviation float64
	// expected is the mean after the cut at 0 and 1, and shares are the ratings by score.
	expected float64
	shares   [catalogue.ScoreSteps]float64
}

func newDistribution(mean, deviation float64) *distribution {
	d := &distribution{mean: mean, deviation: deviation}
	for i := range quantiles {
		s := d.at((float64(i) + 0.5) / quantiles)
		d.expected += s / quantiles
		d.shares[scoreStep(s)] += 1.0 / quantiles
	}
	return d
}

// at returns the rating below which the part p of the ratings lies.
func (d *distribution) at(p float64) float64 {
	n := distuv.Normal{Mu: d.mean, Sigma: d.deviation}
	return math.Min(1, math.Max(0, n.Quantile(p)))
}

func scoreStep(score float64) int {
	return min(catalogue.ScoreSteps-1, int(score*catalogue.ScoreSteps))
}

// fraction draws a number from 0 up to 1 that depends on nothing but the seed of the trace, the use and the key.
func (t *Trace) fraction(use, key string) float64 {
	return request.Fraction(use+strconv.FormatUint(t.Seed, 10), key)
}

// score returns the rating that an answer of the version gets; it is the same whichever policy chose the version.
func (w *world) score(r *Request, k catalogue.HealthKey) float64 {
	p := w.trace.fraction("score", r.ID+string(k.Version))
	return w.truth(k).at(math.Max(p, 1e-9))
}

// truth returns the true distribution as of now.
func (w *world) truth(k catalogue.HealthKey) *distribution {
	if d := w.truths[k]; d != nil {
		return d
	}
	return w.unknown
}

// turn changes what the version really gives.
func (w *world) turn(id catalogue.VersionID, change float64) {
	for k, d := range w.truths {
		if k.Version == id {
			w.truths[k] = newDistribution(d.mean+change, d.deviation)
		}
	}
	w.turned[id] = w.loop.clock.Now()
}
