package membership

import (
	"slices"
	"strings"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// absenceTimeout is how long a member that is neither listed nor heard from stays a member, in milliseconds.
	absenceTimeout = 15 * clock.Second
	// dropPeriod is the span in which only a part of the members may be dropped, in milliseconds.
	dropPeriod = 60 * clock.Second
	// dropDivisor divides the number of members to give how many may be dropped in one dropPeriod.
	dropDivisor = 4
	// olderListTimeout is how long a list older than the last one is ignored, in milliseconds; after that the clock of the list
	// is taken to have been set back.
	olderListTimeout = 60 * clock.Second
)

// Membership tracks the entry instances by the instance list and by their messages; it is not safe for concurrent use.
type Membership struct {
	// Self is this instance, which is always a member.
	Self catalogue.Member

	states   map[string]*memberState
	listed   []catalogue.Member
	listAsOf clock.Millis
	// listReadAt is the monotonic time at which the last list was requested; listOffset is the least difference seen between the
	// time of a request and the AsOf of its list.
	listReadAt clock.Millis
	listOffset clock.Millis
	hasList    bool
	now        clock.Millis
	dropTimes  []clock.Millis
	members    []catalogue.Member
}

type memberState struct {
	member catalogue.Member
	listed bool
	// lastSeenAt is the monotonic time at which the member was last listed or heard from.
	lastSeenAt clock.Millis
}

// ApplyList applies a list that was requested at the monotonic time at, and reports whether it was used; a list older than the
// last one is ignored for olderListTimeout.
func (m *Membership) ApplyList(l backoffice.Listing, at clock.Millis) bool {
	older := m.hasList && l.AsOf < m.listAsOf
	if older && at-m.listReadAt < olderListTimeout {
		return false
	}
	if !m.hasList || older || at-l.AsOf < m.listOffset {
		m.listOffset = at - l.AsOf
	}
	m.hasList = true
	m.listAsOf, m.listReadAt = l.AsOf, at
	m.now = max(m.now, at)
	for _, s := range m.states {
		s.listed = false
	}
	m.listed = nil
	for _, inst := range l.Instances {
		if inst.Role != catalogue.RoleEntry {
			continue
		}
		e := catalogue.Member{Name: inst.Name, PeerAddress: inst.PeerAddress, Zone: inst.Zone, Incarnation: inst.Incarnation, Leaving: inst.Leaving}
		m.listed = append(m.listed, e)
		m.addListed(e, at)
	}
	slices.SortFunc(m.listed, byName)
	return true
}

func (m *Membership) addListed(e catalogue.Member, at clock.Millis) {
	if m.states == nil {
		m.states = map[string]*memberState{}
	}
	s := m.states[e.Name]
	if s == nil {
		s = &memberState{member: e}
		m.states[e.Name] = s
		m.members = nil
	}
	if s.member.Incarnation > e.Incarnation {
		// The list lags behind a restart that was already observed.
		e.Incarnation = s.member.Incarnation
		e.Leaving = false
	}
	if s.member != e {
		s.member = e
		m.members = nil
	}
	s.listed = true
	s.lastSeenAt = max(s.lastSeenAt, at)
}

// ObserveMember records a message of a member at the monotonic time at; it returns false for an older incarnation or a non-member.
func (m *Membership) ObserveMember(member string, incarnation int64, at clock.Millis) bool {
	m.now = max(m.now, at)
	s := m.states[member]
	if s == nil || incarnation < s.member.Incarnation {
		return false
	}
	if incarnation > s.member.Incarnation {
		s.member.Incarnation = incarnation
		s.member.Leaving = false
		m.members = nil
	}
	s.lastSeenAt = max(s.lastSeenAt, at)
	return true
}

// ObserveIncarnation records the incarnation that another instance reported of a member, which is no sign that it is still alive.
func (m *Membership) ObserveIncarnation(member string, incarnation int64) {
	s := m.states[member]
	if s == nil || incarnation <= s.member.Incarnation {
		return
	}
	s.member.Incarnation = incarnation
	s.member.Leaving = false
	m.members = nil
}

// DropAbsent drops the members that have been absent for absenceTimeout, but only a limited number in each dropPeriod.
func (m *Membership) DropAbsent(now clock.Millis) {
	m.now = max(m.now, now)
	for len(m.dropTimes) > 0 && m.now-m.dropTimes[0] >= dropPeriod {
		m.dropTimes = m.dropTimes[1:]
	}
	allowed := max(1, (len(m.states)+len(m.dropTimes))/dropDivisor) - len(m.dropTimes)
	for _, name := range m.droppable() {
		if allowed <= 0 {
			return
		}
		allowed--
		delete(m.states, name)
		m.dropTimes = append(m.dropTimes, m.now)
		m.members = nil
	}
}

// droppable returns the names of the members that may be dropped, the longest absent first.
func (m *Membership) droppable() []string {
	var out []*memberState
	for name, s := range m.states {
		if name != m.Self.Name && !s.listed && m.now-s.lastSeenAt >= absenceTimeout {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *memberState) int {
		if a.lastSeenAt != b.lastSeenAt {
			return int(a.lastSeenAt - b.lastSeenAt)
		}
		return byName(a.member, b.member)
	})
	names := make([]string, len(out))
	for i, s := range out {
		names[i] = s.member.Name
	}
	return names
}

// Members returns the members sorted by name, this instance included; the slice must not be modified.
func (m *Membership) Members() []catalogue.Member {
	if m.members != nil {
		return m.members
	}
	out := make([]catalogue.Member, 0, len(m.states)+1)
	self := m.Self
	for name, s := range m.states {
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

// HasList reports whether a list has been applied.
func (m *Membership) HasList() bool { return m.hasList }

// ListAt returns the AsOf of the last list as a monotonic time, converted by the least lag seen, so that a list whose AsOf doesn't
// advance ages; 0 means that there was none.
func (m *Membership) ListAt() clock.Millis {
	if !m.hasList {
		return 0
	}
	return m.listAsOf + m.listOffset
}

// ListAsOf returns the wall time of the last list.
func (m *Membership) ListAsOf() clock.Millis { return m.listAsOf }

// Listed returns the entry instances of the last list alone, sorted by name.
func (m *Membership) Listed() []catalogue.Member { return m.listed }

func byName(a, b catalogue.Member) int { return strings.Compare(a.Name, b.Name) }
