package catalogue

import "testing"

// The share must never fall during a move, since a falling share would move sessions back to the old release.
func TestReleaseMoveShare(t *testing.T) {
	m := &ReleaseMove{ReleaseOrder: ReleaseOrder{Span: 10_000}, State: ReleaseRunning, StartedAt: 1000, Canary: 0.06}
	last := 0.0
	for now := m.StartedAt; now < m.StartedAt+m.Span; now += 100 {
		share := m.Share(now)
		if share < last {
			t.Fatalf("share of the new release falls from %g to %g at %d", last, share, now)
		}
		if m.Preparing(now) && share != 0 || m.KeepsSessions(now) && !m.Preparing(now) && share != m.Canary {
			t.Fatalf("share of the new release is %g, want 0 in the first phase and the canary fraction in the second", share)
		}
		if now < m.StartedAt+m.Span/2 && !m.KeepsSessions(now) {
			t.Fatalf("sessions need not keep their release at %d, want them to in the first half of the span", now)
		}
		last = share
	}
	if got := m.Share(m.ShiftedAt()); got < 0.999 {
		t.Errorf("share of the new release is %g at the end of the shift, want 1", got)
	}
	m.State = ReleaseReverted
	if got := m.Share(m.ShiftedAt()); got != 0 {
		t.Errorf("share of the new release is %g for a reverted move, want 0", got)
	}
	m.State = ReleaseCompleted
	if got := m.Share(m.StartedAt); got != 1 {
		t.Errorf("share of the new release is %g for a completed move, want 1", got)
	}
}
