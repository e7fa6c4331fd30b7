package entry

import (
	"context"
	"fmt"
	"sync"

	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// probePeriod is how often idle cold upstreams are probed, in milliseconds.
const probePeriod clock.Millis = 250

// Prober probes the idle cold upstreams of which this instance has a share, engines by one-token requests and services by reading
// their load reports; without probes, such an upstream would stay cold until one of the few instances with a share got a request
// for it.
type Prober struct {
	Common   settings.Common
	Snapshot func() *catalogue.Snapshot
	InFlight *dispatch.InFlightLimiter
	Sender   *delivery.Sender
	Loads    Loads
	// Observe receives the result of each probe of a plain service.
	Observe func(request.Sample)

	probes sync.WaitGroup
}

// Loads reads the load report of the upstream at an address.
type Loads interface {
	Load(ctx context.Context, address string) (backoffice.LoadReport, error)
}

// Round starts a probe of each idle cold upstream and waits for none, since one that does not answer would delay the others.
func (p *Prober) Round(ctx context.Context) error {
	s := p.Snapshot()
	if s.Draining || s.Fresh(p.Common.Clock.Now(), p.Common.Settings.Times.Horizon) != nil {
		return nil
	}
	for _, u := range s.Upstreams {
		if !u.Cold || u.Share == 0 || s.PermitUpstream(u.Name) != nil || p.InFlight.InFlight(u.Name) > 0 {
			continue
		}
		if u.Load.InFlight >= coldLimit(u) {
			// It still runs requests that were sent while it was warm.
			continue
		}
		if p.InFlight.Acquire(u.Name, u.Share) {
			p.probes.Go(func() { p.probe(context.WithoutCancel(ctx), s, u) })
		}
	}
	return nil
}

// Close waits for the probes in flight, each bounded by ColdHold; no round may start after it.
func (p *Prober) Close() {
	p.probes.Wait()
	p.Sender.Close()
}

// probe sends one probe, and gives back the upstream's in-flight slot when it ends.
func (p *Prober) probe(ctx context.Context, s *catalogue.Snapshot, u *catalogue.Upstream) {
	defer p.InFlight.Release(u.Name)
	ctx, cancel := clock.WithTimeout(ctx, p.Common.Clock, p.Common.Settings.Times.ColdHold)
	defer cancel()
	var err error
	if u.Role == catalogue.RoleService {
		err = p.probeService(ctx, u)
	} else if v := probeVersion(s, u); v != nil {
		err = p.probeEngine(ctx, u, v)
	}
	if err != nil {
		p.Common.Log.WithName("probe").V(1).Info("probe failed", "upstream", u.Name, "error", err.Error())
	}
}

// probeVersion returns a version that the engine has loaded and that is not withdrawn, or nil.
func probeVersion(s *catalogue.Snapshot, u *catalogue.Upstream) *catalogue.Version {
	for _, id := range u.Versions {
		if v := s.Config.Versions[id]; v != nil && !v.Withdrawn {
			return v
		}
	}
	return nil
}

func (p *Prober) probeEngine(ctx context.Context, u *catalogue.Upstream, v *catalogue.Version) error {
	now := p.Common.Clock.Now()
	c := &request.Call{
		Request: &request.Request{
			ID:         "probe-" + uuid.NewString(),
			Repeatable: true,
			ArrivedAt:  now,
			Deadline:   now + p.Common.Settings.Times.ColdHold,
			Messages:   []request.Message{{Role: "user", Content: "ping"}},
			MaxTokens:  1,
		},
		Version:  v,
		Upstream: u,
		Writer:   discardWriter{},
	}
	return p.Sender.Filter(ctx, c, nil)
}

func (p *Prober) probeService(ctx context.Context, u *catalogue.Upstream) error {
	sentAt := p.Common.Clock.Now()
	_, err := p.Loads.Load(ctx, u.Address)
	s := request.Sample{At: p.Common.Clock.Now(), Upstream: u.Name, Result: request.ResultComplete}
	s.FirstToken = s.At - sentAt
	s.Total = s.FirstToken
	if err != nil {
		s.Result = request.ResultFailed
	}
	p.Observe(s)
	return err
}

// probeGate checks the rules that apply to probes, which belong to no workspace: the view and the share are fresh, and both the
// version and the upstream may get new work.
type probeGate struct {
	Common   settings.Common
	Snapshot func() *catalogue.Snapshot
}

// Permit returns nil, or a *StaleError or *ForbiddenError of package catalogue when the probe must not be sent.
func (g *probeGate) Permit(c *request.Call) error {
	s := g.Snapshot()
	if err := s.Fresh(g.Common.Clock.Now(), g.Common.Settings.Times.Horizon); err != nil {
		return err
	}
	if err := s.PermitShare(c.Upstream.Name, g.Common.Clock.Now()); err != nil {
		return err
	}
	u := s.Upstream(c.Upstream.Name)
	if u == nil || !u.Serves(c.Version.ID) {
		return &catalogue.ForbiddenError{Rule: "version not loaded", Name: fmt.Sprint(c.Upstream.Name, " ", c.Version.ID)}
	}
	if v := s.Config.Versions[c.Version.ID]; v == nil || v.Withdrawn {
		return &catalogue.ForbiddenError{Rule: "withdrawn version", Name: string(c.Version.ID)}
	}
	return s.PermitUpstream(c.Upstream.Name)
}

// discardWriter drops the answer to a probe.
type discardWriter struct{}

// WriteHead drops the head and never fails.
func (discardWriter) WriteHead(context.Context, *request.Call, request.Head) error { return nil }

// WriteChunk drops the chunk and never fails.
func (discardWriter) WriteChunk(context.Context, *request.Call, request.Chunk) error { return nil }

// WriteBytes drops the bytes and never fails.
func (discardWriter) WriteBytes(context.Context, *request.Call, []byte) error { return nil }

// WriteEnd drops the end and never fails.
func (discardWriter) WriteEnd(context.Context, *request.Call, request.End) error { return nil }
