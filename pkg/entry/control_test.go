package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

func startControl(t *testing.T) *Control {
	t.Helper()
	cfg := settings.Default()
	cfg.Name, cfg.Zone = "entry-a", "zone-a"
	common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewManual(1_000_000)}
	c := newControl(common, newSelf(common))
	c.Run()
	return c
}

func TestControlStaysFailedAfterPanic(t *testing.T) {
	c := startControl(t)
	defer c.Stop()
	if err := c.Do(t.Context(), func() { panic("a fault") }); !errors.Is(err, errFailed) {
		t.Errorf("Do() = %v, want %v", err, errFailed)
	}
	<-c.Failed()
	ran := false
	if err := c.Do(t.Context(), func() { ran = true }); !errors.Is(err, errFailed) || ran {
		t.Errorf("Do() after the panic = %v, function ran: %v", err, ran)
	}
}

func TestControlDoFailsAfterStopOrWithCancelledContext(t *testing.T) {
	c := startControl(t)
	c.Stop()
	if err := c.Do(t.Context(), func() {}); !errors.Is(err, errStopped) {
		t.Errorf("Do() after Stop = %v, want %v", err, errStopped)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.Do(ctx, func() {}); err == nil {
		t.Error("Do() with a cancelled context succeeded after Stop, want an error")
	}
}

// A list that has not changed is skipped, which must not lose what the first one said about its upstreams.
func TestP10UnchangedListKeepsUpstreamState(t *testing.T) {
	c := startControl(t)
	defer c.Stop()
	l := backoffice.Listing{AsOf: 1_000_000, Instances: []backoffice.Instance{
		{Name: "engine-a", Role: catalogue.RoleEngine, Zone: "zone-a"},
		{Name: "engine-b", Role: catalogue.RoleEngine, Zone: "zone-b", Leaving: true},
	}}
	for range 2 {
		c.Send(&listRead{SentAt: 1_000_000, Listing: l})
		if err := c.Do(t.Context(), func() {}); err != nil {
			t.Fatal(err)
		}
		s := c.Snapshot()
		if s.PermitUpstream("engine-a") != nil || s.PermitUpstream("engine-b") == nil {
			t.Errorf("upstreams are %v, want engine-a permitted and engine-b, which is leaving, not", s.Upstreams)
		}
	}
}
