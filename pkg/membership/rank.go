package membership

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// Weight returns the rendezvous weight of a member for a key.
func Weight(key, member string) uint64 {
	return request.HashKey(key, member)
}

// Rank returns the members in rendezvous order for a key, the highest weight first.
func Rank(key string, members []catalogue.Member) []catalogue.Member {
	return request.Rank(key, members, func(m catalogue.Member) string { return m.Name })
}

// RankOf returns the rendezvous rank of a member for a key, from 0, and whether it is one of the members.
func RankOf(key, member string, members []catalogue.Member) (int, bool) {
	rank, found := 0, false
	for _, m := range members {
		if m.Name == member {
			found = true
			continue
		}
		if request.ByRank(key, m.Name, member) < 0 {
			rank++
		}
	}
	return rank, found
}

// ranks remembers the ranks of one instance, so that a rank is worked out once for each change of the members.
type ranks struct {
	self    string
	members []catalogue.Member
	known   map[string]int
}

// maxRanks bounds the ranks that are remembered.
const maxRanks = 4096

// notMember stands for the rank of an instance that is not one of the members.
const notMember = -1

func (r *ranks) of(key string) (rank int, found bool) {
	rank, known := r.known[key]
	if !known {
		if rank, found = RankOf(key, r.self, r.members); !found {
			rank = notMember
		}
		if r.known == nil || len(r.known) >= maxRanks {
			r.known = map[string]int{}
		}
		r.known[key] = rank
	}
	return rank, rank != notMember
}
