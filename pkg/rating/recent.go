package rating

import (
	"cmp"
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const (
	// recentMost is how many ratings and attempts count before older ones begin to fade.
	recentMost = 2000
	// latestMost is the same for the latest attempts, which tell a fault of the upstreams from one of a version.
	latestMost = 20
)

// recent adds up the latest of what all origins saw of a version for a task; older parts fade.
type recent struct {
	// most is how many ratings and attempts count before older ones fade; 0 means recentMost.
	most float64

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

// take adds what a counter grew by.
func (r *recent) take(d *Counter) {
	o := recent{
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

// add takes in all of another sum.
func (r *recent) add(o *recent) {
	r.fadeRatings()
	r.rated += o.rated
	r.scoreSum += o.scoreSum
	for i, n := range o.scores {
		r.scores[i] += n
	}
	r.fadeAttempts()
	r.answers += o.answers
	r.failures += o.failures
	r.slow += o.slow
	r.firstToken += o.firstToken
	r.generation += o.generation
	r.tokens += o.tokens
}

func (r *recent) limit() float64 { return cmp.Or(r.most, recentMost) }

func (r *recent) fadeRatings() {
	if r.rated <= r.limit() {
		return
	}
	r.rated /= 2
	r.scoreSum /= 2
	for i := range r.scores {
		r.scores[i] /= 2
	}
}

func (r *recent) fadeAttempts() {
	if r.answers+r.failures <= r.limit() {
		return
	}
	r.answers, r.failures, r.slow = r.answers/2, r.failures/2, r.slow/2
	r.firstToken, r.generation, r.tokens = r.firstToken/2, r.generation/2, r.tokens/2
}

func (r *recent) mean() float64 { return ratio(r.scoreSum, r.rated) }

// deviation returns the standard deviation of the ratings.
func (r *recent) deviation() float64 {
	var sum float64
	mean := r.mean()
	for i, n := range r.scores {
		d := middle(i) - mean
		sum += n * d * d
	}
	return max(leastDeviation, math.Sqrt(ratio(sum, r.rated)))
}

func (r *recent) failureShare() float64 { return ratio(r.failures, r.answers+r.failures) }

func (r *recent) slowShare() float64 { return ratio(r.slow, r.answers) }

func (r *recent) tokenTime() float64 { return ratio(r.generation, r.tokens) }

// boundWidth is how many standard errors lie between the mean rating and its lower bound.
const boundWidth = 1.28

func (r *recent) health(k catalogue.HealthKey) catalogue.Health {
	h := catalogue.Health{
		Version:        k.Version,
		Task:           k.Task,
		Rated:          int(math.Round(r.rated)),
		Mean:           r.mean(),
		FirstTokenTime: ratio(r.firstToken, r.answers),
		TokenTime:      r.tokenTime(),
		Tokens:         ratio(r.tokens, r.answers),
	}
	for i, n := range r.scores {
		h.Scores[i] = int32(math.Round(n))
	}
	if r.rated > 0 {
		h.Lower = max(0, h.Mean-boundWidth*r.deviation()/math.Sqrt(r.rated))
	}
	return h
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
