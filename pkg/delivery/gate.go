package delivery

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// SnapshotGate is a Gate that permits what the newest snapshot permits, as long as that snapshot is fresh.
type SnapshotGate struct {
	settings.Common
	// Snapshot returns the newest snapshot, or nil if there is none yet.
	Snapshot func() *catalogue.Snapshot
}

// Permit returns a *catalogue.StaleError, or a *request.Refusal if the version, service or upstream may not be used now.
func (g *SnapshotGate) Permit(c *request.Call) error {
	s := g.Snapshot()
	if s == nil {
		return &catalogue.StaleError{Age: g.Clock.Now(), Horizon: g.Settings.Times.Horizon}
	}
	if err := s.Fresh(g.Clock.Now(), g.Settings.Times.Horizon); err != nil {
		return err
	}
	if err := s.PermitShare(c.Upstream.Name, g.Clock.Now()); err != nil {
		return refusalFor(request.ReasonOverloaded, err)
	}
	if c.Version != nil {
		if err := s.PermitVersion(c.Request.Workspace, c.Version.ID); err != nil {
			return refusalFor(request.ReasonNoVersion, err)
		}
	}
	if c.Service != nil {
		if err := s.PermitService(c.Request.Workspace, c.Service.Name); err != nil {
			return refusalFor(request.ReasonForbidden, err)
		}
	}
	if err := s.PermitUpstream(c.Upstream.Name); err != nil {
		return refusalFor(request.ReasonNoUpstream, err)
	}
	return nil
}

func refusalFor(reason request.Reason, err error) *request.Refusal {
	r := request.Refuse(reason, retryAfterFailureMillis, "%s", err.Error())
	r.Cause = err
	return r
}
