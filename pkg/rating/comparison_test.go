package rating

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/request"
)

// answers of one release on one route.
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
		{"nothing seen", nil, false},
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
					k.Take(s.route, "u1", s.onTarget, request.ResultComplete, false)
				}
				for i := range s.failed {
					k.Take(s.route, fmt.Sprint("u", i%2), s.onTarget, request.ResultFailed, false)
				}
				for range s.slow {
					k.Take(s.route, "u1", s.onTarget, request.ResultComplete, true)
				}
				k.Take(s.route, "u1", s.onTarget, request.ResultRefused, false)
				k.Take(s.route, "u1", s.onTarget, request.ResultCancelled, false)
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
		k.Take("a", "u1", true, request.ResultCut, false)
	}
	if v := k.Verdict(); v.Bad {
		t.Errorf("one upstream that failed makes its release bad: %+v", v)
	}
}

func TestComparisonPace(t *testing.T) {
	for _, c := range []struct {
		name                 string
		oldGood, oldDragging int
		good, dragging       int
		upstreams            int
		bad                  bool
	}{
		{"no stream drags", 40, 0, 9, 0, 3, false},
		{"all drag", 40, 0, 0, 5, 3, true},
		{"too few drag", 40, 0, 0, 4, 3, false},
		{"at one upstream alone", 40, 0, 0, 9, 1, false},
		{"the old release drags as well", 20, 20, 3, 6, 3, false},
		{"a full engine now and then", 40, 4, 20, 5, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &Comparison{}
			take := func(n int, onTarget, drags bool) {
				for i := range n {
					k.Take("a", fmt.Sprint("u", i%c.upstreams), onTarget, request.ResultComplete, false)
					k.TakePace("a", fmt.Sprint("u", i%c.upstreams), onTarget, drags)
				}
			}
			take(c.oldGood, false, false)
			take(c.oldDragging, false, true)
			take(c.good, true, false)
			take(c.dragging, true, true)
			if v := k.Verdict(); v.Bad != c.bad {
				t.Errorf("verdict %+v, want bad %t", v, c.bad)
			}
		})
	}
}

// TestComparisonCrashedUpstreams is a crash of half of the upstreams while a good release is rolled out: those of the new release
// can't be reached, which many instances notice before the list says so.
func TestComparisonCrashedUpstreams(t *testing.T) {
	k := &Comparison{}
	for i := range 40 {
		k.Take("a", "u1", false, request.ResultComplete, false)
		k.Take("a", fmt.Sprint("u", i), true, request.ResultUnreached, false)
	}
	if v := k.Verdict(); v.Bad || v.Answers > 0 {
		t.Errorf("upstreams that can't be reached make their release bad: %+v", v)
	}
}

func TestComparisonAddsUpInstances(t *testing.T) {
	instances := make([]*Comparison, 5)
	for i := range instances {
		instances[i] = &Comparison{}
		instances[i].Take("a", fmt.Sprint("u", i), true, request.ResultFailed, false)
		if v := instances[i].Verdict(); v.Bad {
			t.Fatalf("one failure is enough: %+v", v)
		}
	}
	seen := map[string]float32{}
	for _, k := range instances[1:] {
		one := map[string]float32{}
		k.Own("lm ", one)
		for key, n := range one {
			seen[key] += n
		}
	}
	instances[0].Tell("lm ", seen)
	if v := instances[0].Verdict(); !v.Bad || v.Failed != 5 {
		t.Errorf("five failures at five instances give %+v", v)
	}
	instances[0].Tell("other ", seen)
	if v := instances[0].Verdict(); v.Bad {
		t.Errorf("what was seen of another move counts: %+v", v)
	}
}
