package rating

import "carawayknot.example/carawayknot/pkg/catalogue"

// Counter has the totals of one origin for a version and a task; no field ever shrinks, so the larger is the newer.
type Counter struct {
	Version catalogue.VersionID
	Task    string
	// Answers, Failures and Slow count the complete answers, the failed attempts, and the answers far slower than the baseline.
	Answers  int64
	Failures int64
	Slow     int64
	// Rated counts the ratings, ScoreSum is the sum of their scores, and Scores is their histogram.
	Rated    int64
	ScoreSum float64
	Scores   [catalogue.ScoreSteps]int64
	// FirstToken and Generation sum up the times to the first token and from there to the end, in milliseconds, and Tokens the
	// tokens of complete answers.
	FirstToken int64
	Generation int64
	Tokens     int64
	// Suspected is one more than the newest revision of the version object that the origin found to be bad, or 0.
	Suspected catalogue.Revision
	// Evidence is the reason for Suspected.
	Evidence string
}

func (c *Counter) key() catalogue.HealthKey {
	return catalogue.HealthKey{Version: c.Version, Task: c.Task}
}

// delta returns the growth since an older counter of the same origin; no count is negative.
func (c *Counter) delta(old *Counter) Counter {
	d := *c
	d.Answers = max(0, c.Answers-old.Answers)
	d.Failures = max(0, c.Failures-old.Failures)
	d.Slow = max(0, c.Slow-old.Slow)
	d.Rated = max(0, c.Rated-old.Rated)
	d.ScoreSum = max(0, c.ScoreSum-old.ScoreSum)
	for i := range d.Scores {
		d.Scores[i] = max(0, c.Scores[i]-old.Scores[i])
	}
	d.FirstToken = max(0, c.FirstToken-old.FirstToken)
	d.Generation = max(0, c.Generation-old.Generation)
	d.Tokens = max(0, c.Tokens-old.Tokens)
	return d
}

// newer reports whether c counts more than old, or a newer suspicion.
func (c *Counter) newer(old *Counter) bool {
	return c.Answers+c.Failures+c.Rated > old.Answers+old.Failures+old.Rated || c.Suspected > old.Suspected
}

func (c *Counter) add(d *Counter) {
	c.Answers += d.Answers
	c.Failures += d.Failures
	c.Slow += d.Slow
	c.Rated += d.Rated
	c.ScoreSum += d.ScoreSum
	for i := range c.Scores {
		c.Scores[i] += d.Scores[i]
	}
	c.FirstToken += d.FirstToken
	c.Generation += d.Generation
	c.Tokens += d.Tokens
}
