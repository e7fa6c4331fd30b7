package membership

import (
	"math/rand/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// fanout is the number of members that an instance contacts in one period while log and list prove its view.
	fanout = 2
	// fanoutUnproved is that number while only members can prove the view.
	fanoutUnproved = 3
	// maxPublishesPerSecond limits the items that all instances together publish.
	maxPublishesPerSecond = 8
	// maxSameZoneNeighbours and maxOtherZoneNeighbours limit the members of this and of other availability zones that an instance
	// contacts.
	maxSameZoneNeighbours  = 8
	maxOtherZoneNeighbours = 8
)

// Peers returns the members to contact in this period, drawn from a small stable set so that few connections are needed.
func (c *ClusterState) Peers(r *rand.Rand) []catalogue.Member {
	c.Refresh()
	if c.neighbourViewHash != c.Gossip.viewHash || c.neighbours == nil {
		c.neighbours = neighbours(c.Self, c.members)
		c.neighbourViewHash = c.Gossip.viewHash
	}
	picks := fanout
	if c.proofOverdue() {
		picks = fanoutUnproved
	}
	picks = min(picks, len(c.neighbours))
	out := make([]catalogue.Member, 0, picks)
	for _, i := range r.Perm(len(c.neighbours))[:picks] {
		out = append(out, c.neighbours[i])
	}
	return out
}

// proofOverdue reports whether the last proof of the view by log and list is older than staleProofPeriods.
func (c *ClusterState) proofOverdue() bool {
	return c.Clock.Now()-min(c.Replica.ProvedAt(), c.Membership.ListAt()) > staleProofPeriods*c.Tick
}

// PublishPeriod returns the least time between two versions of an item that keeps changing, in milliseconds; it grows with the
// number of members to limit the total rate of changes.
func (c *ClusterState) PublishPeriod() clock.Millis {
	return max(c.Tick, clock.Millis(len(c.members))*clock.Second/maxPublishesPerSecond)
}

// neighbours returns some members of this instance's zone and some of the other zones, by rendezvous rank.
func neighbours(self catalogue.Member, members []catalogue.Member) []catalogue.Member {
	sameZone, otherZone := maxSameZoneNeighbours, maxOtherZoneNeighbours
	out := make([]catalogue.Member, 0, sameZone+otherZone)
	for _, m := range Rank("neighbours "+self.Name, members) {
		switch {
		case m.Name == self.Name:
		case m.Zone == self.Zone && sameZone > 0:
			sameZone--
			out = append(out, m)
		case m.Zone != self.Zone && otherZone > 0:
			otherZone--
			out = append(out, m)
		}
	}
	return out
}
