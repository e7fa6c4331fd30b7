package caravan

import (
	"math/rand/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const (
	// FanOut is how many members an instance asks in one period.
	FanOut = 3
	// nearNeighbours and farNeighbours bound the members of the own and of other availability zones that an instance asks.
	nearNeighbours = 8
	farNeighbours  = 8
)

// Peers returns the members to ask in this period: few, out of a stable set, so that connections stay few as well.
func (k *Knowledge) Peers(r *rand.Rand) []catalogue.Member {
	k.Refresh()
	if k.neighbourView != k.Gossip.view || k.neighbours == nil {
		k.neighbours = neighbours(k.Self, k.members)
		k.neighbourView = k.Gossip.view
	}
	picks := min(FanOut, len(k.neighbours))
	out := make([]catalogue.Member, 0, picks)
	for _, i := range r.Perm(len(k.neighbours))[:picks] {
		out = append(out, k.neighbours[i])
	}
	return out
}

// neighbours returns some members of the own availability zone and some of the others, by rendezvous rank.
func neighbours(self catalogue.Member, members []catalogue.Member) []catalogue.Member {
	near, far := nearNeighbours, farNeighbours
	out := make([]catalogue.Member, 0, near+far)
	for _, m := range Rank("neighbours "+self.Name, members) {
		switch {
		case m.Name == self.Name:
		case m.Zone == self.Zone && near > 0:
			near--
			out = append(out, m)
		case m.Zone != self.Zone && far > 0:
			far--
			out = append(out, m)
		}
	}
	return out
}
