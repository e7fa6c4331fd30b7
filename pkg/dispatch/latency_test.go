package dispatch

import "testing"

func TestSlowGaps(t *testing.T) {
	l := &LatencyTracker{}
	if l.IsSlowGap("m", 500) {
		t.Error("IsSlowGap(500 ms) = true without a sample, want false")
	}
	for range 50 {
		l.RecordGap("m", 26)
	}
	if l.IsSlowGap("m", 60) {
		t.Error("IsSlowGap(60 ms) = true with a usual gap of 26 ms, want false")
	}
	if !l.IsSlowGap("m", 110) {
		t.Error("IsSlowGap(110 ms) = false with a usual gap of 26 ms, want true")
	}
	if l.IsSlowGap("other", 110) {
		t.Error("IsSlowGap() = true for a model without samples, want false")
	}
}
