package membership

import "carawayknot.example/carawayknot/pkg/catalogue"

// SubsetSize is how many instances send to one warm upstream.
const SubsetSize = 48

// Subset tells how many requests this instance may have in flight at warm upstreams; it is used by one thread only.
type Subset struct {
	// Self is the name of this instance.
	Self string

	ranks ranks
}

// SetMembers sets the entry instances that share the upstreams, sorted by name.
func (s *Subset) SetMembers(members []catalogue.Member) {
	if !sameNames(s.ranks.members, members) {
		s.ranks = ranks{self: s.Self, members: members}
	}
}

// Part returns how many requests this instance may have in flight at an upstream that bears limit; 0 outside its subset.
// The parts of all instances add up to limit.
func (s *Subset) Part(upstream string, limit int) int {
	rank, found := s.ranks.of(upstream)
	if !found {
		return 0
	}
	return partOf(rank, limit, min(SubsetSize, len(s.ranks.members)))
}

// WarmPart returns what Subset.Part does, without remembering ranks.
func WarmPart(upstream, member string, limit int, members []catalogue.Member) int {
	s := Subset{Self: member}
	s.SetMembers(members)
	return s.Part(upstream, limit)
}
