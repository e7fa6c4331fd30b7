package rating

import (
	"math"
	"slices"
)

const (
	// newLevel is the log likelihood ratio at which the new version of a roll-out is found to be bad while it has
	// few ratings. servedLevel is that of other versions, which are bad less often and cost more when they are missed.
	newLevel    = 8.0
	servedLevel = 11.0
	// levelRatings is how many ratings or attempts raise the levels noticeably.
	levelRatings = 1000
)

// alarmLevel returns the level after n ratings or attempts.
// It grows with n, so that a version with many ratings is not found to be bad by chance some day.
func alarmLevel(first, n float64) float64 { return first + math.Log1p(n/levelRatings) }

// scoreDrops are the drops of the ratings that are tested for side by side.
var scoreDrops = [...]float64{0.1, 0.2, 0.3, 0.4}

// scoreTest is a CUSUM test for a drop of the ratings, for several sizes of drop.
// It weighs a rating by how likely it is with and without the drop, so that a rare bad answer that was
// seen before, or that no drop explains, counts little.
type scoreTest struct {
	sums [len(scoreDrops)]float64
	// n and total describe the ratings since the sums were last at zero.
	n     int64
	total float64
}

// take adds the ratings of d, against the usual distribution.
func (t *scoreTest) take(d *Counter, usual *spread) {
	t.n += d.Rated
	t.total += d.ScoreSum
	rest := true
	for i, drop := range scoreDrops {
		dropped := usual.shifted(drop)
		step := 0.0
		for at, n := range d.Scores {
			if n > 0 {
				step += float64(n) * math.Log(dropped[at]/usual[at])
			}
		}
		t.sums[i] = max(0, t.sums[i]+step)
		rest = rest && t.sums[i] == 0
	}
	if rest {
		t.n, t.total = 0, 0
	}
}

func (t *scoreTest) level() float64 { return slices.Max(t.sums[:]) }

// shareTest is a CUSUM test for a rise of the share of attempts that are bad in some way.
type shareTest struct {
	sum float64
	// n and bad describe the attempts since the sum was last at zero.
	n   int64
	bad int64
}

const (
	// leastShare is the share of bad attempts that is always borne.
	leastShare = 0.03
	// othersFactor is how much more often than with other versions attempts may be bad.
	othersFactor = 2.0
	// oddsRise is the factor of the rise of the odds that is tested for.
	oddsRise = 4.0
	// mostShare bounds the share that is expected.
	mostShare = 0.9
)

// take adds n attempts of which bad were bad, against the share of bad attempts of other versions.
func (t *shareTest) take(n, bad int64, others float64) {
	p0 := min(mostShare, leastShare+othersFactor*others)
	p1 := oddsRise * p0 / (1 + (oddsRise-1)*p0)
	t.n += n
	t.bad += bad
	t.sum += float64(bad)*math.Log(p1/p0) + float64(n-bad)*math.Log((1-p1)/(1-p0))
	if t.sum <= 0 {
		*t = shareTest{}
	}
}
