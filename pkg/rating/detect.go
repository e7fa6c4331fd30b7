package rating

import (
	"fmt"
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// observe adds d to the health and, unless it is history, to the tests.
func (b *Book) observe(k catalogue.HealthKey, d *Counter, test bool) {
	e := b.entry(k)
	e.recent.take(d)
	e.latest.take(d)
	e.rated += float64(d.Rated)
	e.attempts += float64(d.Answers + d.Failures)
	if now := b.versionRevision(k.Version); now != e.revision {
		e.restart(now)
	}
	if test {
		b.test(k, e, d)
	}
	e.learn(d)
}

// restart begins the tests anew for a version that operators have put again.
func (e *entry) restart(now catalogue.Revision) {
	e.revision = now
	e.score, e.failures, e.slow = scoreTest{}, shareTest{}, shareTest{}
	e.pending = recent{}
}

func (b *Book) test(k catalogue.HealthKey, e *entry, d *Counter) {
	if d.Rated > 0 {
		b.testScores(k, e, d)
	}
	others := b.others(k)
	if n := d.Answers + d.Failures; n > 0 {
		e.failures.take(n, d.Failures, others.failureShare())
		if e.failures.sum >= alarmLevel(b.level(k.Version), e.attempts) {
			b.suspect(k, e, fmt.Sprintf("failures: %d of the last %d attempts, other versions %.1f%%",
				e.failures.bad, e.failures.n, 100*others.failureShare()))
		}
	}
	if d.Answers > 0 {
		e.slow.take(d.Answers, d.Slow, others.slowShare())
		if e.slow.sum >= alarmLevel(b.level(k.Version), e.attempts) {
			b.suspect(k, e, fmt.Sprintf("latency: %d of the last %d answers over %.0f times the usual %.1f ms between tokens",
				e.slow.bad, e.slow.n, slowFactor, e.usual.tokenTime()))
		}
	}
}

// level returns the level at which the version is found to be bad while little is known of it.
func (b *Book) level(id catalogue.VersionID) float64 {
	if b.rollOut(id) != nil {
		return newLevel
	}
	return servedLevel
}

func (b *Book) testScores(k catalogue.HealthKey, e *entry, d *Counter) {
	expected := b.expected(k, e)
	if expected == nil {
		return
	}
	e.score.take(d, expected)
	if e.score.level() < alarmLevel(b.level(k.Version), e.rated) {
		return
	}
	b.suspect(k, e, fmt.Sprintf("ratings: mean %.2f of the last %d, expected %.2f",
		e.score.total/float64(e.score.n), e.score.n, expected.mean()))
}

// expected returns the distribution of ratings that the version must keep up, or nil while nothing is known:
// its own usual one, or for the new version of a roll-out the old version's, unless the operator states less.
func (b *Book) expected(k catalogue.HealthKey, e *entry) *spread {
	r := b.rollOut(k.Version)
	if r == nil {
		return e.expectedOwn()
	}
	stated, isStated := b.stated(k)
	var old *spread
	if o := b.entries[catalogue.HealthKey{Version: r.From, Task: k.Task}]; o != nil {
		old = o.expectedOwn()
	}
	switch {
	case old != nil && isStated:
		return old.shifted(max(0, old.mean()-stated))
	case old != nil:
		return old
	case isStated:
		return bell(stated, assumedDeviation)
	}
	return nil
}

// rollOut returns the roll-out of which the version is the new one, or nil.
func (b *Book) rollOut(id catalogue.VersionID) *catalogue.Rollout {
	cfg := b.config()
	if cfg == nil {
		return nil
	}
	if r := cfg.Rollouts[id.Model()]; r != nil && r.To == id && r.From != r.To {
		return r
	}
	return nil
}

// stated returns the operator's estimate.
func (b *Book) stated(k catalogue.HealthKey) (float64, bool) {
	v := b.config().Versions[k.Version]
	if v == nil {
		return 0, false
	}
	q, ok := v.Quality[k.Task]
	return q, ok
}

// expectedOwn allows for the error of a mean of few ratings.
func (e *entry) expectedOwn() *spread {
	if e.usual.rated < learnRatings {
		return nil
	}
	margin := learnErrors * e.usual.deviation() / math.Sqrt(e.usual.rated)
	return e.usual.spread().shifted(margin)
}

// learn moves what came in while the tests were quiet into what is usual.
func (e *entry) learn(d *Counter) {
	e.pending.take(d)
	if e.score.level() > quietLevel || e.failures.sum > quietLevel || e.slow.sum > quietLevel {
		return
	}
	e.usual.add(&e.pending)
	e.pending = recent{}
}

func (e *entry) isSlow(d *Counter) bool {
	if e.usual.answers < learnAnswers || d.Tokens == 0 {
		return false
	}
	return float64(d.Generation)/float64(d.Tokens) > slowFactor*e.usual.tokenTime()
}

// others adds up the latest attempts of the other versions, so that a fault of the upstreams is not put down to one version.
func (b *Book) others(k catalogue.HealthKey) *recent {
	var sum recent
	for other, e := range b.entries {
		if other.Version != k.Version {
			sum.answers += e.latest.answers
			sum.failures += e.latest.failures
			sum.slow += e.latest.slow
		}
	}
	return &sum
}

func (b *Book) suspect(k catalogue.HealthKey, e *entry, evidence string) {
	if b.isSuspect(k, e) {
		return
	}
	e.suspect, e.suspected, e.evidence = true, e.revision, evidence
	if c := b.own[k]; c != nil {
		c.Suspected, c.Evidence = e.revision+1, evidence
	}
}

// believe takes over the finding of another instance.
func (b *Book) believe(c *Counter) {
	if c.Suspected == 0 {
		return
	}
	e := b.entry(c.key())
	if found := c.Suspected - 1; !e.suspect || found > e.suspected {
		e.suspect, e.suspected, e.evidence = true, found, c.Evidence
	}
}

// isSuspect tells whether the finding is about the version as operators have last put it.
func (b *Book) isSuspect(k catalogue.HealthKey, e *entry) bool {
	return e.suspect && e.suspected >= b.versionRevision(k.Version)
}

func (b *Book) versionRevision(id catalogue.VersionID) catalogue.Revision {
	cfg := b.config()
	if cfg == nil {
		return 0
	}
	return cfg.ObjectRevision(catalogue.ObjectKey{Kind: catalogue.KindVersion, Name: string(id)})
}

func (b *Book) config() *catalogue.State {
	if b.Config == nil {
		return nil
	}
	return b.Config()
}
