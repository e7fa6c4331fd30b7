package caravan

import "carawayknot.example/carawayknot/pkg/catalogue"

// SubsetSize is how many instances send to one warm upstream.
const SubsetSize = 48

// WarmPart returns how many requests the member may have in flight at a warm upstream that bears limit; 0 outside its subset.
// The parts of all members add up to limit.
func WarmPart(upstream, member string, limit int, members []catalogue.Member) int {
	rank, found := RankOf(upstream, member, members)
	holders := min(SubsetSize, len(members), max(limit, 1))
	if !found || rank >= holders {
		return 0
	}
	return max(1, (limit-rank+holders-1)/holders)
}
