package trace

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// coldAnswers is how many answers warm an upstream up.
	coldAnswers = 8
	// coldSlowness is how many times slower a first token is in cold start.
	coldSlowness = 5.0
	// fallOver is how long an upstream is down after it was given more than it bears, in milliseconds.
	fallOver = 5 * clock.Second
	// strainTime is for how long a cold engine stands a little more than it bears, in milliseconds.
	strainTime = 3 * clock.Second
	// refuseFill is the fill, as a part of what it bears, at which a warm upstream refuses work.
	refuseFill = 1.5
	// fullSlowness is how much slower tokens come when a warm upstream is as full as it bears.
	fullSlowness = 0.4
	// reportWeight is the weight of the newest request in the times that an engine reports.
	reportWeight = 0.2
	// cachedPrefixes is how many prompt prefixes an engine keeps, and prefixSaving the part of the first token's time saved.
	cachedPrefixes = 12
	prefixSaving   = 0.4
)

// engine is the fake of a model engine or of a replica of a plain service.
type engine struct {
	spec        *Upstream
	loop        *loop
	versions    []catalogue.VersionID
	incarnation int64
	cold        bool
	answers     int
	inFlight    int
	downUntil   clock.Millis
	stopped     bool
	failing     bool
	// strainedAt is the time since which it has held more than it bears in cold start, 0 when it has not.
	strainedAt clock.Millis
	// fallOvers counts the times it was given more than it bears in cold start.
	fallOvers int
	sends     int

	prefixes []uint64
	events   []backoffice.CacheEvent
	seq      int64

	firstToken float64
	tokenTime  float64
}

func newEngine(spec *Upstream, l *loop) *engine {
	return &engine{spec: spec, loop: l, versions: slices.Clone(spec.Versions), incarnation: 1}
}

func (e *engine) down() bool { return e.stopped || e.loop.clock.Now() < e.downUntil }

// begin takes a request; it is false when the engine refuses it.
func (e *engine) begin() bool {
	if e.failing || (!e.cold && float64(e.inFlight) >= refuseFill*float64(e.spec.Bearable)) {
		return false
	}
	e.inFlight++
	e.sends++
	if e.cold {
		e.strain()
	}
	return true
}

// strain falls over when a cold engine gets half of what it would bear warm, or a little too much for too long.
func (e *engine) strain() {
	now := e.loop.clock.Now()
	if e.inFlight <= e.spec.ColdLimit {
		e.strainedAt = 0
		return
	}
	if e.strainedAt == 0 {
		e.strainedAt = now
	}
	if e.inFlight > e.spec.Bearable/2 || now-e.strainedAt > strainTime {
		e.fallOvers++
		e.restart(now + fallOver)
	}
}

// restart drops everything and comes back cold; requests notice by the incarnation.
func (e *engine) restart(until clock.Millis) {
	e.downUntil = until
	e.incarnation++
	e.inFlight, e.answers, e.cold, e.strainedAt = 0, 0, true, 0
	e.prefixes = nil
}

// finish ends a request of the incarnation.
func (e *engine) finish(incarnation int64) {
	if incarnation != e.incarnation {
		return
	}
	e.inFlight--
	e.answers++
	if e.inFlight <= e.spec.ColdLimit {
		e.strainedAt = 0
	}
	if e.answers >= coldAnswers {
		e.cold = false
	}
}

// times returns how long the first token and each further one take, in milliseconds.
func (e *engine) times(s Speed, prefix uint64) (first, each float64) {
	fill := float64(e.inFlight) / float64(e.spec.Bearable)
	first, each = s.FirstToken, s.TokenTime*(1+fullSlowness*fill)
	if e.cold {
		first *= coldSlowness
	}
	if fill > 1 {
		first *= 1 + 2*(fill-1)
	}
	if prefix != 0 && e.cache(prefix) {
		first *= 1 - prefixSaving
	}
	if e.firstToken == 0 {
		e.firstToken, e.tokenTime = first, each
	}
	e.firstToken += reportWeight * (first - e.firstToken)
	e.tokenTime += reportWeight * (each - e.tokenTime)
	return first, each
}

// cache takes up a prefix, and tells whether it was there already.
func (e *engine) cache(prefix uint64) bool {
	i := slices.Index(e.prefixes, prefix)
	if i >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
		return true
	}
	e.prefixes = append(e.prefixes, prefix)
	e.publish(prefix, false)
	if len(e.prefixes) > cachedPrefixes {
		e.publish(e.prefixes[0], true)
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (e *engine) publish(prefix uint64, dropped bool) {
	e.seq++
	e.events = append(e.events, backoffice.CacheEvent{Seq: e.seq, Prefix: prefix, Dropped: dropped})
}

// report returns what the engine says of itself; it does not announce a cold start.
func (e *engine) report() backoffice.LoadReport {
	return backoffice.LoadReport{
		InFlight:       e.inFlight,
		Bearable:       e.spec.Bearable,
		FirstTokenTime: e.firstToken,
		TokenTime:      e.tokenTime,
	}
}
