package occupancy

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// reserveDivisor is the part of the slots that stay free for what takes one for a moment, such as a new connection: one in so many.
	reserveDivisor = 16
	// defaultSlots is the assumed number of slots of an upstream that reports none.
	defaultSlots = 8
	// minPart is the number of slots that an instance holds at least where there are fewer slots than instances; fewer holders waste less.
	minPart = 3
)

// ranking is the order in which instances hold slots of an upstream, for the members for which it was worked out.
type ranking struct {
	members []catalogue.Member
	known   bool
	// ordered has the names of all instances, and rank the place of this one.
	ordered []string
	rank    int
}

// part returns this instance's part of the slots of an upstream that there is room for, and the number of instances that hold one. All parts
// add up to the slots less a reserve. The caller must hold mu.
func (s *Slots) part(u *catalogue.Upstream, k *upstream, now clock.Millis) (own, holders int) {
	r := s.ranking(u, k)
	slots := k.usable(u, now)
	holders = holderCount(withoutReserve(slotsOf(u)), len(r.ordered))
	if r.rank >= holders {
		return 0, holders
	}
	own = slots / holders
	if r.rank < slots%holders {
		own++
	}
	return own, holders
}

// ranking returns the order of the instances at an upstream. The caller must hold mu.
func (s *Slots) ranking(u *catalogue.Upstream, k *upstream) *ranking {
	members := s.Members()
	r := &k.ranking
	if r.known && catalogue.SameMembers(r.members, members) {
		return r
	}
	all := append(names(members, s.Self), s.Self)
	*r = ranking{members: members, known: true, ordered: request.RendezvousOrder(u.Name, all, func(name string) string { return name })}
	r.rank = slices.Index(r.ordered, s.Self)
	return r
}

func withoutReserve(slots int) int { return slots - slots/reserveDivisor }

// names returns the names of the members but one.
func names(members []catalogue.Member, except string) []string {
	var out []string
	for _, m := range members {
		if m.Name != except {
			out = append(out, m.Name)
		}
	}
	return out
}

// slotsOf returns the slots that an upstream has.
func slotsOf(u *catalogue.Upstream) int {
	if u.Slots <= 0 {
		return defaultSlots
	}
	return u.Slots
}

// holderCount returns how many of n instances hold slots of an upstream.
func holderCount(slots, n int) int {
	if slots >= n {
		return n
	}
	return min(n, max(1, slots/minPart))
}
