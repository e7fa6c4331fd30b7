package dispatch

import "testing"

func TestSlowGaps(t *testing.T) {
	p := &Paces{}
	if p.Drags("m", 500) {
		t.Error("Drags(500 ms) = true without a sample, want false")
	}
	for range 50 {
		p.TakeGap("m", 26)
	}
	if p.Drags("m", 60) {
		t.Error("Drags(60 ms) = true with a usual gap of 26 ms, want false")
	}
	if !p.Drags("m", 110) {
		t.Error("Drags(110 ms) = false with a usual gap of 26 ms, want true")
	}
	if p.Drags("other", 110) {
		t.Error("Drags() = true for a model without samples, want false")
	}
}
