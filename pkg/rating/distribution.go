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

// distribution has the share of ratings in each step of the score. No share is zero, since the tests take its logarithm.
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
func (r *decayedCounts) distribution() *distribution {
	s := normalDistribution(r.mean(), r.stdDev())
	for i, n := range r.scores {
		s[i] = normalPriorRatings*s[i] + n
	}
	return s.normalize(uniformPriorRatings / (normalPriorRatings + r.rated))
}

// normalize scales the shares so that they add up to 1, of which the part uniform is uniformly distributed.
func (s *distribution) normalize(uniform float64) *distribution {
	uniform = max(minUniformShare, uniform)
	sum := 0.0
	for _, share := range s {
		sum += share
	}
	for i := range s {
		s[i] = (1-uniform)*s[i]/sum + uniform/catalogue.ScoreSteps
	}
	return s
}

// shifted returns the distribution with all ratings lower by drop.
func (s *distribution) shifted(drop float64) *distribution {
	var out distribution
	steps := drop * catalogue.ScoreSteps
	for i, share := range s {
		at := float64(i) - steps
		low := math.Floor(at)
		part := at - low
		out[clampStep(low)] += (1 - part) * share
		out[clampStep(low+1)] += part * share
	}
	return out.normalize(minUniformShare)
}

func (s *distribution) mean() float64 {
	sum := 0.0
	for i, share := range s {
		sum += share * stepMidpoint(i)
	}
	return sum
}

func clampStep(at float64) int { return int(min(catalogue.ScoreSteps-1, max(0, at))) }

// stepMidpoint returns the score in the middle of a step.
func stepMidpoint(at int) float64 { return (float64(at) + 0.5) / catalogue.ScoreSteps }
