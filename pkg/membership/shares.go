package membership

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// ColdShares tells how many requests this instance may have in flight at a cold upstream; it is used by one thread only.
// docs/design/cold-start.md shows why the shares of all instances never add up to more than the limit.
type ColdShares struct {
	// Self is the name of this instance.
	Self string
	// Lag bounds the age of a list at the time at which it was asked for, in milliseconds.
	Lag clock.Millis
	// Lease is the age at which the last list is too old to hold a share, in milliseconds.
	Lease clock.Millis
	// Publish bounds the time for which traffic uses a share after it was worked out, in milliseconds.
	Publish clock.Millis
	// Hold bounds the time for which a request stays at a cold upstream, in milliseconds.
	Hold clock.Millis

	views []shareView
	// since is the monotonic time from which lists were seen without a gap of a lease.
	since clock.Millis
}

// shareView is a list of members and the time at which it was seen last.
type shareView struct {
	ranks ranks
	last  clock.Millis
}

// See takes the entry instances of a list that was asked for at the monotonic time at.
func (s *ColdShares) See(listed []catalogue.Member, at clock.Millis) {
	var members []catalogue.Member
	for _, m := range listed {
		if !m.Leaving {
			members = append(members, m)
		}
	}
	n := len(s.views)
	if n == 0 || at-s.views[n-1].last >= s.Lease {
		s.views = nil
		s.since = at
	}
	if n = len(s.views); n > 0 && sameNames(s.views[n-1].ranks.members, members) {
		s.views[n-1].last = max(s.views[n-1].last, at)
		return
	}
	s.views = append(s.views, shareView{ranks: ranks{self: s.Self, members: members}, last: at})
	for len(s.views) > 1 && at-s.views[0].last > s.window() {
		s.views = s.views[1:]
	}
}

// window is the time for which an instance must have seen itself rank high before it uses its share.
func (s *ColdShares) window() clock.Millis { return 2*s.Lag + 3*s.Lease + s.Publish + s.Hold }

// Settled tells whether this instance has seen lists for long enough to use its shares.
func (s *ColdShares) Settled(now clock.Millis) bool {
	n := len(s.views)
	return n > 0 && now-s.views[n-1].last < s.Lease && now-s.since >= s.window()
}

// Share returns how many requests this instance may have in flight at the upstream, which bears limit over all instances.
func (s *ColdShares) Share(upstream string, limit int, now clock.Millis) int {
	if !s.Settled(now) {
		return 0
	}
	least := limit
	for i := len(s.views) - 1; i >= 0 && now-s.views[i].last <= s.window(); i-- {
		rank, found := s.views[i].ranks.of(upstream)
		if !found {
			return 0
		}
		least = min(least, partOf(rank, limit, len(s.views[i].ranks.members)))
	}
	return least
}

// ColdPart returns the part of limit that the member has by its rank at a cold upstream, when all instances see the same members.
func ColdPart(upstream, member string, limit int, members []catalogue.Member) int {
	rank, found := RankOf(upstream, member, members)
	if !found {
		return 0
	}
	return partOf(rank, limit, len(members))
}

// partOf returns the part of limit that the holder of a rank has among n holders; the parts of all ranks add up to limit.
func partOf(rank, limit, n int) int {
	if rank >= min(limit, n) {
		return 0
	}
	return (limit - rank + n - 1) / n
}

// sameNames compares the names only when the slices are not the same one.
func sameNames(a, b []catalogue.Member) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, func(x, y catalogue.Member) bool { return x.Name == y.Name })
}
