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
func (c *decayedCounts) addCounter(d *Counter) {
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
	c.add(&o)
}

// add adds all counts of o.
func (c *decayedCounts) add(o *decayedCounts) {
	c.decayRatings()
	c.rated += o.rated
	c.scoreSum += o.scoreSum
	for i, n := range o.scores {
		c.scores[i] += n
	}
	c.decayAttempts()
	c.answers += o.answers
	c.failures += o.failures
	c.slow += o.slow
	c.firstToken += o.firstToken
	c.generation += o.generation
	c.tokens += o.tokens
}

func (c *decayedCounts) windowSize() float64 { return cmp.Or(c.window, recentWindow) }

func (c *decayedCounts) decayRatings() {
	if c.rated <= c.windowSize() {
		return
	}
	c.rated /= 2
	c.scoreSum /= 2
	for i := range c.scores {
		c.scores[i] /= 2
	}
}

func (c *decayedCounts) decayAttempts() {
	if c.answers+c.failures <= c.windowSize() {
		return
	}
	c.answers, c.failures, c.slow = c.answers/2, c.failures/2, c.slow/2
	c.firstToken, c.generation, c.tokens = c.firstToken/2, c.generation/2, c.tokens/2
}

func (c *decayedCounts) mean() float64 { return ratio(c.scoreSum, c.rated) }

// stdDev returns the standard deviation of the ratings, at least minStdDev.
func (c *decayedCounts) stdDev() float64 {
	var sum float64
	mean := c.mean()
	for i, n := range c.scores {
		d := stepMidpoint(i) - mean
		sum += n * d * d
	}
	return max(minStdDev, math.Sqrt(ratio(sum, c.rated)))
}

func (c *decayedCounts) failureRate() float64 { return ratio(c.failures, c.answers+c.failures) }

func (c *decayedCounts) slowRate() float64 { return ratio(c.slow, c.answers) }

// tokenTime returns the mean time per token in milliseconds.
func (c *decayedCounts) tokenTime() float64 { return ratio(c.generation, c.tokens) }

// lowerBoundStdErrors is the distance of the lower bound from the mean rating, in standard errors.
const lowerBoundStdErrors = 1.28

func (c *decayedCounts) health(k catalogue.HealthKey) catalogue.Health {
	health := catalogue.Health{
		Version:        k.Version,
		Task:           k.Task,
		Rated:          int(math.Round(c.rated)),
		Mean:           c.mean(),
		FirstTokenTime: ratio(c.firstToken, c.answers),
		TokenTime:      c.tokenTime(),
		Tokens:         ratio(c.tokens, c.answers),
	}
	for i, n := range c.scores {
		health.Scores[i] = int32(math.Round(n))
	}
	if c.rated > 0 {
		health.Lower = max(0, health.Mean-lowerBoundStdErrors*c.stdDev()/math.Sqrt(c.rated))
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
