package trace

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// warmUpAnswers is the number of answers after which an upstream is warm.
	warmUpAnswers = 8
	// coldFirstTokenFactor multiplies the time to first token during cold start.
	coldFirstTokenFactor = 5.0
	// crashDowntime is the time that an upstream is down after an overload during cold start.
	crashDowntime = 5 * clock.Second
	// coldOverloadTolerance is the time for which a cold engine sustains a moderate overload.
	coldOverloadTolerance = 3 * clock.Second
	// refusalUtilization is the ratio of requests in flight to Bearable at which a warm upstream refuses requests.
	refusalUtilization = 1.5
	// fullLoadSlowdown is the relative increase of the time per token at full utilization.
	fullLoadSlowdown = 0.4
	// reportEWMAWeight is the weight of the newest request in the moving averages that an engine reports.
	reportEWMAWeight = 0.2
	// prefixCacheSize is the number of prompt prefixes that an engine caches.
	prefixCacheSize = 12
	// prefixHitSaving is the relative reduction of the time to first token by a cached prefix.
	prefixHitSaving = 0.4
)

// engine simulates a model engine or a replica of a plain service.
type engine struct {
	spec        *Upstream
	loop        *eventLoop
	versions    []catalogue.VersionID
	incarnation int64
	cold        bool
	answers     int
	inFlight    int
	downUntil   clock.Millis
	stopped     bool
	failing     bool
	// overloadedSince is the time since which the load has exceeded ColdLimit during cold start, or 0.
	overloadedSince clock.Millis
	// coldCrashes counts the crashes by overload during cold start.
	coldCrashes int
	sends       int

	prefixes    []uint64
	cacheEvents []backoffice.CacheEvent
	eventSeq    int64

	meanFirstToken float64
	meanTokenTime  float64
}

func newEngine(spec *Upstream, l *eventLoop) *engine {
	return &engine{spec: spec, loop: l, versions: slices.Clone(spec.Versions), incarnation: 1}
}

func (e *engine) down() bool { return e.stopped || e.loop.clock.Now() < e.downUntil }

// admit accepts a request and reports whether the engine has capacity for it.
func (e *engine) admit() bool {
	if e.failing || (!e.cold && float64(e.inFlight) >= refusalUtilization*float64(e.spec.Bearable)) {
		return false
	}
	e.inFlight++
	e.sends++
	if e.cold {
		e.checkColdOverload()
	}
	return true
}

// checkColdOverload crashes a cold engine that gets more than half its warm capacity, or exceeds ColdLimit for longer than
// coldOverloadTolerance.
func (e *engine) checkColdOverload() {
	now := e.loop.clock.Now()
	if e.inFlight <= e.spec.ColdLimit {
		e.overloadedSince = 0
		return
	}
	if e.overloadedSince == 0 {
		e.overloadedSince = now
	}
	if e.inFlight > e.spec.Bearable/2 || now-e.overloadedSince > coldOverloadTolerance {
		e.coldCrashes++
		e.restart(now + crashDowntime)
	}
}

// restart drops all requests and the cache, and starts cold; running requests detect it by the changed incarnation.
func (e *engine) restart(until clock.Millis) {
	e.downUntil = until
	e.incarnation++
	e.inFlight, e.answers, e.cold, e.overloadedSince = 0, 0, true, 0
	e.prefixes = nil
}

// finish ends a request that began under the incarnation; it has no effect after a restart.
func (e *engine) finish(incarnation int64) {
	if incarnation != e.incarnation {
		return
	}
	e.inFlight--
	e.answers++
	if e.inFlight <= e.spec.ColdLimit {
		e.overloadedSince = 0
	}
	if e.answers >= warmUpAnswers {
		e.cold = false
	}
}

// sampleLatency returns the time to first token and the time per token in milliseconds, and updates the reported averages.
func (e *engine) sampleLatency(s Speed, prefix uint64) (firstToken, perToken float64) {
	utilization := float64(e.inFlight) / float64(e.spec.Bearable)
	firstToken, perToken = s.FirstToken, s.TokenTime*(1+fullLoadSlowdown*utilization)
	if e.cold {
		firstToken *= coldFirstTokenFactor
	}
	if utilization > 1 {
		firstToken *= 1 + 2*(utilization-1)
	}
	if prefix != 0 && e.cachePrefix(prefix) {
		firstToken *= 1 - prefixHitSaving
	}
	if e.meanFirstToken == 0 {
		e.meanFirstToken, e.meanTokenTime = firstToken, perToken
	}
	e.meanFirstToken += reportEWMAWeight * (firstToken - e.meanFirstToken)
	e.meanTokenTime += reportEWMAWeight * (perToken - e.meanTokenTime)
	return firstToken, perToken
}

// cachePrefix puts the prefix into the LRU cache and reports whether it was cached before.
func (e *engine) cachePrefix(prefix uint64) bool {
	i := slices.Index(e.prefixes, prefix)
	if i >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
		return true
	}
	e.prefixes = append(e.prefixes, prefix)
	e.publishCacheEvent(prefix, false)
	if len(e.prefixes) > prefixCacheSize {
		e.publishCacheEvent(e.prefixes[0], true)
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (e *engine) publishCacheEvent(prefix uint64, dropped bool) {
	e.eventSeq++
	e.cacheEvents = append(e.cacheEvents, backoffice.CacheEvent{Seq: e.eventSeq, Prefix: prefix, Dropped: dropped})
}

// loadReport returns the load report of the engine, which does not announce a cold start.
func (e *engine) loadReport() backoffice.LoadReport {
	return backoffice.LoadReport{
		InFlight:       e.inFlight,
		Bearable:       e.spec.Bearable,
		FirstTokenTime: e.meanFirstToken,
		TokenTime:      e.meanTokenTime,
	}
}
