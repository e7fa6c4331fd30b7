package rating

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const (
	// normalPriorRatings is the weight, in ratings, of the prior that ratings are normally distributed.
	normalPriorRatings = 20.0
	// assumedStdDev is the standard deviation of ratings before there are any.
	assumedStdDev = 0.15
	minStdDev     = 0.05
	// uniformPriorRatings is the weight, in ratings, of the prior that ratings are uniformly distributed, and minUniformShare
	// the least share of it in a distribution.
	uniformPriorRatings = 2.0
	minUniformShare     = 0.004
)

// distribution has the share of ratings in each step of the score; the shares add up to 1. No share is zero, since the tests take
// its logarithm.
type distribution [catalogue.ScoreSteps]float64

// normalDistribution returns a normal distribution mixed with a small uniform one.
func normalDistribution(mean, stdDev float64) *distribution {
	var s distribution
	for i := range s {
		d := (stepMidpoint(i) - mean) / stdDev
		s[i] = math.Exp(-d * d / 2)
	}
	return s.normalize(uniformPriorRatings / normalPriorRatings)
}

// distribution returns the distribution of the ratings, smoothed by a normal and a uniform prior.
func (c *decayedCounts) distribution() *distribution {
	s := normalDistribution(c.mean(), c.stdDev())
	for i, n := range c.scores {
		s[i] = normalPriorRatings*s[i] + n
	}
	return s.normalize(uniformPriorRatings / (normalPriorRatings + c.rated))
}

// normalize scales the shares so that they add up to 1, of which the part uniform is uniformly distributed.
func (d *distribution) normalize(uniform float64) *distribution {
	uniform = max(minUniformShare, uniform)
	sum := 0.0
	for _, share := range d {
		sum += share
	}
	for i := range d {
		d[i] = (1-uniform)*d[i]/sum + uniform/catalogue.ScoreSteps
	}
	return d
}

// shifted returns the distribution with all ratings lower by drop.
func (d *distribution) shifted(drop float64) *distribution {
	var out distribution
	steps := drop * catalogue.ScoreSteps
	for i, share := range d {
		at := float64(i) - steps
		low := math.Floor(at)
		part := at - low
		out[clampStep(low)] += (1 - part) * share
		out[clampStep(low+1)] += part * share
	}
	return out.normalize(minUniformShare)
}

func (d *distribution) mean() float64 {
	sum := 0.0
	for i, share := range d {
		sum += share * stepMidpoint(i)
	}
	return sum
}

func clampStep(at float64) int { return int(min(catalogue.ScoreSteps-1, max(0, at))) }

// stepMidpoint returns the score in the middle of a step.
func stepMidpoint(at int) float64 { return (float64(at) + 0.5) / catalogue.ScoreSteps }
