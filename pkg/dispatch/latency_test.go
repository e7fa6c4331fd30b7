package dispatch

import "testing"

func TestSlowGaps(t *testing.T) {
	p := &Paces{}
	if p.Drags("m", 500) {
		t.Error("a stream drags before any pause is known")
	}
	for range 50 {
		p.TakeGap("m", 26)
	}
	if p.Drags("m", 60) {
		t.Error("twice the usual pause is dragging")
	}
	if !p.Drags("m", 110) {
		t.Error("four times the usual pause is not dragging")
	}
	if p.Drags("other", 110) {
		t.Error("the pauses of one model tell of another")
	}
}
