package entry

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// publish builds and publishes a new snapshot of the whole control state.
func (c *Control) publish() {
	now := c.Common.Clock.Now()
	s := &catalogue.Snapshot{
		At:       c.Cluster.ViewAt(),
		SharesAt: now,
		Config:   c.Replica.State(),
		Members:  c.Cluster.Membership.Members(),
		Health:   c.health,
		Draining: c.draining,
	}
	c.Subset.SetMembers(s.Members)
	s.Upstreams = make([]*catalogue.Upstream, 0, len(c.upstreams))
	for i := range c.upstreams {
		s.Upstreams = append(s.Upstreams, c.buildUpstream(&c.upstreams[i], s, now))
	}
	slices.SortFunc(s.Upstreams, func(a, b *catalogue.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	c.snapshot.Store(s)
}

// refreshViewTime publishes the snapshot with a newer view time, which is much cheaper than publish, unless the configuration has
// changed too.
func (c *Control) refreshViewTime() {
	old := c.snapshot.Load()
	if old.Config != c.Replica.State() {
		c.publish()
		return
	}
	s := *old
	s.At = c.Cluster.ViewAt()
	c.snapshot.Store(&s)
}

// buildUpstream combines what the list, the configuration, the load reports and this instance's samples say about an upstream.
func (c *Control) buildUpstream(i *backoffice.Instance, s *catalogue.Snapshot, now clock.Millis) *catalogue.Upstream {
	u := &catalogue.Upstream{
		Name:        i.Name,
		Role:        i.Role,
		Address:     i.Address,
		Zone:        i.Zone,
		Versions:    i.Versions,
		Service:     i.Service,
		Leaving:     i.Leaving,
		ZoneOut:     s.Config.ZoneOut(i.Zone),
		Incarnation: i.Incarnation,
		Load:        c.loads[i.Name],
		Cold:        c.ColdStarts.Cold(i.Name),
	}
	if rule := s.Config.Upstreams[i.Name]; rule != nil {
		u.Rule = *rule
	}
	u.Share = c.share(u, s.Members, now)
	return u
}

// defaultColdLimit is the concurrency limit in cold start of an upstream for which operators set none.
const defaultColdLimit = 1

// coldLimit returns the upstream's concurrency limit in cold start, over all instances.
func coldLimit(u *catalogue.Upstream) int { return cmp.Or(u.Rule.ColdLimit, defaultColdLimit) }

// share returns how many requests this instance may have in flight at the upstream.
func (c *Control) share(u *catalogue.Upstream, members []catalogue.Member, now clock.Millis) int {
	if u.Cold {
		return c.Shares.Share(u.Name, coldLimit(u), now)
	}
	limit := c.ColdStarts.WarmCapacity(u.Name)
	if u.Rule.WarmLimit > 0 {
		limit = min(limit, u.Rule.WarmLimit)
	}
	// An instance without a share would refuse requests while the upstream is idle, so each instance gets a share of at least one
	// request as long as the upstream can serve that many at once.
	limit = max(limit, min(len(members), cmp.Or(u.Rule.WarmLimit, u.Load.Bearable)))
	return c.Subset.Part(u.Name, limit)
}
