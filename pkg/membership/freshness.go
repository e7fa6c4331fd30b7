package membership

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// maxListSkew is how much newer the lists of other members may be, in milliseconds, since members read the list at different times.
const maxListSkew = 3 * clock.Second

// Freshness proves by the answers of other members that a majority knew no newer revision or list; it is not safe for concurrent use.
type Freshness struct {
	// Self is the name of this instance.
	Self string

	heardAt        map[string]clock.Millis
	highest        catalogue.Revision
	provedAt       clock.Millis
	newestListAsOf clock.Millis
	listProvedAt   clock.Millis
}

// Observe records that a member held no revision above r at the monotonic time at, or at some time after it.
func (f *Freshness) Observe(member string, at clock.Millis, r catalogue.Revision) {
	if f.heardAt == nil {
		f.heardAt = map[string]clock.Millis{}
	}
	f.highest = max(f.highest, r)
	f.heardAt[member] = max(f.heardAt[member], at)
}

// At returns the latest monotonic time at which the member is known to have held no revision above Highest; 0 means never.
func (f *Freshness) At(member string) clock.Millis { return f.heardAt[member] }

// Highest returns the highest revision that any member reported.
func (f *Freshness) Highest() catalogue.Revision { return f.highest }

// ProvedAt returns the monotonic time at which a majority of size members held no revision above own; 0 means never, as for an
// instance that knows no other member.
func (f *Freshness) ProvedAt(members []catalogue.Member, size int, own catalogue.Revision) clock.Millis {
	if f.highest > own || len(members) < 2 {
		return f.provedAt
	}
	f.provedAt = max(f.provedAt, f.majorityAt(members, size))
	return f.provedAt
}

// ObserveList records that a member has seen an instance list as of the wall time asOf.
func (f *Freshness) ObserveList(asOf clock.Millis) { f.newestListAsOf = max(f.newestListAsOf, asOf) }

// ListProvedAt returns the monotonic time at which a majority of size members had no list that is newer than asOf by more
// than maxListSkew; 0 means never.
func (f *Freshness) ListProvedAt(members []catalogue.Member, size int, asOf clock.Millis) clock.Millis {
	if f.newestListAsOf <= asOf+maxListSkew && len(members) >= 2 {
		f.listProvedAt = max(f.listProvedAt, f.majorityAt(members, size))
	}
	return f.listProvedAt
}

// majorityAt returns the latest monotonic time at or after which each of a majority of size members has reported, this instance
// included; 0 when too few have.
func (f *Freshness) majorityAt(members []catalogue.Member, size int) clock.Millis {
	times := make([]clock.Millis, 0, len(members))
	for _, m := range members {
		if m.Name != f.Self {
			times = append(times, f.heardAt[m.Name])
		}
	}
	slices.Sort(times)
	// This instance and needed others form a majority.
	needed := size / 2
	if needed > len(times) {
		return 0
	}
	return times[len(times)-needed]
}

// Retain drops the reports of all instances that are not among members.
func (f *Freshness) Retain(members []catalogue.Member) {
	if len(f.heardAt) <= len(members) {
		return
	}
	kept := make(map[string]clock.Millis, len(members))
	for _, m := range members {
		if at, found := f.heardAt[m.Name]; found {
			kept[m.Name] = at
		}
	}
	f.heardAt = kept
}

// countHeard returns how many of the other members have reported.
func (f *Freshness) countHeard(members []catalogue.Member) int {
	n := 0
	for _, m := range members {
		if m.Name != f.Self && f.heardAt[m.Name] > 0 {
			n++
		}
	}
	return n
}
