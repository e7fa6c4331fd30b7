package catalogue

import "testing"

// The share must never fall during a rollout, since a falling share would send sessions back to the old release.
func TestReleaseRolloutShare(t *testing.T) {
	rollout := &ReleaseRollout{ReleaseOrder: ReleaseOrder{Span: 10_000}, State: ReleaseRunning, StartedAt: 1000, Canary: 0.06}
	last := 0.0
	for now := rollout.StartedAt; now < rollout.StartedAt+rollout.Span; now += 100 {
		share := rollout.Share(now, float64(now-rollout.StartedAt)/float64(rollout.Span))
		if share < last {
			t.Fatalf("share of the new release falls from %g to %g at %d", last, share, now)
		}
		if rollout.Preparing(now) && share != 0 || rollout.KeepsSessions(now) && !rollout.Preparing(now) && share != rollout.Canary {
			t.Fatalf("share of the new release is %g, want 0 in the first phase and the canary fraction in the second", share)
		}
		if now < rollout.StartedAt+rollout.Span/2 && !rollout.KeepsSessions(now) {
			t.Fatalf("sessions need not keep their release at %d, want them to in the first half of the span", now)
		}
		last = share
	}
	end := rollout.StartedAt + rollout.Span
	if got := rollout.Share(end, 1); got < 0.999 {
		t.Errorf("share of the new release is %g at the end of the shift, want 1", got)
	}
	rollout.State = ReleaseReverted
	if got := rollout.Share(end, 1); got != 0 {
		t.Errorf("share of the new release is %g for a reverted rollout, want 0", got)
	}
	rollout.State = ReleaseCompleted
	if got := rollout.Share(rollout.StartedAt, 0); got != 1 {
		t.Errorf("share of the new release is %g for a completed rollout, want 1", got)
	}
}
