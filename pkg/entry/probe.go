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

// probePeriod is how often idle cold engines are looked for, in milliseconds.
const probePeriod clock.Millis = 250

// Prober sends a request for one token to cold engines that are idle and of which this instance has a share;
// a plain service is asked for its load report in place of a request. Only a few instances have a share of a cold engine;
// without probes the others could not use it before one of those few happened to get a request for it.
type Prober struct {
	Common   settings.Common
	Snapshot func() *catalogue.Snapshot
	Flights  *dispatch.Flights
	Send     *delivery.Send
	// Loads reads load reports.
	Loads Loads
	// Observe is told what the probe of a plain service showed.
	Observe func(request.Sample)

	probes sync.WaitGroup
}

// Loads reads the load reports of upstreams.
type Loads interface {
	Load(ctx context.Context, address string) (backoffice.LoadReport, error)
}

// Round begins a probe of each idle cold upstream and waits for none, since a silent one would hold up the others.
func (p *Prober) Round(ctx context.Context) error {
	s := p.Snapshot()
	if s.Draining || s.Fresh(p.Common.Clock.Now(), p.Common.Settings.Times.Horizon) != nil {
		return nil
	}
	for _, u := range s.Upstreams {
		if !u.Cold || u.Share == 0 || s.PermitUpstream(u.Name) != nil || p.Flights.InFlight(u.Name) > 0 {
			continue
		}
		if u.Load.InFlight >= coldLimit(u) {
			// It still has what was sent while it was warm.
			continue
		}
		if p.Flights.Acquire(u.Name, u.Share) {
			p.probes.Go(func() { p.probe(context.WithoutCancel(ctx), s, u) })
		}
	}
	return nil
}

// Close waits for the probes under way, each of which ends after ColdHold; no round may begin any more.
func (p *Prober) Close() {
	p.probes.Wait()
	p.Send.Close()
}

// probe sends one probe and releases the upstream.
func (p *Prober) probe(ctx context.Context, s *catalogue.Snapshot, u *catalogue.Upstream) {
	defer p.Flights.Release(u.Name)
	ctx, cancel := clock.WithTimeout(ctx, p.Common.Clock, p.Common.Settings.Times.ColdHold)
	defer cancel()
	var err error
	if u.Role == catalogue.RoleService {
		err = p.probeService(ctx, u)
	} else if v := probeVersion(s, u); v != nil {
		err = p.probeEngine(ctx, u, v)
	}
	if err != nil {
		p.Common.Log.WithName("probe").V(1).Info("upstream did not answer", "upstream", u.Name, "why", err.Error())
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
		Writer:   discard{},
	}
	return p.Send.Filter(ctx, c, nil)
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

// probeGate permits a probe as long as the version is not withdrawn and the upstream may get new work; no workspace is involved.
type probeGate struct {
	Common   settings.Common
	Snapshot func() *catalogue.Snapshot
}

// Permit returns the rule against the probe, or nil.
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

// discard takes the answer to a probe.
type discard struct{}

// WriteHead does nothing.
func (discard) WriteHead(context.Context, *request.Call, request.Head) error { return nil }

// WriteChunk does nothing.
func (discard) WriteChunk(context.Context, *request.Call, request.Chunk) error { return nil }

// WriteBytes does nothing.
func (discard) WriteBytes(context.Context, *request.Call, []byte) error { return nil }

// WriteEnd does nothing.
func (discard) WriteEnd(context.Context, *request.Call, request.End) error { return nil }
