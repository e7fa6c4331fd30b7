package rating

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// phase is a time in which both releases get answers of the same kinds each 100 ms, spread over the given number of upstreams.
type phase struct {
	until       clock.Millis
	old, target answers
	upstreams   int
}

func (p phase) record(c *Comparison, a answers, onTarget bool) {
	n := 0
	record := func(count int, result request.Result, slow bool) {
		for range count {
			c.RecordAttempt("a", fmt.Sprint("u", n%p.upstreams), onTarget, result, slow)
			n++
		}
	}
	record(a.failed, request.ResultFailed, false)
	record(a.slow, request.ResultComplete, true)
	record(a.good, request.ResultComplete, false)
}

func play(c *Comparison, phases []phase) (badAt clock.Millis, v Verdict) {
	now := clock.Millis(0)
	for _, p := range phases {
		for ; now < p.until; now += 100 {
			p.record(c, p.old, false)
			p.record(c, p.target, true)
			c.Advance(now)
			if v = c.Verdict(); v.Bad {
				return now, v
			}
		}
	}
	return 0, v
}

// Answers of before the load diluted those since, so that a release which failed only at its end was completed.
func TestComparisonRecent(t *testing.T) {
	good := answers{good: 4}
	for _, c := range []struct {
		name   string
		phases []phase
		// from and to bound the time of the verdict of bad; both are 0 if the release is good.
		from, to clock.Millis
	}{
		{"good", []phase{{20_000, good, good, 3}}, 0, 0},
		{"failures after many good answers", []phase{{20_000, good, good, 3}, {22_000, good, answers{good: 2, failed: 2}, 3}}, 20_000, 20_500},
		{"failures of both releases", []phase{{5000, good, good, 3}, {9000, answers{good: 2, failed: 2}, answers{good: 2, failed: 2}, 3}}, 0, 0},
		{"failures at one upstream", []phase{{5000, good, good, 3}, {9000, good, answers{good: 2, failed: 2}, 1}}, 0, 0},
		{"late after many good answers", []phase{{20_000, good, good, 3}, {25_000, good, answers{good: 2, slow: 2}, 3}}, 21_500, 23_000},
		{"late at one upstream", []phase{{20_000, good, good, 3}, {25_000, good, answers{good: 2, slow: 2}, 1}}, 0, 0},
		{"a silence of both releases", []phase{
			{5000, good, good, 3}, {6600, answers{good: 2, slow: 2}, answers{good: 2, slow: 2}, 3}, {20_000, good, good, 3},
		}, 0, 0},
		{"a silence of the new release", []phase{{5000, good, good, 3}, {6600, good, answers{slow: 4}, 3}, {20_000, good, good, 3}}, 0, 0},
		{"late beside silences of the old release", []phase{
			{5000, good, good, 3}, {6600, answers{good: 2, slow: 2}, answers{slow: 4}, 3}, {12_000, good, answers{good: 2, slow: 2}, 3},
		}, 6600, 10_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			at, v := play(&Comparison{}, c.phases)
			if v.Bad != (c.to > 0) || at < c.from || at > c.to {
				t.Errorf("verdict %+v at %d, want bad %t from %d to %d", v, at, c.to > 0, c.from, c.to)
			}
		})
	}
}

// The crash of a rack cuts many answers off at once, which is not the release's doing.
func TestComparisonRecentCrash(t *testing.T) {
	c := &Comparison{}
	play(c, []phase{{5000, answers{good: 20}, answers{good: 20}, 3}})
	for i := range 40 {
		c.RecordAttempt("a", fmt.Sprint("u", i%4), true, request.ResultCut, false)
	}
	c.Advance(5000)
	if v := c.Verdict(); v.Bad || v.Recent > 0 || v.Doubt {
		t.Errorf("verdict %+v after the crash of four upstreams, want no evidence", v)
	}
}

func TestComparisonDoubt(t *testing.T) {
	good := answers{good: 4}
	for _, c := range []struct {
		name   string
		phases []phase
		want   bool
	}{
		{"good", []phase{{5000, good, good, 3}}, false},
		{"a few failures", []phase{{5000, good, good, 3}, {5300, good, answers{good: 3, failed: 1}, 3}}, true},
		{"a few late answers", []phase{{5000, good, good, 3}, {5300, good, answers{good: 3, slow: 1}, 3}}, true},
		{"good answers dispel it", []phase{{5000, good, good, 3}, {5300, good, answers{good: 3, failed: 1}, 3}, {6500, good, good, 3}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, v := play(&Comparison{}, c.phases); v.Bad || v.Doubt != c.want {
				t.Errorf("verdict %+v, want doubt %t", v, c.want)
			}
		})
	}
}

// An instance reverted a release and another one completed it meanwhile.
func TestComparisonVerdictIsShared(t *testing.T) {
	first, second := &Comparison{}, &Comparison{}
	play(first, []phase{{2000, answers{good: 4}, answers{failed: 4}, 3}})
	counts := map[string]float32{}
	first.AddOwnCounts("lm ", counts)
	for key := range counts {
		if key != "lm "+badKey {
			delete(counts, key)
		}
	}
	second.SetPeerCounts("lm ", counts)
	if v := second.Verdict(); !v.Bad {
		t.Errorf("verdict %+v after another instance found the release bad, want bad", v)
	}
	second.SetPeerCounts("lm ", nil)
	if v := second.Verdict(); !v.Bad || second.PeersKnown() {
		t.Errorf("verdict %+v, peers known %t without a report of the others, want bad and false", v, second.PeersKnown())
	}
}

// Counts of an instance that ends leave the sums, and those of one that was out of touch come back to them.
func TestComparisonSumsFall(t *testing.T) {
	c := &Comparison{}
	key := "lm " + countKey(countSends, releaseTarget, "")
	for i, n := range []float32{10, 30, 5, 25} {
		c.SetPeerCounts("lm ", map[string]float32{key: n})
		c.Advance(clock.Millis(100 * i))
	}
	if e := c.Exposure(0); e.Exposed != 50 {
		t.Errorf("%g requests after sums of 10, 30, 5 and 25, want 50", e.Exposed)
	}
}
