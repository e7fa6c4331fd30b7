package pricing

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// eachCascade considers the cascade of each two versions.
func eachCascade(from []Estimate, l *Limits, consider func(Plan)) {
	for i := range from {
		for j := range from {
			cheap, good := &from[i], &from[j]
			if price(cheap, l.InputTokens, cheap.Tokens) >= price(good, l.InputTokens, good.Tokens) {
				continue
			}
			if p, ok := cascade(cheap, good, l); ok {
				consider(p)
			}
		}
	}
}

// cascade returns the plan that tries cheap first and asks good no more often than the quality needs; false when none does.
func cascade(cheap, good *Estimate, l *Limits) (Plan, bool) {
	for i := range cheap.Scores {
		if outcomeAt(cheap, good, i, 1).lower() < l.Quality {
			continue
		}
		part := leastPart(cheap, good, i, l.Quality)
		threshold := (float64(i) + part) / catalogue.ScoreSteps
		return twoSteps(cheap, good, l, outcomeAt(cheap, good, i, part), threshold), true
	}
	return Plan{}, false
}

// halvings is how often the part of a step is halved.
const halvings = 8

// leastPart returns about the least part of step i that meets the quality; the whole of it does.
func leastPart(cheap, good *Estimate, i int, quality float64) float64 {
	low, high := 0.0, 1.0
	for range halvings {
		middle := (low + high) / 2
		if outcomeAt(cheap, good, i, middle).lower() < quality {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// outcome is what a cascade with some threshold gives.
type outcome struct {
	// below is the share of answers of the first step that are not good enough.
	below float64
	// quality is the expected rating, and errorOf the standard error of that expectation.
	quality float64
	errorOf float64
}

// outcomeAt returns the outcome when all answers of the steps before i, and the part of those of step i, are not good enough.
func outcomeAt(cheap, good *Estimate, i int, part float64) outcome {
	var o outcome
	var squares float64
	for at, share := range cheap.Scores {
		asked := 0.0
		switch {
		case at < i:
			asked = share
		case at == i:
			asked = part * share
		}
		kept := share - asked
		o.below += asked
		o.quality += asked*good.Mean + kept*scoreMiddles[at]
		squares += asked*good.Mean*good.Mean + kept*scoreMiddles[at]*scoreMiddles[at]
	}
	variance := max(0, squares-o.quality*o.quality) / (priorRatings + float64(cheap.Rated))
	goodError := o.below * good.Deviation
	variance += goodError * goodError / (priorRatings + float64(good.Rated))
	o.errorOf = math.Sqrt(variance)
	return o
}

// lower is the lower confidence bound of the expected rating.
func (o outcome) lower() float64 { return o.quality - boundWidth*o.errorOf }

func twoSteps(cheap, good *Estimate, l *Limits, o outcome, threshold float64) Plan {
	one, two := Single(cheap, l), Single(good, l)
	return Plan{
		Steps:    []Step{{Version: cheap.Version, Threshold: threshold}, {Version: good.Version}},
		Quality:  o.lower(),
		Cost:     one.Cost + o.below*two.Cost,
		MostCost: one.MostCost + two.MostCost,
		Time:     one.Time + rateTime + two.Time,
	}
}
