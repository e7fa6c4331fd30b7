package rating

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const (
	// bellRatings is how many ratings the assumption counts as that ratings lie in a bell around their mean.
	bellRatings = 20.0
	// assumedDeviation is the standard deviation of ratings before it is known, and leastDeviation the least one.
	assumedDeviation = 0.15
	leastDeviation   = 0.05
	// oddRatings is how many ratings the assumption counts as that ratings may lie anywhere,
	// and leastOdd is the least share of ratings that may.
	oddRatings = 2.0
	leastOdd   = 0.004
)

// spread is a distribution of ratings: the share of them in each step of the score. No share is zero.
type spread [catalogue.ScoreSteps]float64

// bell returns a bell around the mean.
func bell(mean, deviation float64) *spread {
	var s spread
	for i := range s {
		d := (middle(i) - mean) / deviation
		s[i] = math.Exp(-d * d / 2)
	}
	return s.whole(oddRatings / bellRatings)
}

// spread returns the distribution of the ratings, smoothed by a bell.
func (r *recent) spread() *spread {
	s := bell(r.mean(), r.deviation())
	for i, n := range r.scores {
		s[i] = bellRatings*s[i] + n
	}
	return s.whole(oddRatings / (bellRatings + r.rated))
}

// whole makes the shares add up to 1, of which the part odd lies anywhere.
func (s *spread) whole(odd float64) *spread {
	odd = max(leastOdd, odd)
	sum := 0.0
	for _, share := range s {
		sum += share
	}
	for i := range s {
		s[i] = (1-odd)*s[i]/sum + odd/catalogue.ScoreSteps
	}
	return s
}

// shifted returns the distribution with all ratings lower by drop.
func (s *spread) shifted(drop float64) *spread {
	var out spread
	steps := drop * catalogue.ScoreSteps
	for i, share := range s {
		at := float64(i) - steps
		low := math.Floor(at)
		part := at - low
		out[clampStep(low)] += (1 - part) * share
		out[clampStep(low+1)] += part * share
	}
	return out.whole(leastOdd)
}

func (s *spread) mean() float64 {
	sum := 0.0
	for i, share := range s {
		sum += share * middle(i)
	}
	return sum
}

func clampStep(at float64) int { return int(min(catalogue.ScoreSteps-1, max(0, at))) }

// middle is the score in the middle of a step.
func middle(at int) float64 { return (float64(at) + 0.5) / catalogue.ScoreSteps }
