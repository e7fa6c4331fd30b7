package membership

import (
	"math/rand/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// fanOut is how many members an instance asks in one period while log and list prove its view.
	fanOut = 2
	// fanOutAlone is how many it asks when only members can prove it.
	fanOutAlone = 3
	// publishRate bounds the items that all instances together publish in a second.
	publishRate = 8
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
	picks := fanOut
	if k.alone() {
		picks = fanOutAlone
	}
	picks = min(picks, len(k.neighbours))
	out := make([]catalogue.Member, 0, picks)
	for _, i := range r.Perm(len(k.neighbours))[:picks] {
		out = append(out, k.neighbours[i])
	}
	return out
}

// alone tells whether log or list have not proved the view for a while.
func (k *Knowledge) alone() bool {
	return k.Clock.Now()-min(k.Journal.ProvedAt(), k.Membership.ListAt()) > agingPeriods*k.Tick
}

// PublishPeriod returns how long an instance waits between two versions of an item that changes all the time, in milliseconds.
// It grows with the number of members, so that the news of all of them stay bounded.
func (k *Knowledge) PublishPeriod() clock.Millis {
	return max(k.Tick, clock.Millis(len(k.members))*clock.Second/publishRate)
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
