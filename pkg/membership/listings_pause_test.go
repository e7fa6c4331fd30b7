package membership

import (
	"context"
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Guards against a pause between two reads of the list that goes on after its end was asked for.
func TestListingsPauseEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := &PeerSource{Clock: clock.NewManual(1000)}
	s.listingsPausedUntil.Store(int64(1000 + listingsPause))
	if err := s.awaitListingsPause(ctx); err == nil {
		t.Error("no pause after a read with changes")
	}
	s.EndListingsPause()
	if err := s.awaitListingsPause(ctx); err != nil {
		t.Errorf("the pause goes on: %v", err)
	}
}
