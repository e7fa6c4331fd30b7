package caravan

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Weight returns the rendezvous weight of a member for a key.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Rank returns the members in rendezvous order for a key, the highest weight first.
func Rank(key string, members []catalogue.Member) []catalogue.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b catalogue.Member) int {
		wa, wb := Weight(key, a.Name), Weight(key, b.Name)
		if wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return ranked
}
