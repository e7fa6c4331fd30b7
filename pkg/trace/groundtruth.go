package trace

import (
	"math"
	"strconv"

	"gonum.org/v1/gonum/stat/distuv"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// quantilePoints is the number of quantiles that approximate a distribution.
const quantilePoints = 2000

// ratingDistribution is the true distribution of the ratings of a version for a task, a normal distribution clamped to [0, 1].
type ratingDistribution struct {
	mean      float64
	deviation float64
	// clampedMean is the mean after clamping, and bucketShares has the share of the ratings in each score bucket.
	clampedMean  float64
	bucketShares [catalogue.ScoreSteps]float64
}

func newRatingDistribution(mean, deviation float64) *ratingDistribution {
	d := &ratingDistribution{mean: mean, deviation: deviation}
	for i := range quantilePoints {
		s := d.quantile((float64(i) + 0.5) / quantilePoints)
		d.clampedMean += s / quantilePoints
		d.bucketShares[scoreBucket(s)] += 1.0 / quantilePoints
	}
	return d
}

// quantile returns the p-quantile of the ratings.
func (d *ratingDistribution) quantile(p float64) float64 {
	n := distuv.Normal{Mu: d.mean, Sigma: d.deviation}
	return math.Min(1, math.Max(0, n.Quantile(p)))
}

func scoreBucket(score float64) int {
	return min(catalogue.ScoreSteps-1, int(score*catalogue.ScoreSteps))
}

// seededFraction returns a pseudo-random number in [0, 1) that depends only on the seed of the trace, the purpose and the key.
func (t *Trace) seededFraction(purpose, key string) float64 {
	return request.HashFraction(purpose+strconv.FormatUint(t.Seed, 10), key)
}

// trueScore returns the rating of an answer of the version; it is the same whichever policy chose the version.
func (env *environment) trueScore(r *Request, k catalogue.HealthKey) float64 {
	p := env.trace.seededFraction("score", r.ID+string(k.Version))
	return env.groundTruth(k).quantile(math.Max(p, 1e-9))
}

// groundTruth returns the current true distribution, or a default one for a version or task that the trace lacks.
func (env *environment) groundTruth(k catalogue.HealthKey) *ratingDistribution {
	if d := env.truths[k]; d != nil {
		return d
	}
	return env.defaultTruth
}

// shiftQuality adds delta to the mean of the true distributions of the version.
func (env *environment) shiftQuality(id catalogue.VersionID, delta float64) {
	for k, d := range env.truths {
		if k.Version == id {
			env.truths[k] = newRatingDistribution(d.mean+delta, d.deviation)
		}
	}
	env.shiftedAt[id] = env.loop.clock.Now()
}
