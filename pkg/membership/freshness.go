package membership

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// listSlack is how much newer the lists of others may be, since all of them read at different times, in milliseconds.
const listSlack = 3 * clock.Second

// Freshness proves by the answers of other members that no newer revision was known to a majority; it is used by one thread only.
type Freshness struct {
	// Self is the name of this instance.
	Self string

	heard      map[string]clock.Millis
	highest    catalogue.Revision
	proved     clock.Millis
	newestList clock.Millis
	listProved clock.Millis
}

// Heard notes that a member held no revision above r at the monotonic time at or later.
func (f *Freshness) Heard(member string, at clock.Millis, r catalogue.Revision) {
	if f.heard == nil {
		f.heard = map[string]clock.Millis{}
	}
	f.highest = max(f.highest, r)
	f.heard[member] = max(f.heard[member], at)
}

// At returns the monotonic time at which the member is known to have held no revision above Highest; 0 means never.
func (f *Freshness) At(member string) clock.Millis { return f.heard[member] }

// Highest returns the highest revision that any member was heard to hold.
func (f *Freshness) Highest() catalogue.Revision { return f.highest }

// ProvedAt returns the monotonic time at which a majority of size members held no revision above own; 0 means never.
// An instance that knows of no other member has no proof.
func (f *Freshness) ProvedAt(members []catalogue.Member, size int, own catalogue.Revision) clock.Millis {
	if f.highest > own || len(members) < 2 {
		return f.proved
	}
	f.proved = max(f.proved, f.majorityAt(members, size))
	return f.proved
}

// HeardList notes that some member has seen a list as of the wall time asOf.
func (f *Freshness) HeardList(asOf clock.Millis) { f.newestList = max(f.newestList, asOf) }

// ListProvedAt returns the monotonic time at which a majority of size members had no list that is newer than asOf by more
// than listSlack; 0 means never.
func (f *Freshness) ListProvedAt(members []catalogue.Member, size int, asOf clock.Millis) clock.Millis {
	if f.newestList <= asOf+listSlack && len(members) >= 2 {
		f.listProved = max(f.listProved, f.majorityAt(members, size))
	}
	return f.listProved
}

// majorityAt returns the earliest time among the newest statements of a majority of size members, this instance included;
// 0 when fewer are known.
func (f *Freshness) majorityAt(members []catalogue.Member, size int) clock.Millis {
	times := make([]clock.Millis, 0, len(members))
	for _, m := range members {
		if m.Name != f.Self {
			times = append(times, f.heard[m.Name])
		}
	}
	slices.Sort(times)
	// This instance and needed others make a majority.
	needed := size / 2
	if needed > len(times) {
		return 0
	}
	return times[len(times)-needed]
}

// Retain forgets everyone but the members.
func (f *Freshness) Retain(members []catalogue.Member) {
	if len(f.heard) <= len(members) {
		return
	}
	kept := make(map[string]clock.Millis, len(members))
	for _, m := range members {
		if at, known := f.heard[m.Name]; known {
			kept[m.Name] = at
		}
	}
	f.heard = kept
}

// count returns how many of the other members were heard at all.
func (f *Freshness) count(members []catalogue.Member) int {
	n := 0
	for _, m := range members {
		if m.Name != f.Self && f.heard[m.Name] > 0 {
			n++
		}
	}
	return n
}
