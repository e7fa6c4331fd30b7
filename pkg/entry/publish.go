package entry

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// publish makes a new snapshot of the whole control state.
func (c *Control) publish() {
	now := c.Common.Clock.Now()
	s := &catalogue.Snapshot{
		At:       c.Knowledge.ViewAt(),
		SharesAt: now,
		Config:   c.Journal.State(),
		Members:  c.Knowledge.Membership.Members(),
		Health:   c.health,
		Draining: c.draining,
	}
	c.Subset.SetMembers(s.Members)
	s.Upstreams = make([]*catalogue.Upstream, 0, len(c.upstreams))
	for i := range c.upstreams {
		s.Upstreams = append(s.Upstreams, c.upstream(&c.upstreams[i], s, now))
	}
	slices.SortFunc(s.Upstreams, func(a, b *catalogue.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	c.snapshot.Store(s)
}

// renew publishes a newer proof of the same configuration, which is far cheaper than a whole snapshot.
func (c *Control) renew() {
	old := c.snapshot.Load()
	if old.Config != c.Journal.State() {
		c.publish()
		return
	}
	s := *old
	s.At = c.Knowledge.ViewAt()
	c.snapshot.Store(&s)
}

// upstream joins what the list, the configuration, the reports and the own samples say of an upstream.
func (c *Control) upstream(i *backoffice.Instance, s *catalogue.Snapshot, now clock.Millis) *catalogue.Upstream {
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
		Cold:        c.ColdWatch.Cold(i.Name),
	}
	if rule := s.Config.Upstreams[i.Name]; rule != nil {
		u.Rule = *rule
	}
	u.Share = c.share(u, s.Members, now)
	return u
}

// defaultColdLimit is what an upstream bears in cold start when operators state nothing.
const defaultColdLimit = 1

// coldLimit returns how many requests the upstream bears in cold start, over all instances.
func coldLimit(u *catalogue.Upstream) int { return cmp.Or(u.Rule.ColdLimit, defaultColdLimit) }

// share returns how many requests this instance may have in flight at the upstream.
func (c *Control) share(u *catalogue.Upstream, members []catalogue.Member, now clock.Millis) int {
	if u.Cold {
		return c.Shares.Share(u.Name, coldLimit(u), now)
	}
	limit := c.ColdWatch.WarmRoom(u.Name)
	if u.Rule.WarmLimit > 0 {
		limit = min(limit, u.Rule.WarmLimit)
	}
	// An instance without a share refuses while the upstream idles, so each gets one as long as the upstream bears that many.
	limit = max(limit, min(len(members), cmp.Or(u.Rule.WarmLimit, u.Load.Bearable)))
	return c.Subset.Part(u.Name, limit)
}
