package membership

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// Weight returns the rendezvous weight of a member for a key; the highest weight ranks first.
func Weight(key, member string) uint64 {
	return request.HashKey(key, member)
}

// Rank returns the members in rendezvous order for a key, the highest weight first.
func Rank(key string, members []catalogue.Member) []catalogue.Member {
	return request.RendezvousOrder(key, members, func(m catalogue.Member) string { return m.Name })
}

// RankOf returns the rendezvous rank of a member for a key, from 0, and whether it is one of the members.
func RankOf(key, member string, members []catalogue.Member) (int, bool) {
	rank, found := 0, false
	for _, m := range members {
		if m.Name == member {
			found = true
			continue
		}
		if request.CompareRendezvous(key, m.Name, member) < 0 {
			rank++
		}
	}
	return rank, found
}

// rankCache caches the ranks of one instance among a fixed set of members.
type rankCache struct {
	self    string
	members []catalogue.Member
	byKey   map[string]int
}

// maxCachedRanks limits the ranks that are cached.
const maxCachedRanks = 4096

// notMember is the cached rank of an instance that is not one of the members.
const notMember = -1

func (r *rankCache) lookup(key string) (rank int, found bool) {
	rank, cached := r.byKey[key]
	if !cached {
		if rank, found = RankOf(key, r.self, r.members); !found {
			rank = notMember
		}
		if r.byKey == nil || len(r.byKey) >= maxCachedRanks {
			r.byKey = map[string]int{}
		}
		r.byKey[key] = rank
	}
	return rank, rank != notMember
}
