package request

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HashFraction hashes a key to a number in [0, 1) that is the same on all instances; salt makes different uses independent.
func HashFraction(salt, key string) float64 {
	return float64(HashKey(salt, key)>>11) / (1 << 53)
}

// HashKey returns a hash of a key that is the same on all instances; salt makes different uses independent.
func HashKey(salt, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// CompareRendezvous compares two names by their rendezvous order for a key, the highest hash first, then by name.
func CompareRendezvous(key, a, b string) int {
	return cmp.Or(cmp.Compare(HashKey(key, b), HashKey(key, a)), strings.Compare(a, b))
}

// RendezvousOrder returns a new slice of the items in rendezvous order for a key and hashes each name once.
func RendezvousOrder[T any](key string, items []T, name func(T) string) []T {
	type weightedItem struct {
		item   T
		name   string
		weight uint64
	}
	order := make([]weightedItem, len(items))
	for i, item := range items {
		n := name(item)
		order[i] = weightedItem{item: item, name: n, weight: HashKey(key, n)}
	}
	slices.SortFunc(order, func(a, b weightedItem) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.name, b.name))
	})
	ranked := make([]T, len(order))
	for i, w := range order {
		ranked[i] = w.item
	}
	return ranked
}
