package dispatch

import (
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

func TestLanesShare(t *testing.T) {
	tests := []struct {
		name        string
		long, short float64
		told        map[string]float32
		want        float64
	}{
		{name: "nothing seen", want: usualShare},
		{name: "a fifth is long", long: 200, short: 800, want: 0.2 * laneRoom},
		{name: "others have the long ones", short: 800, told: map[string]float32{laneLongMark + "lm": 200, laneAllMark + "lm": 200}, want: 0.2 * laneRoom},
		{name: "all are short", short: 800, want: leastShare},
		{name: "all are long", long: 800, want: mostShare},
		{name: "another service's work", told: map[string]float32{laneLongMark + "x": 200, laneAllMark + "x": 200}, want: usualShare},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l := &Lanes{}
			now := clock.Second
			if tc.long > 0 {
				l.Take("lm", true, tc.long, now)
			}
			if tc.short > 0 {
				l.Take("lm", false, tc.short, now)
			}
			l.Tell(tc.told)
			if got := l.Share("lm"); got < tc.want-1e-9 || got > tc.want+1e-9 {
				t.Errorf("share %g, want %g", got, tc.want)
			}
		})
	}
}

func TestLanesForgetOldWork(t *testing.T) {
	l := &Lanes{}
	l.Take("lm", true, 1000, 0)
	l.Take("lm", false, 1000, clock.Millis(4*laneHalfLife))
	if got := l.Share("lm"); got != leastShare {
		t.Errorf("share %g, want %g: a sixteenth of the long work is left", got, leastShare)
	}
}
