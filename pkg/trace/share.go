package trace

import (
	"carawayknot.example/carawayknot/pkg/caravan"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

// partOf returns the member's part of a limit by its rendezvous rank for the upstream; the parts add up to the limit.
func partOf(upstream, member string, limit int, members []catalogue.Member) int {
	for rank, m := range caravan.Rank(upstream, members) {
		if m.Name == member && rank < limit {
			return (limit - rank + len(members) - 1) / len(members)
		}
	}
	return 0
}
