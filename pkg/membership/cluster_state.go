package membership

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// RevisionTopic is the gossip topic under which each instance publishes the configuration revision that it holds.
const RevisionTopic = "h"

// staleProofPeriods is the age of the last proof by log and list, in exchange periods, above which members have to prove the view.
const staleProofPeriods = 2

// ConfigReplica holds the configuration and takes what other members report about its revision.
type ConfigReplica interface {
	State() *catalogue.State
	ProvedAt() clock.Millis
	Ready() bool
	ConfirmComplete()
	ObserveRevision(r catalogue.Revision)
	ObserveProof(r catalogue.Revision, at clock.Millis)
	AdoptPeerState(state *catalogue.State)
}

// Ask is the request of an exchange; its digest says which items the sender holds.
type Ask struct {
	From        string
	Incarnation int64
	Digest      Digest
}

// Answer is the reply to an Ask, with the revision and proofs of its sender and the items that the sender of the Ask lacks.
type Answer struct {
	Incarnation int64
	// Ready is false when the sender may have lost a revision that it held before a restart.
	Ready bool
	// Revision is the revision that the sender holds, Highest the highest one that it knows to exist.
	Revision catalogue.Revision
	Highest  catalogue.Revision
	// ProofAge is the age of the log's proof that Revision is current, plus 1, in milliseconds; 0 means no proof.
	ProofAge clock.Millis
	// Members is the number of members that the sender sees.
	Members int
	// ListAsOf is the wall time of the newest instance list that the sender knows any member to have seen.
	ListAsOf clock.Millis
	// Ages says how long ago each member was known to hold no revision above Highest.
	Ages  Ages
	Delta Delta
}

// ClusterState joins membership, freshness and gossip into one view of the other instances; it is not safe for concurrent use.
type ClusterState struct {
	Clock clock.Clock
	Self  catalogue.Member
	// Tick is the exchange period, in milliseconds.
	Tick       clock.Millis
	Replica    ConfigReplica
	Membership *Membership
	Freshness  *Freshness
	Gossip     *Gossip

	members           []catalogue.Member
	neighbours        []catalogue.Member
	neighbourViewHash uint64
	// reportedSize is the highest member count that another member reported, at the monotonic time reportedSizeAt.
	reportedSize   int
	reportedSizeAt clock.Millis
}

// Refresh drops absent members and brings all parts up to the current ones.
func (c *ClusterState) Refresh() {
	c.Membership.DropAbsent(c.Clock.Now())
	members := c.Membership.Members()
	if len(members) == len(c.members) && len(members) > 0 && &members[0] == &c.members[0] {
		return
	}
	c.members = members
	c.Gossip.SetMembers(members)
	c.Freshness.Retain(members)
}

// Ask returns the request of an exchange; sparse is needed for a receiver that sees different members.
func (c *ClusterState) Ask(sparse bool) Ask {
	c.Refresh()
	c.Gossip.Put(RevisionTopic, "", encodeRevision(c.Replica.State().Revision))
	a := Ask{From: c.Self.Name, Incarnation: c.Self.Incarnation}
	if sparse {
		a.Digest = c.Gossip.SparseDigest()
	} else {
		a.Digest = c.Gossip.Digest()
	}
	return a
}

// Answer returns the reply to the request of another instance, and records the request as a sign of life.
func (c *ClusterState) Answer(a Ask) Answer {
	now := c.Clock.Now()
	c.Membership.ObserveMember(a.From, a.Incarnation, now)
	c.Refresh()
	c.Gossip.Put(RevisionTopic, "", encodeRevision(c.Replica.State().Revision))
	own := c.Replica.State().Revision
	out := Answer{
		Incarnation: c.Self.Incarnation,
		Ready:       c.Replica.Ready(),
		Members:     len(c.Membership.Members()),
		Revision:    own,
		Highest:     max(own, c.Freshness.Highest()),
		Delta:       c.Gossip.Delta(a.Digest),
	}
	out.ListAsOf = max(c.Membership.ListAsOf(), c.Freshness.newestListAsOf)
	provedAt := c.Replica.ProvedAt()
	if provedAt > 0 {
		out.ProofAge = now - provedAt + 1
	}
	// While log and list are available they prove the view, and the ages are not needed.
	if out.Ready && c.proofOverdue() {
		out.Ages = c.Freshness.encodeAges(c.members, c.Gossip.viewHash, now, a.Digest.IsSparse)
	}
	return out
}

// MergeAnswer applies the answer to a request that was sent at the monotonic time sentAt, and reports whether an item changed.
func (c *ClusterState) MergeAnswer(member string, sentAt clock.Millis, a Answer) bool {
	if !c.Membership.ObserveMember(member, a.Incarnation, sentAt) {
		return false
	}
	c.Refresh()
	c.Replica.ObserveRevision(a.Highest)
	c.Freshness.ObserveList(a.ListAsOf)
	c.observeSize(a.Members)
	if a.Ready {
		c.Freshness.Observe(member, sentAt, a.Highest)
		c.Freshness.mergeAges(a.Ages, c.members, c.Gossip.viewHash, sentAt)
	}
	if a.ProofAge > 0 {
		c.Replica.ObserveProof(a.Revision, sentAt-a.ProofAge)
	}
	c.confirmState()
	changed := c.Gossip.Merge(a.Delta)
	// Among many members most are never contacted directly, and the list may lag behind a restart.
	for i := range a.Delta.Origins {
		c.Membership.ObserveIncarnation(a.Delta.Origins[i].Name, a.Delta.Origins[i].Incarnation)
	}
	c.Refresh()
	return changed
}

// confirmState marks the state as complete after a start while the log was down, once enough other members hold no newer
// revision. A majority of the members holds each accepted change. This instance may have been one of them and lost it at its
// restart; still, at least one of any size-majority+1 others holds the change.
func (c *ClusterState) confirmState() {
	if c.Replica.Ready() || c.Freshness.Highest() > c.Replica.State().Revision {
		return
	}
	size := c.clusterSize()
	majority := size/2 + 1
	if c.Freshness.countHeard(c.members) >= size-majority+1 {
		c.Replica.ConfirmComplete()
	}
}

// ProvedAt returns the monotonic time at which the configuration was last proved current, by the log or by members; 0 means never.
func (c *ClusterState) ProvedAt() clock.Millis {
	if !c.Replica.Ready() {
		return 0
	}
	byMembers := c.Freshness.ProvedAt(c.Membership.Members(), c.clusterSize(), c.Replica.State().Revision)
	return max(c.Replica.ProvedAt(), byMembers)
}

// ListProvedAt returns the monotonic time at which the instance list was last proved current, by itself or by members, so that
// the last list stays in use while no member can read it.
func (c *ClusterState) ListProvedAt() clock.Millis {
	if !c.Membership.HasList() {
		return 0
	}
	byMembers := c.Freshness.ListProvedAt(c.Membership.Members(), c.clusterSize(), c.Membership.ListAsOf())
	return max(c.Membership.ListAt(), byMembers)
}

// ViewAt returns the monotonic time at which configuration and instance list were both proved current.
func (c *ClusterState) ViewAt() clock.Millis { return min(c.ProvedAt(), c.ListProvedAt()) }

// Holders counts the members that hold the revision, this instance included, and names the members that lack it.
func (c *ClusterState) Holders(r catalogue.Revision) (have int, missing []string) {
	for _, m := range c.Membership.Members() {
		held := c.Replica.State().Revision
		if m.Name != c.Self.Name {
			held = decodeRevision(c.Gossip.Item(m, RevisionTopic, ""))
		}
		if held >= r {
			have++
		} else {
			missing = append(missing, m.Name)
		}
	}
	for n := have + len(missing); n < c.clusterSize(); n++ {
		missing = append(missing, unlistedMember)
	}
	return have, missing
}

// unlistedMember stands for a member that others see but that the list of this instance lacks.
const unlistedMember = "(not listed here)"

// reportedSizeTTL is how long a member count reported by another member is used, in milliseconds.
const reportedSizeTTL = 60 * clock.Second

// observeSize records the member count of another member.
func (c *ClusterState) observeSize(n int) {
	now := c.Clock.Now()
	if n >= c.reportedSize || now-c.reportedSizeAt > reportedSizeTTL {
		c.reportedSize, c.reportedSizeAt = n, now
	}
}

// clusterSize returns the number of members of which a majority is taken. It includes counts reported by others: a fresh instance
// whose list is short must not find a majority among the few members that it shows.
func (c *ClusterState) clusterSize() int {
	size := len(c.Membership.Members())
	if c.Clock.Now()-c.reportedSizeAt <= reportedSizeTTL {
		size = max(size, c.reportedSize)
	}
	return size
}

// NeedsState reports whether the sender of the answer holds a newer revision while this instance can't rely on the log.
func (c *ClusterState) NeedsState(a Answer) bool {
	return a.Revision > c.Replica.State().Revision && (!c.Replica.Ready() || c.Clock.Now()-c.Replica.ProvedAt() > staleProofPeriods*c.Tick)
}

// AdoptState replaces the configuration by that of another member when it is newer.
func (c *ClusterState) AdoptState(s *catalogue.State) {
	c.Replica.AdoptPeerState(s)
	c.confirmState()
}
