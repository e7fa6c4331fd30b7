package rating

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/request"
)

// answers counts the answers of one release on one route.
type answers struct {
	route              string
	onTarget           bool
	good, failed, slow int
}

func TestComparison(t *testing.T) {
	for _, c := range []struct {
		name string
		seen []answers
		bad  bool
	}{
		{"no answers", nil, false},
		{"four failures are too few", []answers{{"a", false, 50, 0, 0}, {"a", true, 0, 4, 0}}, false},
		{"failures", []answers{{"a", false, 50, 0, 0}, {"a", true, 3, 5, 0}}, true},
		{"failures on one route only", []answers{{"a", false, 50, 0, 0}, {"a", true, 60, 0, 0}, {"b", false, 50, 0, 0}, {"b", true, 4, 5, 0}}, true},
		{"the old release fails as often", []answers{{"a", false, 50, 20, 0}, {"a", true, 7, 5, 0}}, false},
		{"few failures among many answers", []answers{{"a", false, 50, 0, 0}, {"a", true, 60, 6, 0}}, false},
		{"slow answers", []answers{{"a", false, 50, 0, 0}, {"a", true, 6, 0, 8}}, true},
		{"a queue makes both releases slow", []answers{{"a", false, 30, 0, 20}, {"a", true, 6, 0, 8}}, false},
		{"some slow answers among many", []answers{{"a", false, 50, 0, 0}, {"a", true, 33, 0, 9}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &Comparison{}
			for _, s := range c.seen {
				for range s.good {
					k.RecordAttempt(s.route, "u1", s.onTarget, request.ResultComplete, false)
				}
				for i := range s.failed {
					k.RecordAttempt(s.route, fmt.Sprint("u", i%2), s.onTarget, request.ResultFailed, false)
				}
				for range s.slow {
					k.RecordAttempt(s.route, "u1", s.onTarget, request.ResultComplete, true)
				}
				k.RecordAttempt(s.route, "u1", s.onTarget, request.ResultRefused, false)
				k.RecordAttempt(s.route, "u1", s.onTarget, request.ResultCancelled, false)
			}
			if v := k.Verdict(); v.Bad != c.bad {
				t.Errorf("verdict %+v, want bad %t", v, c.bad)
			}
		})
	}
}

func TestComparisonOneUpstreamFails(t *testing.T) {
	k := &Comparison{}
	for range 20 {
		k.RecordAttempt("a", "u1", true, request.ResultCut, false)
	}
	if v := k.Verdict(); v.Bad {
		t.Errorf("verdict %+v after failures at one upstream only, want not bad", v)
	}
}

func TestComparisonSlowStreams(t *testing.T) {
	for _, c := range []struct {
		name             string
		oldGood, oldSlow int
		good, slow       int
		upstreams        int
		bad              bool
	}{
		{"no slow streams", 40, 0, 9, 0, 3, false},
		{"all streams slow", 40, 0, 0, 5, 3, true},
		{"too few slow streams", 40, 0, 0, 4, 3, false},
		{"slow streams at one upstream only", 40, 0, 0, 9, 1, false},
		{"slow streams of the old release as well", 20, 20, 3, 6, 3, false},
		{"occasional slow streams from a full engine", 40, 4, 20, 5, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &Comparison{}
			record := func(n int, onTarget, isSlow bool) {
				for i := range n {
					k.RecordAttempt("a", fmt.Sprint("u", i%c.upstreams), onTarget, request.ResultComplete, false)
					k.RecordStream("a", fmt.Sprint("u", i%c.upstreams), onTarget, isSlow)
				}
			}
			record(c.oldGood, false, false)
			record(c.oldSlow, false, true)
			record(c.good, true, false)
			record(c.slow, true, true)
			if v := k.Verdict(); v.Bad != c.bad {
				t.Errorf("verdict %+v, want bad %t", v, c.bad)
			}
		})
	}
}

// TestComparisonCrashedUpstreams crashes half of the upstreams while a good release is rolled out: many attempts at those of the
// new release can't connect before the instance list is updated, and must not count against it.
func TestComparisonCrashedUpstreams(t *testing.T) {
	k := &Comparison{}
	for i := range 40 {
		k.RecordAttempt("a", "u1", false, request.ResultComplete, false)
		k.RecordAttempt("a", fmt.Sprint("u", i), true, request.ResultUnreached, false)
	}
	if v := k.Verdict(); v.Bad || v.Answers > 0 {
		t.Errorf("verdict %+v after attempts at unreachable upstreams only, want not bad and no answers", v)
	}
}

func TestComparisonSumsUpInstances(t *testing.T) {
	instances := make([]*Comparison, 5)
	for i := range instances {
		instances[i] = &Comparison{}
		instances[i].RecordAttempt("a", fmt.Sprint("u", i), true, request.ResultFailed, false)
		if v := instances[i].Verdict(); v.Bad {
			t.Fatalf("verdict %+v after one failure, want not bad", v)
		}
	}
	seen := map[string]float32{}
	for _, k := range instances[1:] {
		counts := map[string]float32{}
		k.AddOwnCounts("lm ", counts)
		for key, n := range counts {
			seen[key] += n
		}
	}
	instances[0].SetPeerCounts("lm ", seen)
	if v := instances[0].Verdict(); !v.Bad || v.Failed != 5 {
		t.Errorf("verdict %+v after five failures at five instances, want bad and 5 failed", v)
	}
	instances[0].SetPeerCounts("other ", seen)
	if v := instances[0].Verdict(); v.Bad {
		t.Errorf("verdict %+v from counts of another release, want not bad", v)
	}
}
