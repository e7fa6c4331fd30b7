package rating

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// learnRatings and learnAnswers are how many it takes to know what is usual for a version.
	learnRatings = 100
	learnAnswers = 30
	// learnErrors is how many standard errors below the usual mean rating the expected one is.
	learnErrors = 1.5
	// slowFactor is how many times slower than usual an attempt must be to count as slow.
	slowFactor = 2.0
	// historyRatings is the number of ratings from which on a counter of a new origin is taken as history.
	historyRatings = 32
	// quietLevel is the test level up to which new ratings count towards what is usual.
	quietLevel = newLevel / 3
)

// Book keeps the health of versions from ratings and attempts, here and on other instances.
// It is used by the control thread alone. Own counts only ratings of answers that this instance sent,
// each once, so that counters of different origins never count the same rating.
type Book struct {
	// Config returns the configuration in force.
	Config func() *catalogue.State

	own     map[catalogue.HealthKey]*Counter
	origins map[string]map[catalogue.HealthKey]Counter
	entries map[catalogue.HealthKey]*entry
	sent    sentRing
}

// entry is what is known of a version for a task over all origins.
type entry struct {
	recent recent
	latest recent
	// rated and attempts count all ratings and attempts.
	rated    float64
	attempts float64
	// usual is the part of recent that was taken in while the tests were quiet.
	usual    recent
	pending  recent
	score    scoreTest
	failures shareTest
	slow     shareTest
	// revision is the revision of the version object that the tests are about.
	revision  catalogue.Revision
	suspected catalogue.Revision
	suspect   bool
	evidence  string
}

// Suspect is a version that a sequential test has found to be bad.
type Suspect struct {
	Version  catalogue.VersionID
	Task     string
	Evidence string
}

// TakeSample takes in what an attempt of this instance showed.
func (b *Book) TakeSample(s request.Sample) {
	if s.Version == "" {
		return
	}
	k := catalogue.HealthKey{Version: s.Version, Task: s.Task}
	switch s.Result {
	case request.ResultComplete:
		b.sent.add(sentKey{id: s.RequestID, version: s.Version}, s.Task)
		b.takeAnswer(k, &s)
	case request.ResultFailed, request.ResultCut, request.ResultMismatch:
		b.count(k, &Counter{Failures: 1})
	}
}

func (b *Book) takeAnswer(k catalogue.HealthKey, s *request.Sample) {
	d := Counter{
		Answers:    1,
		FirstToken: int64(s.FirstToken),
		Generation: int64(max(0, s.Total-s.FirstToken)),
		Tokens:     int64(s.Tokens),
	}
	if b.entry(k).isSlow(&d) {
		d.Slow = 1
	}
	b.count(k, &d)
}

// TakeRatings takes in ratings; those of answers that other instances sent are left to them.
func (b *Book) TakeRatings(ratings []backoffice.Rating) {
	for _, r := range ratings {
		task, found := b.sent.remove(sentKey{id: r.RequestID, version: r.Version})
		if !found {
			continue
		}
		d := Counter{Rated: 1, ScoreSum: min(1, max(0, r.Score))}
		d.Scores[step(d.ScoreSum)] = 1
		b.count(catalogue.HealthKey{Version: r.Version, Task: task}, &d)
	}
}

func step(score float64) int {
	return min(catalogue.ScoreSteps-1, int(score*catalogue.ScoreSteps))
}

// count adds to the own counter and to the tests.
func (b *Book) count(k catalogue.HealthKey, d *Counter) {
	c := b.own[k]
	if c == nil {
		if b.own == nil {
			b.own = map[catalogue.HealthKey]*Counter{}
		}
		c = &Counter{Version: k.Version, Task: k.Task}
		b.own[k] = c
	}
	c.add(d)
	b.observe(k, d, true)
}

// Own returns this instance's counters, sorted by version and task.
func (b *Book) Own() []Counter {
	out := make([]Counter, 0, len(b.own))
	for _, c := range b.own {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(x, y Counter) int {
		return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(x.Task, y.Task))
	})
	return out
}

// Merge takes in the counters of another origin; an origin is one start of one instance.
func (b *Book) Merge(origin string, counters []Counter) {
	if b.origins == nil {
		b.origins = map[string]map[catalogue.HealthKey]Counter{}
	}
	known := b.origins[origin]
	if known == nil {
		known = map[catalogue.HealthKey]Counter{}
		b.origins[origin] = known
	}
	for i := range counters {
		c := &counters[i]
		old, seen := known[c.key()]
		if !c.newer(&old) {
			continue
		}
		known[c.key()] = *c
		d := c.since(&old)
		b.observe(c.key(), &d, seen || d.Rated <= historyRatings)
		b.believe(c)
	}
}

// Forget drops the counters of an origin that is gone; what they added stays.
func (b *Book) Forget(origin string) { delete(b.origins, origin) }

// Health returns the health of all versions seen.
func (b *Book) Health() map[catalogue.HealthKey]catalogue.Health {
	out := make(map[catalogue.HealthKey]catalogue.Health, len(b.entries))
	for k, e := range b.entries {
		h := e.recent.health(k)
		h.Suspect = b.isSuspect(k, e)
		out[k] = h
	}
	return out
}

// Suspects returns the versions found to be bad, sorted by version and task.
func (b *Book) Suspects() []Suspect {
	var out []Suspect
	for k, e := range b.entries {
		if b.isSuspect(k, e) {
			out = append(out, Suspect{Version: k.Version, Task: k.Task, Evidence: e.evidence})
		}
	}
	slices.SortFunc(out, func(x, y Suspect) int {
		return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(x.Task, y.Task))
	})
	return out
}

func (b *Book) entry(k catalogue.HealthKey) *entry {
	e := b.entries[k]
	if e == nil {
		if b.entries == nil {
			b.entries = map[catalogue.HealthKey]*entry{}
		}
		e = &entry{latest: recent{most: latestMost}}
		b.entries[k] = e
	}
	return e
}
