package dispatch

import (
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

func TestLongPromptShare(t *testing.T) {
	tests := []struct {
		name        string
		long, short float64
		peers       map[string]float32
		want        float64
	}{
		{name: "no work recorded", want: defaultLongShare},
		{name: "a fifth of the work is long", long: 200, short: 800, want: 0.2 * longShareFactor},
		{name: "long prompts only at peers", short: 800, peers: map[string]float32{longWorkPrefix + "lm": 200, allWorkPrefix + "lm": 200}, want: 0.2 * longShareFactor},
		{name: "all work is short", short: 800, want: minLongShare},
		{name: "all work is long", long: 800, want: maxLongShare},
		{name: "work of another service", peers: map[string]float32{longWorkPrefix + "x": 200, allWorkPrefix + "x": 200}, want: defaultLongShare},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := &WorkMix{}
			now := clock.Second
			if tc.long > 0 {
				m.Record("lm", true, tc.long, now)
			}
			if tc.short > 0 {
				m.Record("lm", false, tc.short, now)
			}
			m.SetPeerWork(tc.peers)
			if got := m.Share("lm"); got < tc.want-1e-9 || got > tc.want+1e-9 {
				t.Errorf("Share() = %g, want %g", got, tc.want)
			}
		})
	}
}

func TestOldWorkDecays(t *testing.T) {
	m := &WorkMix{}
	m.Record("lm", true, 1000, 0)
	m.Record("lm", false, 1000, clock.Millis(4*workHalfLifeMillis))
	if got := m.Share("lm"); got != minLongShare {
		t.Errorf("Share() = %g, want %g after four half-lives of the long work", got, minLongShare)
	}
}
