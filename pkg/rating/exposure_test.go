package rating

import (
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

func TestExposureBudgetFull(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget ExposureBudget
		seen   Exposure
		want   clock.Millis
	}{
		{"share of all requests", ExposureBudget{Share: 0.1}, Exposure{Requests: 900, PerMilli: 0.1, Left: 1000}, 820},
		{"less what it got", ExposureBudget{Share: 0.1}, Exposure{Requests: 900, Exposed: 42, PerMilli: 0.1, Left: 1000}, 400},
		{"with slack", ExposureBudget{Share: 0.1, Slack: 50}, Exposure{Requests: 900, PerMilli: 0.1, Left: 1000}, 1230},
		{"slack counts at most as much as the share", ExposureBudget{Share: 0.1, Slack: 5000}, Exposure{Requests: 900, PerMilli: 0.1, Left: 1000}, 1640},
		{"used up", ExposureBudget{Share: 0.1}, Exposure{Requests: 900, Exposed: 90, PerMilli: 0.1, Left: 1000}, 0},
		{"no requests", ExposureBudget{Share: 0.1, Slack: 50}, Exposure{Left: 1000}, 0},
		{"after the end", ExposureBudget{Share: 0.1}, Exposure{Requests: 1000, PerMilli: 0.1, Left: -500}, 820},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.budget.Full(c.seen); got != c.want {
				t.Errorf("Full() = %d, want %d", got, c.want)
			}
		})
	}
}

// The share must never fall, since a falling share would send sessions back to the old release, and each step needs its time.
func TestShift(t *testing.T) {
	const perMilli, span = 0.1, 20_000
	budget := ExposureBudget{Share: 0.15, Slack: 30}
	var s Shift
	exposed, last := 0.0, 0.0
	var raisedAt clock.Millis
	for now := clock.Millis(0); now < span; now += 100 {
		s.Advance(now, budget, Exposure{Requests: perMilli * float64(now), Exposed: exposed, PerMilli: perMilli, Left: span - now})
		share := s.Share(0.06)
		if share < last {
			t.Fatalf("share falls from %g to %g at %d", last, share, now)
		}
		if share > last && last > 0.06 && now-raisedAt < minStepTime {
			t.Errorf("share rises from %g to %g after %d ms, want %d at least", last, share, now-raisedAt, minStepTime)
		}
		if share > last {
			raisedAt = now
		}
		last = share
		exposed += share * perMilli * 100
	}
	if full, ok := s.FullSince(); !ok || full != raisedAt {
		t.Errorf("FullSince() = %d, %t, want %d", full, ok, raisedAt)
	}
	if allowed := budget.Share*perMilli*span + budget.Slack; exposed > allowed {
		t.Errorf("the release got %.0f requests, allowed %.0f", exposed, allowed)
	}
}

func TestSendMeterPlansForBursts(t *testing.T) {
	var m sendMeter
	for now := clock.Millis(0); now <= 12_000; now += 100 {
		n := 4.0
		if now > 4000 && now <= 6000 {
			n = 12
		}
		m.add(now, n/2, n/2)
	}
	e := m.exposure(1000)
	if e.Requests != 644 || e.Exposed != 322 || e.Left != 1000 {
		t.Errorf("exposure %+v, want 644 requests, 322 exposed, 1000 ms left", e)
	}
	// The windows have 0.04 requests per ms, and 0.12 in one of six: a mean of 0.053 and a deviation of 0.030.
	if e.PerMilli < 0.08 || e.PerMilli > 0.09 {
		t.Errorf("planned rate is %g per ms, want the mean and one deviation, 0.083", e.PerMilli)
	}
}
