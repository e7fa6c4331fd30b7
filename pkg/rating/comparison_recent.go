package rating

import (
	"math"
	"strings"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// releaseThreshold is the log likelihood ratio at which a release is found to be bad.
	releaseThreshold = 6.5
	// toleratedRise is how much more often a good release may fail or be late than the old one, and testedRise the rise beyond it
	// that is tested for.
	toleratedRise = 0.05
	testedRise    = 0.25
	// maxToleratedRate bounds the tolerated rate, so that the tested one stays below 1.
	maxToleratedRate = 0.7
	// oldRateWeight is the weight, in answers, of the whole time in the rate of the old release.
	oldRateWeight = 10
	// silenceTime is longer than a sound upstream is silent at a time. Late answers within it add at most silenceShare of the alarm
	// threshold, so that silences of several upstreams at once are no reason to revert a release.
	silenceTime  clock.Millis = 2 * clock.Second
	silenceShare              = 0.6
	// minLateAnswers is how many late answers the test needs; its threshold takes account of how likely they are.
	minLateAnswers = 5
	// suspectShare is the share of the alarm threshold from which a release is suspected.
	suspectShare = 0.5
	// doubtRise is a rise of the failures or late answers, beyond doubtTolerated, that is tested for to see whether a release may be
	// completed, and doubtEvidence the log likelihood ratio from which it may not, with minDoubtAnswers of them. No more than
	// maxDoubt counts, so that good answers dispel a doubt soon.
	doubtRise       = 0.15
	doubtTolerated  = 0.02
	doubtEvidence   = 2.0
	maxDoubt        = 2 * doubtEvidence
	minDoubtAnswers = 3
)

// recentTest is a CUSUM test of a release's failures or late answers against those of the old one since the test last began anew, which
// it does whenever nothing speaks against the release.
type recentTest struct {
	rateTest
	oldAnswers, oldBad float64
	since              clock.Millis
	// history has the sums of the last silenceTime; it is kept only if late answers are tested.
	history []sumAt
}

type sumAt struct {
	at  clock.Millis
	sum float64
}

// recentCounts are the answers that became known of both releases on a route.
type recentCounts struct {
	answers, begun, errors, late             float64
	oldAnswers, oldBegun, oldErrors, oldLate float64
}

// add adds answers to the test; wholeRate is the rate of the old release over the whole time.
func (t *recentTest) add(now clock.Millis, answers, bad, oldAnswers, oldBad, wholeRate float64, bounded bool) {
	t.oldAnswers += oldAnswers
	t.oldBad += oldBad
	p0 := min(maxToleratedRate, t.oldRate(wholeRate)+toleratedRise)
	t.addAgainst(int64(answers), int64(min(answers, bad)), p0, p0+testedRise)
	if bounded {
		t.bound(now)
	}
	if t.sum == 0 {
		t.since, t.oldAnswers, t.oldBad = now, 0, 0
	}
}

// bound bounds what the last silenceTime adds to the sum.
func (t *recentTest) bound(now clock.Millis) {
	for len(t.history) > 1 && now-t.history[1].at >= silenceTime {
		t.history = t.history[1:]
	}
	before := 0.0
	if len(t.history) > 0 && now-t.history[0].at >= silenceTime {
		before = t.history[0].sum
	}
	t.sum = min(t.sum, before+silenceShare*alarmThreshold(releaseThreshold, float64(t.n)))
	t.history = append(t.history, sumAt{at: now, sum: t.sum})
}

// oldRate returns the rate of the old release since the test began anew, with some weight of that of the whole time.
func (t *recentTest) oldRate(wholeRate float64) float64 {
	return (t.oldBad + oldRateWeight*wholeRate) / (t.oldAnswers + oldRateWeight)
}

// evidence returns the sum as a share of the alarm threshold; it is 0 while there are too few bad answers or too little of a rise.
func (t *recentTest) evidence(minBad int64, minRise, wholeRate float64) float64 {
	if t.n == 0 || t.bad < minBad || float64(t.bad)/float64(t.n) <= t.oldRate(wholeRate)+minRise {
		return 0
	}
	return t.sum / alarmThreshold(releaseThreshold, float64(t.n))
}

// recent is the evidence of the last seconds, formed from the differences of the sums that instances exchange.
type recent struct {
	seen  map[string]float32
	tests map[string]*routeTests
	// badAt is when bad answers of an upstream of the new release last became known, by kind of count and upstream.
	badAt map[string]clock.Millis
	sends sendMeter
}

// routeTests has the tests of one route, and those for a small rise.
type routeTests struct {
	errors, late           recentTest
	errorsDoubt, lateDoubt rateTest
	lateBurst              burstMeter
}

// burstMeter keeps the most late answers that became known within a silenceTime.
type burstMeter struct {
	total, most float64
	history     []sumAt
}

func (m *burstMeter) add(now clock.Millis, n float64) {
	m.history = append(m.history, sumAt{at: now, sum: m.total})
	for now-m.history[0].at > silenceTime {
		m.history = m.history[1:]
	}
	m.total += n
	m.most = max(m.most, m.total-m.history[0].sum)
}

// Advance counts the answers that are late by now, and takes the answers and sends that became known since the last call into the
// evidence of the last seconds.
func (c *Comparison) Advance(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countLate(now)
	r := &c.recent
	if r.seen == nil {
		r.seen, r.tests, r.badAt = map[string]float32{}, map[string]*routeTests{}, map[string]clock.Millis{}
	}
	routes, oldSends, targetSends := map[string]*recentCounts{}, 0.0, 0.0
	for key, n := range c.totals() {
		// A sum falls when an instance ends or is out of touch; its counts are no new answers then.
		more := float64(max(0, n-r.seen[key]))
		r.seen[key] = n
		parts := strings.SplitN(key, keySeparator, 3)
		if more == 0 || len(parts) != 3 {
			continue
		}
		kind, onTarget, subject := parts[0], parts[1] == releaseTarget, parts[2]
		switch kind {
		case countSends:
			if onTarget {
				targetSends += more
			} else {
				oldSends += more
			}
			continue
		case countErringUpstreams, countLateUpstreams:
			r.badAt[countKey(kind, "", subject)] = now
			continue
		}
		for _, route := range [...]string{subject, ""} {
			if routes[route] == nil {
				routes[route] = &recentCounts{}
			}
			routes[route].add(kind, onTarget, more)
		}
	}
	r.sends.add(now, oldSends, targetSends)
	whole := c.wholeRates()
	for route, n := range routes {
		t := r.tests[route]
		if t == nil {
			t = &routeTests{}
			t.errors.since, t.late.since = now, now
			r.tests[route] = t
		}
		w := whole[route]
		t.errors.add(now, n.answers, n.errors, n.oldAnswers, n.oldErrors, w.errors, false)
		t.late.add(now, n.begun, n.late, n.oldBegun, n.oldLate, w.late, true)
		t.lateBurst.add(now, n.late)
		addDoubt(&t.errorsDoubt, n.answers, n.errors, w.errors)
		addDoubt(&t.lateDoubt, n.begun, n.late, w.late)
	}
}

// addDoubt adds answers to a test for a small rise over the rate of the old release.
func addDoubt(t *rateTest, answers, bad, oldRate float64) {
	p0 := min(maxToleratedRate, oldRate+doubtTolerated)
	t.addAgainst(int64(answers), int64(min(answers, bad)), p0, p0+doubtRise)
	t.sum = min(t.sum, maxDoubt)
}

func (n *recentCounts) add(kind string, onTarget bool, more float64) {
	answers, begun, errors, late := &n.oldAnswers, &n.oldBegun, &n.oldErrors, &n.oldLate
	if onTarget {
		answers, begun, errors, late = &n.answers, &n.begun, &n.errors, &n.late
	}
	switch kind {
	case countAnswers:
		*answers += more
	case countBegun:
		*begun += more
	case countErrors:
		*errors += more
	case countSlow:
		*late += more
	}
}

// totals returns the counts of all instances. The caller must hold mu.
func (c *Comparison) totals() map[string]float32 {
	sum := make(map[string]float32, len(c.own)+len(c.peers))
	for _, counts := range []map[string]float32{c.own, c.peers} {
		for key, n := range counts {
			sum[key] += n
		}
	}
	return sum
}

// oldRates are the rates of failures and late answers of the old release on a route, over the whole time.
type oldRates struct{ errors, late float64 }

// wholeRates returns the rates of the old release by route, and over all of them under "". The caller must hold mu.
func (c *Comparison) wholeRates() map[string]oldRates {
	counts := map[string]*recentCounts{}
	for key, n := range c.totals() {
		parts := strings.SplitN(key, keySeparator, 3)
		if len(parts) != 3 || parts[1] != releaseOld {
			continue
		}
		for _, route := range [...]string{parts[2], ""} {
			if counts[route] == nil {
				counts[route] = &recentCounts{}
			}
			counts[route].add(parts[0], false, float64(n))
		}
	}
	rates := make(map[string]oldRates, len(counts))
	for route, n := range counts {
		rates[route] = oldRates{errors: n.oldErrors / math.Max(1, n.oldAnswers), late: n.oldLate / math.Max(1, n.oldBegun)}
	}
	return rates
}

// recentEvidence returns the strongest evidence of the last seconds against the new release, as a share of what reverts it. The caller
// must hold mu.
func (c *Comparison) recentEvidence() float64 {
	whole, most := c.wholeRates(), 0.0
	for route, t := range c.recent.tests {
		if c.badUpstreamsSince(countErringUpstreams, t.errors.since) >= minBadUpstreams {
			most = max(most, t.errors.evidence(minFailedAnswers, minFailedRateRise, whole[route].errors))
		}
		if c.badUpstreamsSince(countLateUpstreams, t.late.since) >= minBadUpstreams {
			most = max(most, t.late.evidence(minLateAnswers, minSlowRateRise, whole[route].late))
		}
	}
	return most
}

// inDoubt reports whether the release may have a small rise of failures or late answers. The caller must hold mu.
func (c *Comparison) inDoubt() bool {
	for _, t := range c.recent.tests {
		for _, test := range [...]*rateTest{&t.errorsDoubt, &t.lateDoubt} {
			if test.bad >= minDoubtAnswers && test.sum >= doubtEvidence {
				return true
			}
		}
	}
	return false
}

// badUpstreamsSince counts the upstreams of the new release with bad answers of a kind since a time.
func (c *Comparison) badUpstreamsSince(kind string, since clock.Millis) int {
	n := 0
	for key, at := range c.recent.badAt {
		if at >= since && strings.HasPrefix(key, kind+keySeparator) {
			n++
		}
	}
	return n
}

// Exposure returns the requests sent to both releases as known at the last call of Advance, with the time left of the rollout's span.
func (c *Comparison) Exposure(left clock.Millis) Exposure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent.sends.exposure(left)
}

// PeersKnown reports whether the last report of the other instances arrived; without it, the requests of all instances aren't known.
func (c *Comparison) PeersKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peersKnown
}

// RecordSend counts one request that is sent to a release.
func (c *Comparison) RecordSend(onTarget bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.increment(countSends, onTarget, "")
}
