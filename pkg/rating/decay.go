package rating

import (
	"cmp"
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const (
	// recentWindow is the number of ratings or attempts beyond which the counts are halved.
	recentWindow = 2000
	// latestWindow is the same for the latest attempts, which distinguish a fault of the upstreams from one of a version.
	latestWindow = 20
)

// decayedCounts has counts of a version for a task over all origins, in which older ratings and attempts decay.
type decayedCounts struct {
	// window is the number of ratings or attempts beyond which the counts are halved; 0 means recentWindow.
	window float64

	rated    float64
	scoreSum float64
	scores   [catalogue.ScoreSteps]float64

	answers    float64
	failures   float64
	slow       float64
	firstToken float64
	generation float64
	tokens     float64
}

// addCounter adds the growth of a counter.
func (r *decayedCounts) addCounter(d *Counter) {
	o := decayedCounts{
		rated:      float64(d.Rated),
		scoreSum:   d.ScoreSum,
		answers:    float64(d.Answers),
		failures:   float64(d.Failures),
		slow:       float64(d.Slow),
		firstToken: float64(d.FirstToken),
		generation: float64(d.Generation),
		tokens:     float64(d.Tokens),
	}
	for i, n := range d.Scores {
		o.scores[i] = float64(n)
	}
	r.add(&o)
}

// add adds all counts of o.
func (r *decayedCounts) add(o *decayedCounts) {
	r.decayRatings()
	r.rated += o.rated
	r.scoreSum += o.scoreSum
	for i, n := range o.scores {
		r.scores[i] += n
	}
	r.decayAttempts()
	r.answers += o.answers
	r.failures += o.failures
	r.slow += o.slow
	r.firstToken += o.firstToken
	r.generation += o.generation
	r.tokens += o.tokens
}

func (r *decayedCounts) windowSize() float64 { return cmp.Or(r.window, recentWindow) }

func (r *decayedCounts) decayRatings() {
	if r.rated <= r.windowSize() {
		return
	}
	r.rated /= 2
	r.scoreSum /= 2
	for i := range r.scores {
		r.scores[i] /= 2
	}
}

func (r *decayedCounts) decayAttempts() {
	if r.answers+r.failures <= r.windowSize() {
		return
	}
	r.answers, r.failures, r.slow = r.answers/2, r.failures/2, r.slow/2
	r.firstToken, r.generation, r.tokens = r.firstToken/2, r.generation/2, r.tokens/2
}

func (r *decayedCounts) mean() float64 { return ratio(r.scoreSum, r.rated) }

// stdDev returns the standard deviation of the ratings, at least minStdDev.
func (r *decayedCounts) stdDev() float64 {
	var sum float64
	mean := r.mean()
	for i, n := range r.scores {
		d := stepMidpoint(i) - mean
		sum += n * d * d
	}
	return max(minStdDev, math.Sqrt(ratio(sum, r.rated)))
}

func (r *decayedCounts) failureRate() float64 { return ratio(r.failures, r.answers+r.failures) }

func (r *decayedCounts) slowRate() float64 { return ratio(r.slow, r.answers) }

// tokenTime returns the mean time per token in milliseconds.
func (r *decayedCounts) tokenTime() float64 { return ratio(r.generation, r.tokens) }

// lowerBoundStdErrors is the distance of the lower bound from the mean rating, in standard errors.
const lowerBoundStdErrors = 1.28

func (r *decayedCounts) health(k catalogue.HealthKey) catalogue.Health {
	health := catalogue.Health{
		Version:        k.Version,
		Task:           k.Task,
		Rated:          int(math.Round(r.rated)),
		Mean:           r.mean(),
		FirstTokenTime: ratio(r.firstToken, r.answers),
		TokenTime:      r.tokenTime(),
		Tokens:         ratio(r.tokens, r.answers),
	}
	for i, n := range r.scores {
		health.Scores[i] = int32(math.Round(n))
	}
	if r.rated > 0 {
		health.Lower = max(0, health.Mean-lowerBoundStdErrors*r.stdDev()/math.Sqrt(r.rated))
	}
	return health
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
