package membership

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// ColdShares limits how many requests this instance may have in flight at a cold upstream, so that the shares of all instances never
// add up to more than the upstream's limit (proof in docs/design/cold-start.md); it is not safe for concurrent use.
type ColdShares struct {
	// Self is the name of this instance.
	Self string
	// MaxListLag is the greatest age of a list at the time of its request, in milliseconds.
	MaxListLag clock.Millis
	// Lease is the age from which on the last list is too old to hold a share, in milliseconds.
	Lease clock.Millis
	// ShareTTL is the longest time for which traffic uses a share after its computation, in milliseconds.
	ShareTTL clock.Millis
	// Hold is the longest time for which a request stays at a cold upstream, in milliseconds.
	Hold clock.Millis

	lists []seenList
	// listedSince is the monotonic time since which lists have been seen without a gap of a Lease.
	listedSince clock.Millis
}

// seenList is a list of members and the monotonic time at which it was last seen.
type seenList struct {
	ranks      rankCache
	lastSeenAt clock.Millis
}

// ObserveList records the entry instances of a list that was requested at the monotonic time at.
func (s *ColdShares) ObserveList(listed []catalogue.Member, at clock.Millis) {
	var members []catalogue.Member
	for _, m := range listed {
		if !m.Leaving {
			members = append(members, m)
		}
	}
	n := len(s.lists)
	if n == 0 || at-s.lists[n-1].lastSeenAt >= s.Lease {
		s.lists = nil
		s.listedSince = at
	}
	if n = len(s.lists); n > 0 && sameNames(s.lists[n-1].ranks.members, members) {
		s.lists[n-1].lastSeenAt = max(s.lists[n-1].lastSeenAt, at)
		return
	}
	s.lists = append(s.lists, seenList{ranks: rankCache{self: s.Self, members: members}, lastSeenAt: at})
	for len(s.lists) > 1 && at-s.lists[0].lastSeenAt > s.window() {
		s.lists = s.lists[1:]
	}
}

// window returns how long an instance must have ranked high in the lists before it uses its share.
func (s *ColdShares) window() clock.Millis { return 2*s.MaxListLag + 3*s.Lease + s.ShareTTL + s.Hold }

// Settled reports whether this instance has seen lists for long enough to use its shares.
func (s *ColdShares) Settled(now clock.Millis) bool {
	n := len(s.lists)
	return n > 0 && now-s.lists[n-1].lastSeenAt < s.Lease && now-s.listedSince >= s.window()
}

// Share returns how many requests this instance may have in flight at an upstream that allows limit over all instances.
func (s *ColdShares) Share(upstream string, limit int, now clock.Millis) int {
	if !s.Settled(now) {
		return 0
	}
	share := limit
	for i := len(s.lists) - 1; i >= 0 && now-s.lists[i].lastSeenAt <= s.window(); i-- {
		rank, found := s.lists[i].ranks.lookup(upstream)
		if !found {
			return 0
		}
		share = min(share, partForRank(rank, limit, len(s.lists[i].ranks.members)))
	}
	return share
}

// ColdPart returns the part of limit that the member's rank gives it at a cold upstream, when all instances see the same members.
func ColdPart(upstream, member string, limit int, members []catalogue.Member) int {
	rank, found := RankOf(upstream, member, members)
	if !found {
		return 0
	}
	return partForRank(rank, limit, len(members))
}

// partForRank returns the part of limit that a rank has among n members; the parts of all ranks add up to limit.
func partForRank(rank, limit, n int) int {
	if rank >= min(limit, n) {
		return 0
	}
	return (limit - rank + n - 1) / n
}

// sameNames reports whether both slices have the same names, at once when they are the same slice.
func sameNames(a, b []catalogue.Member) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, func(x, y catalogue.Member) bool { return x.Name == y.Name })
}
