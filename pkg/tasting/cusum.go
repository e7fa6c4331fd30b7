package tasting

import "math"

const (
	// alarmLevel is the log likelihood ratio at which a version is found to be bad.
	alarmLevel = 7.0
	// scoreDeviation is the standard deviation of one rating that the test assumes.
	scoreDeviation = 0.15
)

// scoreDrops are the drops of the mean rating that are tested for side by side.
var scoreDrops = [...]float64{0.1, 0.2, 0.4}

// scoreTest is a CUSUM test for a drop of the mean rating, for several sizes of drop.
type scoreTest struct {
	sums [len(scoreDrops)]float64
	// n and total describe the ratings since the sums were last at zero.
	n     int64
	total float64
}

// take adds n ratings with the sum total, against the mean expected.
func (t *scoreTest) take(n int64, total, expected float64) {
	t.n += n
	t.total += total
	rest := true
	for i, drop := range scoreDrops {
		step := drop / (scoreDeviation * scoreDeviation) * (float64(n)*(expected-drop/2) - total)
		t.sums[i] = max(0, t.sums[i]+step)
		rest = rest && t.sums[i] == 0
	}
	if rest {
		t.n, t.total = 0, 0
	}
}

func (t *scoreTest) level() float64 {
	level := 0.0
	for _, s := range t.sums {
		level = max(level, s)
	}
	return level
}

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
	// shareRise is the factor of the rise that is tested for.
	shareRise = 4.0
	// mostShare bounds the shares that are compared.
	mostShare = 0.9
)

// take adds n attempts of which bad were bad, against the share expected.
func (t *shareTest) take(n, bad int64, expected float64) {
	p0 := min(mostShare/shareRise, max(leastShare, expected))
	p1 := p0 * shareRise
	t.n += n
	t.bad += bad
	t.sum += float64(bad)*math.Log(p1/p0) + float64(n-bad)*math.Log((1-p1)/(1-p0))
	if t.sum <= 0 {
		*t = shareTest{}
	}
}
