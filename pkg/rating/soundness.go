package rating

const (
	// MinSoundness is the log likelihood ratio by which a release must be sound rather than bad before it may be completed.
	MinSoundness = 3.0
	// soundnessPerAnswer is what a sound answer adds to it at least, while answers of the old release rarely fail.
	soundnessPerAnswer = 0.3
	// neededAnswers is the part of the requests that a rollout's budget affords whose sound answers are enough, where these are too few
	// for MinSoundness.
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
	return min(MinSoundness, neededAnswers*soundnessPerAnswer*b.allowed(e))
}

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
	bad := min(target.answers, target.failed+target.slow)
	p0 := min(maxToleratedRate, float64(rate(old.failed+old.slow, old.answers))+toleratedRise)
	sound := -badEvidence(float64(target.answers), float64(bad), p0, p0+testedRise)
	p0 = min(maxToleratedRate-toleratedSlowStreams, float64(rate(old.slowStreams, old.streams))+toleratedSlowStreams)
	return sound - max(0, badEvidence(float64(target.streams), float64(target.slowStreams), p0, p0+testedSlowStreams))
}
