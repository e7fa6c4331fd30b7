package membership

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// RevisionTopic is the gossip topic under which each instance publishes the configuration revision that it holds.
const RevisionTopic = "h"

// staleProofPeriods is the age of a proof by log and list, in exchange periods, above which members have to prove the view.
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

// Ask is the request of an exchange; its digest says what the sender holds.
type Ask struct {
	From        string
	Incarnation int64
	Digest      Digest
}

// Answer is the reply to an Ask, with the revision and proofs of its sender and the items that the other one lacks.
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
	Journal    ConfigReplica
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
func (k *ClusterState) Refresh() {
	k.Membership.DropAbsent(k.Clock.Now())
	members := k.Membership.Members()
	if len(members) == len(k.members) && len(members) > 0 && &members[0] == &k.members[0] {
		return
	}
	k.members = members
	k.Gossip.SetMembers(members)
	k.Freshness.Retain(members)
}

// Ask returns the request of an exchange; sparse is needed for a receiver that sees different members.
func (k *ClusterState) Ask(sparse bool) Ask {
	k.Refresh()
	k.Gossip.Put(RevisionTopic, "", encodeRevision(k.Journal.State().Revision))
	a := Ask{From: k.Self.Name, Incarnation: k.Self.Incarnation}
	if sparse {
		a.Digest = k.Gossip.SparseDigest()
	} else {
		a.Digest = k.Gossip.Digest()
	}
	return a
}

// Answer returns the reply to the request of another instance, and records the request as a sign of life.
func (k *ClusterState) Answer(a Ask) Answer {
	now := k.Clock.Now()
	k.Membership.ObserveMember(a.From, a.Incarnation, now)
	k.Refresh()
	k.Gossip.Put(RevisionTopic, "", encodeRevision(k.Journal.State().Revision))
	own := k.Journal.State().Revision
	out := Answer{
		Incarnation: k.Self.Incarnation,
		Ready:       k.Journal.Ready(),
		Members:     len(k.Membership.Members()),
		Revision:    own,
		Highest:     max(own, k.Freshness.Highest()),
		Delta:       k.Gossip.Delta(a.Digest),
	}
	out.ListAsOf = max(k.Membership.ListAsOf(), k.Freshness.newestListAsOf)
	provedAt := k.Journal.ProvedAt()
	if provedAt > 0 {
		out.ProofAge = now - provedAt + 1
	}
	// While log and list are available they prove the view, and the ages are not needed.
	if out.Ready && k.proofOverdue() {
		out.Ages = k.Freshness.encodeAges(k.members, k.Gossip.viewHash, now, a.Digest.IsSparse)
	}
	return out
}

// MergeAnswer applies the answer to a request that was sent at the monotonic time sentAt, and reports whether an item changed.
func (k *ClusterState) MergeAnswer(member string, sentAt clock.Millis, a Answer) bool {
	if !k.Membership.ObserveMember(member, a.Incarnation, sentAt) {
		return false
	}
	k.Refresh()
	k.Journal.ObserveRevision(a.Highest)
	k.Freshness.ObserveList(a.ListAsOf)
	k.observeSize(a.Members)
	if a.Ready {
		k.Freshness.Observe(member, sentAt, a.Highest)
		k.Freshness.mergeAges(a.Ages, k.members, k.Gossip.viewHash, sentAt)
	}
	if a.ProofAge > 0 {
		k.Journal.ObserveProof(a.Revision, sentAt-a.ProofAge)
	}
	k.confirmState()
	changed := k.Gossip.Merge(a.Delta)
	// Among many members most are never contacted directly, and the list may lag behind a restart.
	for i := range a.Delta.Origins {
		k.Membership.ObserveIncarnation(a.Delta.Origins[i].Name, a.Delta.Origins[i].Incarnation)
	}
	k.Refresh()
	return changed
}

// confirmState marks the state as complete after a start while the log was down, once enough other members hold no newer
// revision. A majority of the members holds each accepted change. This instance may have been one of them and lost it at its
// restart; still, at least one of any size-majority+1 others holds the change.
func (k *ClusterState) confirmState() {
	if k.Journal.Ready() || k.Freshness.Highest() > k.Journal.State().Revision {
		return
	}
	size := k.clusterSize()
	majority := size/2 + 1
	if k.Freshness.countHeard(k.members) >= size-majority+1 {
		k.Journal.ConfirmComplete()
	}
}

// ProvedAt returns the monotonic time at which the configuration was last proved current, by the log or by members; 0 means never.
func (k *ClusterState) ProvedAt() clock.Millis {
	if !k.Journal.Ready() {
		return 0
	}
	byMembers := k.Freshness.ProvedAt(k.Membership.Members(), k.clusterSize(), k.Journal.State().Revision)
	return max(k.Journal.ProvedAt(), byMembers)
}

// ListProvedAt returns the monotonic time at which the instance list was last proved current, by itself or by members, so that
// the last list stays in use while no member can read it.
func (k *ClusterState) ListProvedAt() clock.Millis {
	if !k.Membership.HasList() {
		return 0
	}
	byMembers := k.Freshness.ListProvedAt(k.Membership.Members(), k.clusterSize(), k.Membership.ListAsOf())
	return max(k.Membership.ListAt(), byMembers)
}

// ViewAt returns the monotonic time at which configuration and instance list were both proved current.
func (k *ClusterState) ViewAt() clock.Millis { return min(k.ProvedAt(), k.ListProvedAt()) }

// Holders counts the members that hold the revision, this instance included, and names the members that lack it.
func (k *ClusterState) Holders(r catalogue.Revision) (have int, missing []string) {
	for _, m := range k.Membership.Members() {
		held := k.Journal.State().Revision
		if m.Name != k.Self.Name {
			held = decodeRevision(k.Gossip.Item(m, RevisionTopic, ""))
		}
		if held >= r {
			have++
		} else {
			missing = append(missing, m.Name)
		}
	}
	for n := have + len(missing); n < k.clusterSize(); n++ {
		missing = append(missing, unlistedMember)
	}
	return have, missing
}

// unlistedMember stands for a member that others see but that the list of this instance lacks.
const unlistedMember = "(not listed here)"

// reportedSizeTTL is how long a member count reported by another member is used, in milliseconds.
const reportedSizeTTL = 60 * clock.Second

// observeSize records the member count of another member.
func (k *ClusterState) observeSize(n int) {
	now := k.Clock.Now()
	if n >= k.reportedSize || now-k.reportedSizeAt > reportedSizeTTL {
		k.reportedSize, k.reportedSizeAt = n, now
	}
}

// clusterSize returns the number of members of which a majority is taken. It includes counts reported by others: a fresh instance
// whose list is short must not find a majority among the few members that it shows.
func (k *ClusterState) clusterSize() int {
	size := len(k.Membership.Members())
	if k.Clock.Now()-k.reportedSizeAt <= reportedSizeTTL {
		size = max(size, k.reportedSize)
	}
	return size
}

// NeedsState reports whether the sender of the answer holds a newer revision while this instance can't rely on the log.
func (k *ClusterState) NeedsState(a Answer) bool {
	return a.Revision > k.Journal.State().Revision && (!k.Journal.Ready() || k.Clock.Now()-k.Journal.ProvedAt() > staleProofPeriods*k.Tick)
}

// AdoptState replaces the configuration by that of another member when it is newer.
func (k *ClusterState) AdoptState(s *catalogue.State) {
	k.Journal.AdoptPeerState(s)
	k.confirmState()
}
