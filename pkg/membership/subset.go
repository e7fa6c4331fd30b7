package membership

import "carawayknot.example/carawayknot/pkg/catalogue"

// SubsetSize is the number of instances that send requests to one warm upstream.
const SubsetSize = 48

// Subset limits how many requests this instance may have in flight at warm upstreams; it is not safe for concurrent use.
type Subset struct {
	// Self is the name of this instance.
	Self string

	ranks rankCache
}

// SetMembers sets the entry instances that share the upstreams, sorted by name.
func (s *Subset) SetMembers(members []catalogue.Member) {
	if !sameNames(s.ranks.members, members) {
		s.ranks = rankCache{self: s.Self, members: members}
	}
}

// Part returns how many requests this instance may have in flight at an upstream that allows limit, 0 outside its subset; the parts
// of all instances add up to limit.
func (s *Subset) Part(upstream string, limit int) int {
	rank, found := s.ranks.lookup(upstream)
	if !found {
		return 0
	}
	return partForRank(rank, limit, min(SubsetSize, len(s.ranks.members)))
}

// WarmPart returns Subset.Part of the member without caching its ranks.
func WarmPart(upstream, member string, limit int, members []catalogue.Member) int {
	s := Subset{Self: member}
	s.SetMembers(members)
	return s.Part(upstream, limit)
}
