package courier

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/enquiry"
	"carawayknot.example/carawayknot/pkg/settings"
)

// SnapshotGate permits what the newest snapshot permits, as long as that snapshot is fresh.
type SnapshotGate struct {
	settings.Common
	// Snapshot returns the newest snapshot.
	Snapshot func() *catalogue.Snapshot
}

// Permit returns a *catalogue.StaleError or a *catalogue.ForbiddenError for a call that may not be sent now.
func (g *SnapshotGate) Permit(c *enquiry.Call) error {
	s := g.Snapshot()
	if s == nil {
		return &catalogue.StaleError{Age: g.Clock.Now(), Horizon: g.Settings.Times.Horizon}
	}
	if err := s.Fresh(g.Clock.Now(), g.Settings.Times.Horizon); err != nil {
		return err
	}
	if c.Version != nil {
		if err := s.PermitVersion(c.Request.Workspace, c.Version.ID); err != nil {
			return err
		}
	}
	return s.PermitUpstream(c.Upstream.Name)
}
