package rating

import (
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// minFailedAnswers and minSlowAnswers are how many failed or slow answers over all instances make a new release bad. Queues
	// make single answers slow, so that more of those are needed.
	minFailedAnswers = 5
	minSlowAnswers   = 8
	// minBadUpstreams is how many upstreams of the new release must fail or have slow streams, so that the crash of a single one
	// is not attributed to the release.
	minBadUpstreams = 2
	// minFailedRateRise and minSlowRateRise are how much higher the rate of such answers must be than that of the old release.
	// Bad releases fail or are slow on a third of their requests and more.
	minFailedRateRise = 0.2
	minSlowRateRise   = 0.25
	// minFailedEvidence is the log likelihood ratio of failures that a bad release explains better than a good one. Some requests fail
	// at any release, and their callers repeat them, so that a few in a row are no evidence.
	minFailedEvidence = 2.5
	// minSlowStreams is how many streams with slow generation make a new release bad, and minSlowStreamRateRise how much higher
	// their rate must be than that of the old release. A good release has few of them.
	minSlowStreams        = 5
	minSlowStreamRateRise = 0.4
)

// Comparison compares the answers of a new release over all instances with those of the old one, and is safe for concurrent use.
type Comparison struct {
	mu sync.Mutex
	// own has the counts of this instance, and peers the sums of all others, by countKey.
	own   map[string]float32
	peers map[string]float32
	// peersKnown is true if the last report of the others arrived.
	peersKnown bool
	recent     recent
	// awaited has the attempts whose answers have not begun.
	awaited map[*Awaited]bool
}

// Kinds of counts and releases, as in a countKey.
const (
	countAnswers = "answers"
	// countBegun counts the answers that began in time or were late, before they end.
	countBegun  = "begun"
	countFailed = "failed"
	countSlow   = "slow"
	// countStreams counts the streams whose time between tokens is known, and countSlowStreams those far slower than usual.
	countStreams     = "streams"
	countSlowStreams = "dragging"
	// countSlowUpstreams counts slow streams by upstream in place of the route.
	countSlowUpstreams = "dragger"
	// countFailingUpstreams counts failures by upstream in place of the route.
	countFailingUpstreams = "failing"
	// countErrors counts failures that upstreams answered with. countErringUpstreams and countLateUpstreams count them, and late
	// answers, by upstream in place of the route.
	countErrors          = "errors"
	countErringUpstreams = "erring"
	countLateUpstreams   = "late"
	// countSends counts the requests sent, without a route.
	countSends = "sends"

	releaseOld    = "old"
	releaseTarget = "target"
	keySeparator  = "\x00"
)

// badKey is the key under which an instance tells the others that it found the release bad.
var badKey = countKey("bad", releaseTarget, "")

// countKey joins the kind, the release, and the route or upstream; instances exchange counts under such keys.
func countKey(kind, release, subject string) string {
	return kind + keySeparator + release + keySeparator + subject
}

// RecordAttempt counts one attempt at an upstream; slow means that the answer was far later than usual for its prompt, or didn't come.
// A connection that an upstream ended without an answer is ResultCut: it counts over the whole time only, because the crash of several
// upstreams ends many at once.
func (c *Comparison) RecordAttempt(route, upstream string, onTarget bool, result request.Result, slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAttempt(&Awaited{route: route, upstream: upstream, onTarget: onTarget}, result, slow)
}

// recordAttempt counts an attempt that has ended, but for what was counted while it was awaited. The caller must hold mu.
func (c *Comparison) recordAttempt(a *Awaited, result request.Result, slow bool) {
	switch result {
	case request.ResultRefused, request.ResultCancelled, request.ResultUnreached:
		// None of these is the release's doing, and an unreachable upstream is no reason to revert a release.
		return
	}
	c.countBegun(a)
	if !a.late {
		c.increment(countAnswers, a.onTarget, a.route)
	}
	switch {
	case result != request.ResultComplete:
		c.countFailure(a, result)
	case slow && !a.late:
		c.countSlow(a)
	}
}

// countFailure counts a failed attempt. The caller must hold mu.
func (c *Comparison) countFailure(a *Awaited, result request.Result) {
	c.increment(countFailed, a.onTarget, a.route)
	if a.onTarget {
		c.increment(countFailingUpstreams, a.onTarget, a.upstream)
	}
	if result == request.ResultCut {
		return
	}
	c.increment(countErrors, a.onTarget, a.route)
	if a.onTarget {
		c.increment(countErringUpstreams, a.onTarget, a.upstream)
	}
}

// RecordStream counts one stream; isSlow means that its time between tokens was far longer than usual.
func (c *Comparison) RecordStream(route, upstream string, onTarget, isSlow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordStream(route, upstream, onTarget, isSlow)
}

// recordStream counts one stream. The caller must hold mu.
func (c *Comparison) recordStream(route, upstream string, onTarget, isSlow bool) {
	c.increment(countStreams, onTarget, route)
	if !isSlow {
		return
	}
	c.increment(countSlowStreams, onTarget, route)
	if onTarget {
		c.increment(countSlowUpstreams, onTarget, upstream)
	}
}

// increment adds one to this instance's count of a release, by route or upstream. The caller must hold mu.
func (c *Comparison) increment(kind string, onTarget bool, subject string) {
	release := releaseOld
	if onTarget {
		release = releaseTarget
	}
	if c.own == nil {
		c.own = map[string]float32{}
	}
	c.own[countKey(kind, release, subject)]++
}

// AddOwnCounts sets the counts of this instance in sum, under keys that begin with prefix.
func (c *Comparison) AddOwnCounts(prefix string, sum map[string]float32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, n := range c.own {
		sum[prefix+key] = n
	}
}

// SetPeerCounts replaces the counts of the other instances by those in seen whose keys begin with prefix; if seen is nil, because no
// report arrived, the last ones stay.
func (c *Comparison) SetPeerCounts(prefix string, seen map[string]float32) {
	peers := map[string]float32{}
	for key, n := range seen {
		if suffix, ok := strings.CutPrefix(key, prefix); ok {
			peers[suffix] = n
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peersKnown = seen != nil
	if c.peersKnown {
		c.peers = peers
	}
}

// Verdict reports whether a new release is bad, with its counts over all routes and instances.
type Verdict struct {
	Bad bool
	// Recent is the evidence of the last seconds against the release, as a share of what makes it bad.
	Recent float64
	// Suspect is true if that evidence speaks against the release, though it need not be enough to make it bad.
	Suspect bool
	// Doubt is true if recent answers leave it open whether the release fails or is late more often than the old one; a release isn't
	// completed then, because that can't be taken back.
	Doubt bool
	// Soundness is the log likelihood ratio of a sound release against a bad one; without answers it is 0.
	Soundness float64
	// Answers, Failed and Slow count the answers of the new release, and SlowStreams its streams with slow generation.
	Answers, Failed, Slow, SlowStreams float32
}

// releaseCounts has the counts of one release on one route.
type releaseCounts struct{ answers, failed, slow, streams, slowStreams float32 }

// Verdict compares the releases; the new one is bad if it is much worse than the old one on any route or over all of them, over the
// whole time or, as of the last call of Advance, in the last seconds.
func (c *Comparison) Verdict() Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	routes := map[string]map[string]*releaseCounts{}
	failingUpstreams, slowUpstreams := map[string]bool{}, map[string]bool{}
	for _, counts := range []map[string]float32{c.own, c.peers} {
		for key, n := range counts {
			parts := strings.SplitN(key, keySeparator, 3)
			if len(parts) != 3 {
				continue
			}
			switch parts[0] {
			case countFailingUpstreams:
				failingUpstreams[parts[2]] = true
				continue
			case countSlowUpstreams:
				slowUpstreams[parts[2]] = true
				continue
			case countErringUpstreams, countLateUpstreams, countSends:
				continue
			}
			addCount(routes, parts[2], parts[1], parts[0], n)
			addCount(routes, "", parts[1], parts[0], n)
		}
	}
	var v Verdict
	for route, releases := range routes {
		old, target := releases[releaseOld], releases[releaseTarget]
		if target == nil {
			continue
		}
		if old == nil {
			old = &releaseCounts{}
		}
		v.Bad = v.Bad || failsMoreOften(old, target) && len(failingUpstreams) >= minBadUpstreams || isSlowMoreOften(old, c.withoutBurst(route, target)) ||
			hasMoreSlowStreams(old, target) && len(slowUpstreams) >= minBadUpstreams
		if route == "" {
			v.Answers, v.Failed, v.Slow, v.SlowStreams = target.answers, target.failed, target.slow, target.slowStreams
			v.Soundness = soundness(old, c.withoutSilence(target))
		}
	}
	v.Recent = c.recentEvidence()
	v.Suspect = v.Recent >= suspectShare
	v.Doubt = v.Suspect || c.inDoubt()
	v.Bad = v.Bad || v.Recent >= 1 || c.peers[badKey] > 0
	if v.Bad {
		if c.own == nil {
			c.own = map[string]float32{}
		}
		c.own[badKey] = 1
	}
	return v
}

func addCount(routes map[string]map[string]*releaseCounts, route, release, kind string, n float32) {
	if routes[route] == nil {
		routes[route] = map[string]*releaseCounts{}
	}
	c := routes[route][release]
	if c == nil {
		c = &releaseCounts{}
		routes[route][release] = c
	}
	switch kind {
	case countAnswers:
		c.answers += n
	case countFailed:
		c.failed += n
	case countSlow:
		c.slow += n
	case countStreams:
		c.streams += n
	case countSlowStreams:
		c.slowStreams += n
	}
}

func failsMoreOften(old, target *releaseCounts) bool {
	oldRate := rate(old.failed, old.answers)
	if target.failed < minFailedAnswers || target.failed/target.answers <= oldRate+minFailedRateRise {
		return false
	}
	var t rateTest
	p0 := min(maxToleratedRate, float64(oldRate)+toleratedRise)
	t.addAgainst(int64(target.answers), int64(target.failed), p0, p0+testedRise)
	return t.sum >= minFailedEvidence
}

func isSlowMoreOften(old, target *releaseCounts) bool {
	return target.slow >= minSlowAnswers && target.slow/target.answers > rate(old.slow, old.answers)+minSlowRateRise
}

// withoutBurst returns the counts without the late answers that one silence of several upstreams may have caused. The caller must hold
// mu.
func (c *Comparison) withoutBurst(route string, target *releaseCounts) *releaseCounts {
	t := c.recent.tests[route]
	if t == nil {
		return target
	}
	counts := *target
	burst := min(counts.slow, float32(t.lateBurst.most))
	counts.slow -= burst
	counts.answers -= burst
	return &counts
}

func hasMoreSlowStreams(old, target *releaseCounts) bool {
	return target.slowStreams >= minSlowStreams && target.slowStreams/target.streams > rate(old.slowStreams, old.streams)+minSlowStreamRateRise
}

func rate(n, total float32) float32 {
	if total == 0 {
		return 0
	}
	return n / total
}
