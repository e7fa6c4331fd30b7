package membership

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// HeldTopic is the topic under which each instance publishes the configuration revision that it holds.
const HeldTopic = "h"

// agingPeriods is the age of the log's proof, in exchange periods, from which on answers carry the ages of all members.
const agingPeriods = 2

// Journal is what an exchange needs of the configuration.
type Journal interface {
	State() *catalogue.State
	ProvedAt() clock.Millis
	Ready() bool
	Vouch()
	TakeRevision(r catalogue.Revision)
	TakeProof(r catalogue.Revision, at clock.Millis)
	TakePeer(state *catalogue.State)
}

// Ask opens an exchange.
type Ask struct {
	From        string
	Incarnation int64
	Digest      Digest
}

// Answer tells what its sender knows.
type Answer struct {
	Incarnation int64
	// Ready is false when the sender may have forgotten a revision that it held before a restart.
	Ready bool
	// Revision is the revision held, Highest is the highest one heard of.
	Revision catalogue.Revision
	Highest  catalogue.Revision
	// ProofAge is the age of the log's proof that Revision is current, plus one, in milliseconds; 0 means no proof.
	ProofAge clock.Millis
	// Members is how many members the sender sees.
	Members int
	// ListAsOf is the wall time of the newest list that the sender knows to have been seen.
	ListAsOf clock.Millis
	// Ages tells when each member was known to hold no revision above Highest.
	Ages  Ages
	Delta Delta
}

// Knowledge joins what an instance knows of the others; it is used by one thread only.
type Knowledge struct {
	Clock clock.Clock
	Self  catalogue.Member
	// Tick is the exchange period, in milliseconds.
	Tick       clock.Millis
	Journal    Journal
	Membership *Membership
	Freshness  *Freshness
	Gossip     *Gossip

	members       []catalogue.Member
	neighbours    []catalogue.Member
	neighbourView uint64
	// told is the highest number of members that another one sees, told at the monotonic time toldAt.
	told   int
	toldAt clock.Millis
}

// Refresh brings all parts up to the present members.
func (k *Knowledge) Refresh() {
	k.Membership.Age(k.Clock.Now())
	members := k.Membership.Members()
	if len(members) == len(k.members) && len(members) > 0 && &members[0] == &k.members[0] {
		return
	}
	k.members = members
	k.Gossip.SetMembers(members)
	k.Freshness.Retain(members)
}

// Ask returns the opening of an exchange; sparse is needed for a receiver that sees other members.
func (k *Knowledge) Ask(sparse bool) Ask {
	k.Refresh()
	k.Gossip.Put(HeldTopic, "", encodeRevision(k.Journal.State().Revision))
	a := Ask{From: k.Self.Name, Incarnation: k.Self.Incarnation}
	if sparse {
		a.Digest = k.Gossip.SparseDigest()
	} else {
		a.Digest = k.Gossip.Digest()
	}
	return a
}

// Answer answers the opening of another instance.
func (k *Knowledge) Answer(a Ask) Answer {
	now := k.Clock.Now()
	k.Membership.Heard(a.From, a.Incarnation, now)
	k.Refresh()
	k.Gossip.Put(HeldTopic, "", encodeRevision(k.Journal.State().Revision))
	own := k.Journal.State().Revision
	out := Answer{
		Incarnation: k.Self.Incarnation,
		Ready:       k.Journal.Ready(),
		Members:     len(k.Membership.Members()),
		Revision:    own,
		Highest:     max(own, k.Freshness.Highest()),
		Delta:       k.Gossip.Delta(a.Digest),
	}
	out.ListAsOf = max(k.Membership.ListAsOf(), k.Freshness.newestList)
	proved := k.Journal.ProvedAt()
	if proved > 0 {
		out.ProofAge = now - proved + 1
	}
	// While log and list are up, nobody needs to know who was heard when.
	if out.Ready && k.alone() {
		out.Ages = k.Freshness.ages(k.members, k.Gossip.view, now, a.Digest.IsSparse)
	}
	return out
}

// Learn takes the answer of a member to an opening that was sent at the monotonic time sentAt; it tells whether an item changed.
func (k *Knowledge) Learn(member string, sentAt clock.Millis, a Answer) bool {
	if !k.Membership.Heard(member, a.Incarnation, sentAt) {
		return false
	}
	k.Refresh()
	k.Journal.TakeRevision(a.Highest)
	k.Freshness.HeardList(a.ListAsOf)
	k.hearSize(a.Members)
	if a.Ready {
		k.Freshness.Heard(member, sentAt, a.Highest)
		k.Freshness.learn(a.Ages, k.members, k.Gossip.view, sentAt)
	}
	if a.ProofAge > 0 {
		k.Journal.TakeProof(a.Revision, sentAt-a.ProofAge)
	}
	k.vouch()
	changed := k.Gossip.Merge(a.Delta)
	// In a large set most members are never heard directly, and the list may lag behind a restart.
	for i := range a.Delta.Origins {
		k.Membership.Reported(a.Delta.Origins[i].Name, a.Delta.Origins[i].Incarnation)
	}
	k.Refresh()
	return changed
}

// vouch ends the doubt of an instance that was started while the log was down: a change that was accepted is held by a
// majority of the members, so that one of any other vouchers knows it, this instance's forgotten past left out.
func (k *Knowledge) vouch() {
	if k.Journal.Ready() || k.Freshness.Highest() > k.Journal.State().Revision {
		return
	}
	n := k.electorate()
	majority := n/2 + 1
	if k.Freshness.count(k.members) >= n-majority+1 {
		k.Journal.Vouch()
	}
}

// ProvedAt returns the monotonic time at which the configuration was last proved to be current, by the log or by members.
func (k *Knowledge) ProvedAt() clock.Millis {
	if !k.Journal.Ready() {
		return 0
	}
	byMembers := k.Freshness.ProvedAt(k.Membership.Members(), k.electorate(), k.Journal.State().Revision)
	return max(k.Journal.ProvedAt(), byMembers)
}

// ListProvedAt returns the monotonic time at which the list was last proved to be current, by itself or by members.
// While nobody can read the list, the last one stays in use.
func (k *Knowledge) ListProvedAt() clock.Millis {
	if !k.Membership.Seen() {
		return 0
	}
	byMembers := k.Freshness.ListProvedAt(k.Membership.Members(), k.electorate(), k.Membership.ListAsOf())
	return max(k.Membership.ListAt(), byMembers)
}

// ViewAt returns the monotonic time at which configuration and list were both proved to be current.
func (k *Knowledge) ViewAt() clock.Millis { return min(k.ProvedAt(), k.ListProvedAt()) }

// Holders counts the members that hold the revision, this instance included, and names the others.
func (k *Knowledge) Holders(r catalogue.Revision) (have int, missing []string) {
	for _, m := range k.Membership.Members() {
		held := k.Journal.State().Revision
		if m.Name != k.Self.Name {
			held = decodeRevision(k.Gossip.Item(m, HeldTopic, ""))
		}
		if held >= r {
			have++
		} else {
			missing = append(missing, m.Name)
		}
	}
	for n := have + len(missing); n < k.electorate(); n++ {
		missing = append(missing, unlistedMember)
	}
	return have, missing
}

// unlistedMember stands for a member that others see and this instance's list doesn't show.
const unlistedMember = "(not listed here)"

// sizeHold is how long a higher number of members that was told counts, in milliseconds.
const sizeHold = 60 * clock.Second

// hearSize notes how many members another one sees.
func (k *Knowledge) hearSize(n int) {
	now := k.Clock.Now()
	if n >= k.told || now-k.toldAt > sizeHold {
		k.told, k.toldAt = n, now
	}
}

// electorate returns the number of members that a majority is taken of. A fresh instance whose list is short must not
// find a majority among the few that it shows, so the numbers that others see count as well.
func (k *Knowledge) electorate() int {
	n := len(k.Membership.Members())
	if k.Clock.Now()-k.toldAt <= sizeHold {
		n = max(n, k.told)
	}
	return n
}

// Behind tells whether the sender of the answer holds a newer revision, and the log hasn't been readable for a while.
func (k *Knowledge) Behind(a Answer) bool {
	return a.Revision > k.Journal.State().Revision && (!k.Journal.Ready() || k.Clock.Now()-k.Journal.ProvedAt() > agingPeriods*k.Tick)
}

// TakeState adopts the configuration of another member when it is newer.
func (k *Knowledge) TakeState(s *catalogue.State) {
	k.Journal.TakePeer(s)
	k.vouch()
}
