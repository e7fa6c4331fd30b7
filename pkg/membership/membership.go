package membership

import (
	"slices"
	"strings"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// absence is how long a member that is neither listed nor heard of stays a member, in milliseconds.
	absence = 15 * clock.Second
	// dropPeriod is the span in which only a share of the members may be dropped, in milliseconds.
	dropPeriod = 60 * clock.Second
	// dropShare divides the members into those that may be dropped in one dropPeriod and the others.
	dropShare = 4
	// staleList is how long an older list is ignored after a newer one, in milliseconds.
	staleList = 60 * clock.Second
)

// Membership keeps the entry instances; it is used by one thread only.
type Membership struct {
	// Self is this instance, which is always a member.
	Self catalogue.Member

	known    map[string]*memberState
	listed   []catalogue.Member
	listAsOf clock.Millis
	// readAt is the monotonic time at which the last list was asked for, offset the least difference of that time and AsOf.
	readAt  clock.Millis
	offset  clock.Millis
	seen    bool
	now     clock.Millis
	drops   []clock.Millis
	members []catalogue.Member
}

type memberState struct {
	member catalogue.Member
	listed bool
	// at is the monotonic time at which the member was last listed or heard of.
	at clock.Millis
}

// SeeList takes a list that was asked for at the monotonic time at, and tells whether it was used.
// A list that is older than the last one is ignored.
func (m *Membership) SeeList(l backoffice.Listing, at clock.Millis) bool {
	older := m.seen && l.AsOf < m.listAsOf
	if older && at-m.readAt < staleList {
		return false
	}
	if !m.seen || older || at-l.AsOf < m.offset {
		m.offset = at - l.AsOf
	}
	m.seen = true
	m.listAsOf, m.readAt = l.AsOf, at
	m.now = max(m.now, at)
	for _, s := range m.known {
		s.listed = false
	}
	m.listed = nil
	for _, inst := range l.Instances {
		if inst.Role != catalogue.RoleEntry {
			continue
		}
		e := catalogue.Member{Name: inst.Name, PeerAddress: inst.PeerAddress, Zone: inst.Zone, Incarnation: inst.Incarnation, Leaving: inst.Leaving}
		m.listed = append(m.listed, e)
		m.take(e, at)
	}
	slices.SortFunc(m.listed, byName)
	return true
}

func (m *Membership) take(e catalogue.Member, at clock.Millis) {
	if m.known == nil {
		m.known = map[string]*memberState{}
	}
	s := m.known[e.Name]
	if s == nil {
		s = &memberState{member: e}
		m.known[e.Name] = s
		m.members = nil
	}
	if s.member.Incarnation > e.Incarnation {
		// The list lags behind a restart that was heard of already.
		e.Incarnation = s.member.Incarnation
		e.Leaving = false
	}
	if s.member != e {
		s.member = e
		m.members = nil
	}
	s.listed = true
	s.at = max(s.at, at)
}

// Heard notes a message of a member at the monotonic time at; it is false for an older incarnation and for a stranger.
func (m *Membership) Heard(member string, incarnation int64, at clock.Millis) bool {
	m.now = max(m.now, at)
	s := m.known[member]
	if s == nil || incarnation < s.member.Incarnation {
		return false
	}
	if incarnation > s.member.Incarnation {
		s.member.Incarnation = incarnation
		s.member.Leaving = false
		m.members = nil
	}
	s.at = max(s.at, at)
	return true
}

// Reported notes the incarnation of a member that another one told of; it says nothing of when the member was last alive.
func (m *Membership) Reported(member string, incarnation int64) {
	s := m.known[member]
	if s == nil || incarnation <= s.member.Incarnation {
		return
	}
	s.member.Incarnation = incarnation
	s.member.Leaving = false
	m.members = nil
}

// Age drops the members that have been absent for long, but never many in a short time.
func (m *Membership) Age(now clock.Millis) {
	m.now = max(m.now, now)
	for len(m.drops) > 0 && m.now-m.drops[0] >= dropPeriod {
		m.drops = m.drops[1:]
	}
	allowed := max(1, (len(m.known)+len(m.drops))/dropShare) - len(m.drops)
	for _, name := range m.absent() {
		if allowed <= 0 {
			return
		}
		allowed--
		delete(m.known, name)
		m.drops = append(m.drops, m.now)
		m.members = nil
	}
}

// absent returns the names of the members that may be dropped, the longest absent first.
func (m *Membership) absent() []string {
	var out []*memberState
	for name, s := range m.known {
		if name != m.Self.Name && !s.listed && m.now-s.at >= absence {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *memberState) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return byName(a.member, b.member)
	})
	names := make([]string, len(out))
	for i, s := range out {
		names[i] = s.member.Name
	}
	return names
}

// Members returns the members sorted by name, this instance included; the slice must not be changed.
func (m *Membership) Members() []catalogue.Member {
	if m.members != nil {
		return m.members
	}
	out := make([]catalogue.Member, 0, len(m.known)+1)
	self := m.Self
	for name, s := range m.known {
		if name == m.Self.Name {
			self.Leaving = s.member.Leaving && s.member.Incarnation >= self.Incarnation
			continue
		}
		out = append(out, s.member)
	}
	out = append(out, self)
	slices.SortFunc(out, byName)
	m.members = out
	return out
}

// Seen tells whether a list was taken yet.
func (m *Membership) Seen() bool { return m.seen }

// ListAt returns the monotonic time of the last list, by its AsOf and the least lag seen; 0 means that none was seen.
// A list that is asked for again and shows the same AsOf grows older.
func (m *Membership) ListAt() clock.Millis {
	if !m.seen {
		return 0
	}
	return m.listAsOf + m.offset
}

// ListAsOf returns the wall time of the last list.
func (m *Membership) ListAsOf() clock.Millis { return m.listAsOf }

// Listed returns the entry instances of the last list alone, sorted by name.
func (m *Membership) Listed() []catalogue.Member { return m.listed }

func byName(a, b catalogue.Member) int { return strings.Compare(a.Name, b.Name) }
