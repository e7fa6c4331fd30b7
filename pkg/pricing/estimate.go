package pricing

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// priorRatings is how many ratings the operator's estimate counts as.
	priorRatings = 20.0
	// unknownQuality is the estimate for a version of which the operator says nothing.
	unknownQuality = 0.5
	// priorDeviation is the standard deviation of ratings before any is in.
	priorDeviation = 0.15
	// boundWidth is how many standard errors lie between an estimate and its bounds.
	boundWidth = 1.28
	// provedRatings is how many ratings make a version proved.
	provedRatings = 50
	// defaultTokens is the length of an answer before any is known.
	defaultTokens = 200.0
	// defaultFirstToken and defaultTokenTime are the times before any is known, in milliseconds.
	defaultFirstToken = 300.0
	defaultTokenTime  = 20.0
	// rateTime is how long the verdict on an answer takes, in milliseconds.
	rateTime = 100.0
)

// scoreMiddles are the scores that the steps of catalogue.Health.Scores stand for.
var scoreMiddles = func() (m [catalogue.ScoreSteps]float64) {
	for i := range m {
		m[i] = (float64(i) + 0.5) / catalogue.ScoreSteps
	}
	return m
}()

// Estimate is what a version is expected to give for a kind of work.
type Estimate struct {
	Version *catalogue.Version
	Rated   int
	// Mean, Lower and Upper are the expected rating and its confidence bounds, from 0 to 1.
	Mean  float64
	Lower float64
	Upper float64
	// Deviation is the standard deviation of one rating.
	Deviation float64
	Suspect   bool
	// Tokens is the expected length of the answer.
	Tokens float64
	// Time is the expected time to the end of the answer, in milliseconds.
	Time clock.Millis
	// Scores are the shares of ratings by score.
	Scores [catalogue.ScoreSteps]float64
}

// EstimateOf joins the operator's estimate with the ratings and times seen.
func EstimateOf(v *catalogue.Version, task string, h *catalogue.Health, maxTokens int) Estimate {
	prior, stated := v.Quality[task]
	if !stated {
		prior = unknownQuality
	}
	n := priorRatings + float64(h.Rated)
	e := Estimate{Version: v, Rated: h.Rated, Suspect: h.Suspect}
	e.Mean = (priorRatings*prior + float64(h.Rated)*h.Mean) / n
	e.Deviation = deviation(h, n)
	margin := boundWidth * e.Deviation / math.Sqrt(n)
	e.Lower, e.Upper = e.Mean-margin, e.Mean+margin
	e.Scores = scores(h, prior, n)
	e.Tokens = answerTokens(h, maxTokens)
	e.Time = answerTime(h, e.Tokens)
	return e
}

// deviation pools the spread of the ratings with the spread assumed before.
func deviation(h *catalogue.Health, n float64) float64 {
	sum := priorRatings * priorDeviation * priorDeviation
	for i, count := range h.Scores {
		d := scoreMiddles[i] - h.Mean
		sum += float64(count) * d * d
	}
	return math.Sqrt(sum / n)
}

// scores spreads the prior over the steps as a bell around the operator's estimate and adds the ratings.
func scores(h *catalogue.Health, prior, n float64) (shares [catalogue.ScoreSteps]float64) {
	var sum float64
	for i, m := range scoreMiddles {
		d := (m - prior) / priorDeviation
		shares[i] = math.Exp(-d * d / 2)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] = (priorRatings*shares[i]/sum + float64(h.Scores[i])) / n
	}
	return shares
}

func answerTokens(h *catalogue.Health, maxTokens int) float64 {
	tokens := h.Tokens
	if tokens == 0 {
		tokens = defaultTokens
	}
	if maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	return tokens
}

func answerTime(h *catalogue.Health, tokens float64) clock.Millis {
	first, each := h.FirstTokenTime, h.TokenTime
	if first == 0 {
		first = defaultFirstToken
	}
	if each == 0 {
		each = defaultTokenTime
	}
	return clock.Millis(first + each*tokens)
}

// Cost returns the price of a request of that many tokens.
func Cost(v *catalogue.Version, inputTokens, outputTokens float64) catalogue.Micros {
	in := inputTokens * float64(v.InputCost)
	out := outputTokens * float64(v.OutputCost)
	return catalogue.Micros(math.Round((in + out) / 1e6))
}
