package rating

import "carawayknot.example/carawayknot/pkg/catalogue"

// Counter adds up what one origin saw of a version for a task; no field ever shrinks, so that the newest one holds.
type Counter struct {
	Version catalogue.VersionID
	Task    string
	// Answers, Failures and Slow count the attempts that ended, that failed, and that were far slower than usual.
	Answers  int64
	Failures int64
	Slow     int64
	// Rated counts the ratings, ScoreSum adds them up, and Scores counts them by score.
	Rated    int64
	ScoreSum float64
	Scores   [catalogue.ScoreSteps]int64
	// FirstToken and Generation add up times in milliseconds, and Tokens the tokens of complete answers.
	FirstToken int64
	Generation int64
	Tokens     int64
	// Suspected is the newest revision of the version object for which the origin found the version to be bad.
	Suspected catalogue.Revision
	// Evidence tells why; it belongs to Suspected.
	Evidence string
}

// key returns what the counter counts.
func (c *Counter) key() catalogue.HealthKey {
	return catalogue.HealthKey{Version: c.Version, Task: c.Task}
}

// since returns what came on top of an older counter of the same origin; nothing is negative.
func (c *Counter) since(old *Counter) Counter {
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

// newer tells whether c holds more than old.
func (c *Counter) newer(old *Counter) bool {
	return c.Answers+c.Failures+c.Rated > old.Answers+old.Failures+old.Rated || c.Suspected > old.Suspected
}

// add adds the counts of d.
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
