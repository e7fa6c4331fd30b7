package request

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fraction maps a key to a number from 0 up to 1 that looks random but is the same everywhere; salt keeps uses apart.
func Fraction(salt, key string) float64 {
	return float64(HashKey(salt, key)>>11) / (1 << 53)
}

// HashKey returns the hash of a key; salt keeps uses apart.
func HashKey(salt, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// ByRank compares two names by the rendezvous order for a key, the highest hash first.
func ByRank(key, a, b string) int {
	return cmp.Or(cmp.Compare(HashKey(key, b), HashKey(key, a)), strings.Compare(a, b))
}

// Rank returns the items in rendezvous order for a key; each name is hashed once.
func Rank[T any](key string, items []T, name func(T) string) []T {
	type weighed struct {
		item   T
		name   string
		weight uint64
	}
	order := make([]weighed, len(items))
	for i, item := range items {
		n := name(item)
		order[i] = weighed{item: item, name: n, weight: HashKey(key, n)}
	}
	slices.SortFunc(order, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.name, b.name))
	})
	ranked := make([]T, len(order))
	for i, w := range order {
		ranked[i] = w.item
	}
	return ranked
}
