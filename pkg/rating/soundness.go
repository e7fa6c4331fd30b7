package rating

import "math"

const (
	// minSoundness is the log likelihood ratio by which a release must be sound rather than bad before it may be completed.
	minSoundness = 3.0
	// soundnessPerAnswer is what a sound answer adds to it at least, while answers of the old release rarely fail.
	soundnessPerAnswer = 0.3
	// neededAnswers is the part of the requests that a rollout's budget affords whose sound answers are enough, where these are too few
	// for minSoundness.
	neededAnswers = 0.4
	// toleratedSlowStreams is how much more often a good release may have slow streams than the old one, and testedSlowStreams the rise
	// beyond it that is tested for.
	toleratedSlowStreams = 0.1
	testedSlowStreams    = 0.3
	// excusedShare is the share of the answers that may be left out as late by one silence of several upstreams.
	excusedShare = 0.15
)

// SoundnessNeeded returns the soundness that a verdict must have before the release is completed, which is less if the budget affords
// hardly any requests.
func (b ExposureBudget) SoundnessNeeded(e Exposure) float64 {
	return min(minSoundness, neededAnswers*soundnessPerAnswer*b.allowed(e))
}

// FullSoundness returns the soundness that is needed whatever the budget affords.
func FullSoundness() float64 { return minSoundness }

// withoutSilence returns the counts without the late answers that one silence of several upstreams may have caused, as far as they are few
// beside the others: in a release that is often late, any late answers look like one. The caller must hold mu.
func (c *Comparison) withoutSilence(target *releaseCounts) *releaseCounts {
	counts := c.withoutBurst("", target)
	excess := target.slow - counts.slow - excusedShare*target.answers
	if excess <= 0 {
		return counts
	}
	limited := *counts
	limited.slow += excess
	limited.answers += excess
	return &limited
}

// soundness returns the log likelihood ratio of a sound release against a bad one, over the whole time.
func soundness(old, target *releaseCounts) float64 {
	p0 := min(maxToleratedRate, float64(rate(old.failed+old.slow, old.answers))+toleratedRise)
	sound := -badEvidence(target.answers, target.failed+target.slow, p0, p0+testedRise)
	p0 = min(maxToleratedRate-toleratedSlowStreams, float64(rate(old.slowStreams, old.streams))+toleratedSlowStreams)
	return sound - max(0, badEvidence(target.streams, target.slowStreams, p0, p0+testedSlowStreams))
}

// badEvidence returns the log likelihood ratio of a rate of p1 against one of p0, for n answers of which some are bad.
func badEvidence(n, bad float32, p0, p1 float64) float64 {
	bad = min(n, bad)
	return float64(bad)*math.Log(p1/p0) + float64(n-bad)*math.Log((1-p1)/(1-p0))
}
