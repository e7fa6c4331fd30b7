package rating

import (
	"math"
	"slices"
)

const (
	// rolloutThreshold is the log likelihood ratio at which the new version of a rollout is found to be bad while it has few
	// ratings. servingThreshold is that of other versions, which turn bad less often and cost more when that is missed.
	rolloutThreshold = 8.0
	servingThreshold = 11.0
	// thresholdGrowthCount is how many ratings or attempts raise the thresholds noticeably.
	thresholdGrowthCount = 1000
)

// alarmThreshold returns the threshold after n ratings or attempts. It grows with n, so that a version with many ratings does
// not raise a false alarm in the long run.
func alarmThreshold(base, n float64) float64 { return base + math.Log1p(n/thresholdGrowthCount) }

// testedDrops are the drops of the mean rating that are tested for in parallel.
var testedDrops = [...]float64{0.1, 0.2, 0.3, 0.4}

// scoreTest is a CUSUM test for a drop of the ratings, for several sizes of drop. It weighs a rating by its likelihood with and
// without the drop, so that a rare bad answer that the baseline has too, or that no drop explains, counts little.
type scoreTest struct {
	sums [len(testedDrops)]float64
	// n and scoreSum are the number and the sum of the ratings since all sums were last zero.
	n        int64
	scoreSum float64
}

// add adds the ratings of d, tested against the expected distribution.
func (t *scoreTest) add(d *Counter, expected *distribution) {
	t.n += d.Rated
	t.scoreSum += d.ScoreSum
	atZero := true
	for i, drop := range testedDrops {
		dropped := expected.shifted(drop)
		logRatio := 0.0
		for at, n := range d.Scores {
			if n > 0 {
				logRatio += float64(n) * math.Log(dropped[at]/expected[at])
			}
		}
		t.sums[i] = max(0, t.sums[i]+logRatio)
		atZero = atZero && t.sums[i] == 0
	}
	if atZero {
		t.n, t.scoreSum = 0, 0
	}
}

// statistic returns the largest cumulative log likelihood ratio of all drops.
func (t *scoreTest) statistic() float64 { return slices.Max(t.sums[:]) }

// rateTest is a CUSUM test for a rise of the rate of bad attempts.
type rateTest struct {
	sum float64
	// n and bad count the attempts, and the bad ones of them, since sum was last zero.
	n   int64
	bad int64
}

const (
	// baseRate is the rate of bad attempts that is always tolerated.
	baseRate = 0.03
	// toleratedRateFactor is how many times the rate of bad attempts of other versions is tolerated.
	toleratedRateFactor = 2.0
	// testedOddsRatio is the rise of the odds of a bad attempt that is tested for.
	testedOddsRatio = 4.0
	// maxExpectedRate bounds the expected rate of bad attempts.
	maxExpectedRate = 0.9
)

// add adds n attempts, bad of them bad, tested against the rate of bad attempts of other versions.
func (t *rateTest) add(n, bad int64, othersRate float64) {
	p0 := min(maxExpectedRate, baseRate+toleratedRateFactor*othersRate)
	t.addAgainst(n, bad, p0, testedOddsRatio*p0/(1+(testedOddsRatio-1)*p0))
}

// addAgainst adds n attempts, bad of them bad, and weighs a rate of p1 against one of p0.
func (t *rateTest) addAgainst(n, bad int64, p0, p1 float64) {
	t.n += n
	t.bad += bad
	t.sum += badEvidence(float64(n), float64(bad), p0, p1)
	if t.sum <= 0 {
		*t = rateTest{}
	}
}

// badEvidence returns the log likelihood ratio of a rate of p1 against one of p0, for n attempts of which some are bad.
func badEvidence(n, bad, p0, p1 float64) float64 {
	return bad*math.Log(p1/p0) + (n-bad)*math.Log((1-p1)/(1-p0))
}
