package delivery

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// SnapshotGate permits what the newest snapshot permits, as long as that snapshot is fresh.
type SnapshotGate struct {
	settings.Common
	// Snapshot returns the newest snapshot.
	Snapshot func() *catalogue.Snapshot
}

// Permit returns a *catalogue.StaleError, or a *request.Refusal of a version or an upstream that may not be used now.
func (g *SnapshotGate) Permit(c *request.Call) error {
	s := g.Snapshot()
	if s == nil {
		return &catalogue.StaleError{Age: g.Clock.Now(), Horizon: g.Settings.Times.Horizon}
	}
	if err := s.Fresh(g.Clock.Now(), g.Settings.Times.Horizon); err != nil {
		return err
	}
	if err := s.PermitShare(c.Upstream.Name, g.Clock.Now()); err != nil {
		return refuseFor(request.ReasonOverloaded, err)
	}
	if c.Version != nil {
		if err := s.PermitVersion(c.Request.Workspace, c.Version.ID); err != nil {
			return refuseFor(request.ReasonNoVersion, err)
		}
	}
	if c.Service != nil {
		if err := s.PermitService(c.Request.Workspace, c.Service.Name); err != nil {
			return refuseFor(request.ReasonForbidden, err)
		}
	}
	if err := s.PermitUpstream(c.Upstream.Name); err != nil {
		return refuseFor(request.ReasonNoUpstream, err)
	}
	return nil
}

func refuseFor(reason request.Reason, err error) *request.Refusal {
	r := request.Refuse(reason, retrySoon, "%s", err.Error())
	r.Cause = err
	return r
}
