package pricing

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// priorRatings is the weight of the operator's quality estimate, as a number of ratings.
	priorRatings = 20.0
	// defaultQuality is the estimate for a version whose quality the operator has not configured.
	defaultQuality = 0.5
	// priorDeviation is the standard deviation assumed for ratings before any arrive.
	priorDeviation = 0.15
	// boundStdErrs is the distance of the confidence bounds from the estimate, in standard errors.
	boundStdErrs = 1.28
	// minOwnRatings is the number of ratings from which the new version of a rollout is estimated by its own ratings, no longer by
	// those of the old version.
	minOwnRatings = 50
	// defaultTokens is the answer length assumed before any was seen.
	defaultTokens = 200.0
	// defaultFirstTokenMillis and defaultMillisPerToken are the latencies assumed for a version before its first answers.
	defaultFirstTokenMillis = 300.0
	defaultMillisPerToken   = 20.0
	// ratingMillis is the expected time for the rating service to rate an answer.
	ratingMillis = 100.0
)

// scoreMidpoints has the score at the middle of each step of catalogue.Health.Scores.
var scoreMidpoints = func() (m [catalogue.ScoreSteps]float64) {
	for i := range m {
		m[i] = (float64(i) + 0.5) / catalogue.ScoreSteps
	}
	return m
}()

// Estimate is the expected quality, length and latency of a version's answers for one task.
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
	// Tokens is the expected number of tokens in the answer.
	Tokens float64
	// Time is the expected time to the end of the answer, in milliseconds.
	Time clock.Millis
	// Scores is the distribution of ratings over the score steps; it sums to 1.
	Scores [catalogue.ScoreSteps]float64
}

// NewEstimate combines the operator's quality estimate, as a prior, with the ratings and latencies in h; maxTokens caps the
// answer length, and 0 leaves it uncapped.
func NewEstimate(v *catalogue.Version, task string, h *catalogue.Health, maxTokens int) Estimate {
	prior, configured := v.Quality[task]
	if !configured {
		prior = defaultQuality
	}
	n := priorRatings + float64(h.Rated)
	e := Estimate{Version: v, Rated: h.Rated, Suspect: h.Suspect}
	e.Mean = (priorRatings*prior + float64(h.Rated)*h.Mean) / n
	e.Deviation = deviation(h, n)
	margin := boundStdErrs * e.Deviation / math.Sqrt(n)
	e.Lower, e.Upper = e.Mean-margin, e.Mean+margin
	e.Scores = scores(h, prior, n)
	e.Tokens = answerTokens(h, maxTokens)
	e.Time = answerTime(h, e.Tokens)
	return e
}

// deviation returns the standard deviation of a rating, pooled with that of the prior.
func deviation(h *catalogue.Health, n float64) float64 {
	sum := priorRatings * priorDeviation * priorDeviation
	for i, count := range h.Scores {
		d := scoreMidpoints[i] - h.Mean
		sum += float64(count) * d * d
	}
	return math.Sqrt(sum / n)
}

// scores returns the distribution of ratings: the prior is a normal distribution around the operator's estimate, to which the
// observed ratings are added.
func scores(h *catalogue.Health, prior, n float64) (shares [catalogue.ScoreSteps]float64) {
	var sum float64
	for i, m := range scoreMidpoints {
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
	first, perToken := h.FirstTokenTime, h.TokenTime
	if first == 0 {
		first = defaultFirstTokenMillis
	}
	if perToken == 0 {
		perToken = defaultMillisPerToken
	}
	return clock.Millis(first + perToken*tokens)
}

// Cost returns the price of a request with the given token counts, rounded to whole micros.
func Cost(v *catalogue.Version, inputTokens, outputTokens float64) catalogue.Micros {
	in := inputTokens * float64(v.InputCost)
	out := outputTokens * float64(v.OutputCost)
	return catalogue.Micros(math.Round((in + out) / 1e6))
}
