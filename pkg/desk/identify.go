package desk

import (
	"context"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// defaultDeadline applies when neither the caller nor the configuration sets a time limit.
const defaultDeadline = 60 * clock.Second

// Identify is the filter that resolves the workspace and the profile or service of a call.
type Identify struct {
	settings.Common
	// Snapshot returns the newest snapshot, or nil before the first one.
	Snapshot func() *catalogue.Snapshot
}

// Filter refuses a call that its workspace may not make or whose deadline has passed.
func (f *Identify) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	snap := f.Snapshot()
	if snap == nil {
		return request.Refuse(request.ReasonStaleView, defaultRetryAfter, "the configuration is not known yet")
	}
	if err := snap.Fresh(f.Clock.Now(), f.Settings.Times.Horizon); err != nil {
		return staleRefusal(err)
	}
	c.SnapshotAt = snap.At
	c.Workspace = snap.Config.Workspaces[c.Request.Workspace]
	if c.Workspace == nil {
		return request.Refuse(request.ReasonUnauthorized, 0, "the workspace is not known")
	}
	if err := f.resolveTarget(snap.Config, c); err != nil {
		return err
	}
	if c.Request.Deadline == 0 {
		c.Request.Deadline = c.Request.ArrivedAt + defaultTimeLimit(snap.Config, c.Request)
	}
	if f.Clock.Now() >= c.Request.Deadline {
		return request.Refuse(request.ReasonDeadline, 0, "the deadline has passed")
	}
	return next.Handle(ctx, c)
}

// resolveTarget sets the profile or the service of the call.
func (f *Identify) resolveTarget(config *catalogue.State, c *request.Call) error {
	if name := c.Request.Service; name != "" {
		c.Service = config.Services[name]
		if c.Service == nil || !slices.Contains(c.Workspace.Services, name) {
			return forbid("service", "workspace %s may not use service %s", c.Workspace.Name, name)
		}
		return nil
	}
	name := c.Request.Profile
	c.Profile = config.Profiles[name]
	if c.Profile == nil || !slices.Contains(c.Workspace.Profiles, name) {
		return forbid(HeaderProfile, "workspace %s may not use profile %s", c.Workspace.Name, name)
	}
	return nil
}

// defaultTimeLimit returns the time limit of a request without a deadline of its own, in milliseconds.
func defaultTimeLimit(config *catalogue.State, q *request.Request) clock.Millis {
	var limit clock.Millis
	if s := config.Services[q.Service]; s != nil {
		limit = s.Deadline
	} else if p := config.Profiles[q.Profile]; p != nil {
		limit = p.Deadline
	}
	if limit == 0 {
		return defaultDeadline
	}
	return limit
}

func forbid(field, format string, args ...any) *request.Refusal {
	r := request.Refuse(request.ReasonForbidden, 0, format, args...)
	r.Field = field
	return r
}
