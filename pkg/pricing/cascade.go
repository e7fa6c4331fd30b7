package pricing

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// eachCascade calls consider with the cascade of each pair of a cheaper and a more expensive version that can meet the quality.
func eachCascade(estimates []Estimate, l *Limits, consider func(Plan)) {
	for i := range estimates {
		for j := range estimates {
			cheap, strong := &estimates[i], &estimates[j]
			if tokenCost(cheap, l.InputTokens, cheap.Tokens) >= tokenCost(strong, l.InputTokens, strong.Tokens) {
				continue
			}
			if p, ok := cascade(cheap, strong, l); ok {
				consider(p)
			}
		}
	}
}

// cascade returns the plan that tries cheap first and escalates to strong only as often as the quality requires. It returns false
// when no threshold meets the quality.
func cascade(cheap, strong *Estimate, l *Limits) (Plan, bool) {
	for i := range cheap.Scores {
		if outcomeAt(cheap, strong, i, 1).lowerBound() < l.Quality {
			continue
		}
		fraction := minEscalatedFraction(cheap, strong, i, l.Quality)
		threshold := (float64(i) + fraction) / catalogue.ScoreSteps
		return cascadePlan(cheap, strong, l, outcomeAt(cheap, strong, i, fraction), threshold), true
	}
	return Plan{}, false
}

// bisectionSteps narrows the escalated fraction of a score step down to 1/256.
const bisectionSteps = 8

// minEscalatedFraction returns approximately the smallest fraction of score step i that must be escalated to meet the quality.
// Escalating the whole step is known to meet it.
func minEscalatedFraction(cheap, strong *Estimate, i int, quality float64) float64 {
	low, high := 0.0, 1.0
	for range bisectionSteps {
		mid := (low + high) / 2
		if outcomeAt(cheap, strong, i, mid).lowerBound() < quality {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// cascadeOutcome is the expected result of a cascade for a given threshold.
type cascadeOutcome struct {
	// escalatedShare is the share of the cheap version's answers that are rated below the threshold.
	escalatedShare float64
	// quality is the expected rating, and stdErr its standard error.
	quality float64
	stdErr  float64
}

// outcomeAt returns the outcome when all answers in score steps below i, and the given fraction of those in step i, are escalated.
func outcomeAt(cheap, strong *Estimate, i int, fraction float64) cascadeOutcome {
	var o cascadeOutcome
	var squares float64
	for at, share := range cheap.Scores {
		escalated := 0.0
		switch {
		case at < i:
			escalated = share
		case at == i:
			escalated = fraction * share
		}
		kept := share - escalated
		o.escalatedShare += escalated
		o.quality += escalated*strong.Mean + kept*scoreMidpoints[at]
		squares += escalated*strong.Mean*strong.Mean + kept*scoreMidpoints[at]*scoreMidpoints[at]
	}
	variance := max(0, squares-o.quality*o.quality) / (priorRatings + float64(cheap.Rated))
	strongError := o.escalatedShare * strong.Deviation
	variance += strongError * strongError / (priorRatings + float64(strong.Rated))
	o.stdErr = math.Sqrt(variance)
	return o
}

// lowerBound returns the lower confidence bound of the expected rating.
func (o cascadeOutcome) lowerBound() float64 { return o.quality - boundStdErrs*o.stdErr }

func cascadePlan(cheap, strong *Estimate, l *Limits, o cascadeOutcome, threshold float64) Plan {
	one, two := SingleStep(cheap, l), SingleStep(strong, l)
	return Plan{
		Steps:         []Step{{Version: cheap.Version, Threshold: threshold}, {Version: strong.Version}},
		Quality:       o.lowerBound(),
		Cost:          one.Cost + o.escalatedShare*two.Cost,
		WorstCaseCost: one.WorstCaseCost + two.WorstCaseCost,
		Time:          one.Time + ratingMillis + two.Time,
	}
}
