package usage

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// settleTime is how long after the end of a window its counts are asked for, in milliseconds.
	settleTime clock.Millis = 300
	// retryPeriod is the time between two calls to a member that didn't answer, in milliseconds.
	retryPeriod clock.Millis = 1000
	// roundTripDivisor divides the length of a window to give the longest call after which the time that it carried is precise enough.
	roundTripDivisor = 20
	// maxFailures is the number of calls in a row that a member may miss until it is waited for no longer.
	maxFailures = 3
)

// collector has the counts of all processes; it is not safe for concurrent use.
type collector struct {
	// length is the length of a window in milliseconds.
	length  clock.Millis
	members map[string]*memberCounts
	// processes has the latest counts of each process that ever replied, by member and process.
	processes map[processKey]*processCounts
	// wallOffsets has the differences of members' times of day and the monotonic time of this instance, by member.
	wallOffsets map[string]clock.Millis
}

type processKey struct{ member, id string }

type processCounts struct {
	now clock.Millis
	// since is the time from which on the process counts, as a monotonic time of this instance; 0 if only the process told its counts.
	since   clock.Millis
	windows map[int64]map[string]int64
}

// memberCounts tells how far the counts of a member are known.
type memberCounts struct {
	// through is the last window of which the counts are complete.
	through   int64
	repliedAt clock.Millis
	// triedAt is when the member was last asked, and triedFor the last window that had ended then.
	triedAt  clock.Millis
	triedFor int64
	failures int
	// lastCount is the number of requests in the last complete window.
	lastCount int64
}

func newCollector(length clock.Millis) *collector {
	return &collector{length: length, members: map[string]*memberCounts{}, processes: map[processKey]*processCounts{},
		wallOffsets: map[string]clock.Millis{}}
}

// setMembers replaces the members; the counts of those that are gone stay.
func (c *collector) setMembers(members []catalogue.Member) {
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Name] = true
		if c.members[m.Name] == nil {
			c.members[m.Name] = &memberCounts{through: -1, triedFor: -2}
		}
	}
	for name := range c.members {
		if !present[name] {
			delete(c.members, name)
			delete(c.wallOffsets, name)
		}
	}
}

// due returns the members to ask at the monotonic time now, when window is the last one that has ended.
func (c *collector) due(now clock.Millis, window int64) []string {
	var names []string
	for name, m := range c.members {
		missing := m.through < window
		stale := m.repliedAt == 0 || now-m.repliedAt >= c.length/2
		if (missing || stale) && (m.triedFor < window || now-m.triedAt >= m.retryPeriod(c.length)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// answers reports whether a member answered the last call to it.
func (c *collector) answers(name string) bool {
	m := c.members[name]
	return m != nil && m.repliedAt > 0 && m.failures == 0
}

// retryPeriod returns the time between two calls for the same window.
func (m *memberCounts) retryPeriod(length clock.Millis) clock.Millis {
	if m.failures >= maxFailures {
		return max(retryPeriod, length/2)
	}
	return retryPeriod
}

// reply is the answer of a member, or its failure.
type reply struct {
	member string
	counts CountsReply
	err    error
	// sentAt and at are the monotonic times of the call and of its reply, and window the last window that had ended when it was sent.
	sentAt clock.Millis
	at     clock.Millis
	window int64
}

// apply takes the answer of a member.
func (c *collector) apply(r reply) {
	m := c.members[r.member]
	if m == nil {
		m = &memberCounts{}
	}
	m.triedAt, m.triedFor = r.sentAt, r.window
	if r.err != nil {
		m.failures++
		return
	}
	m.failures = 0
	c.add(r.member, r.counts).since = r.at - (r.counts.Now - r.counts.Since)
	c.wallOffsets[r.member] = r.counts.Wall - (r.sentAt+r.at)/2
	m.repliedAt = r.at
	if r.at-r.sentAt <= c.length/roundTripDivisor {
		m.through = max(m.through, r.window)
		if n := total(c.windowOf(r.member, r.window)); n > 0 {
			m.lastCount = n
		}
	}
}

// add takes the counts of a process unless later ones are known.
func (c *collector) add(member string, counts CountsReply) *processCounts {
	key := processKey{member, counts.ID}
	p := c.processes[key]
	if p == nil {
		p = &processCounts{windows: map[int64]map[string]int64{}}
		c.processes[key] = p
	}
	if counts.Now < p.now {
		return p
	}
	p.now = counts.Now
	for _, w := range counts.Windows {
		p.windows[w.Window] = w.Counts
	}
	return p
}

// all returns the counts of all processes from a window on.
func (c *collector) all(first int64) []MemberCounts {
	var out []MemberCounts
	for key, p := range c.processes {
		item := MemberCounts{Member: key.member, Counts: CountsReply{ID: key.id, Now: p.now}}
		for window, counts := range p.windows {
			if window >= first {
				item.Counts.Windows = append(item.Counts.Windows, WindowCounts{Window: window, Counts: counts})
			}
		}
		if len(item.Counts.Windows) > 0 {
			out = append(out, item)
		}
	}
	return out
}

// startedAfter returns the share of the members of which only processes are known that began to count after a monotonic time.
func (c *collector) startedAfter(t clock.Millis) float64 {
	counted := map[string]bool{}
	started := map[string]bool{}
	for key, p := range c.processes {
		if c.members[key.member] == nil {
			continue
		}
		counted[key.member] = counted[key.member] || p.since <= t
		started[key.member] = true
	}
	late := 0
	for name := range started {
		if !counted[name] {
			late++
		}
	}
	return float64(late) / float64(max(1, len(started)))
}

func (c *collector) windowOf(member string, window int64) map[string]int64 {
	sum := map[string]int64{}
	for key, p := range c.processes {
		if key.member == member {
			addAll(sum, p.windows[window])
		}
	}
	return sum
}

// sum returns the counts of a window.
func (c *collector) sum(window int64) map[string]int64 {
	sum := map[string]int64{}
	for _, p := range c.processes {
		addAll(sum, p.windows[window])
	}
	return sum
}

// missing returns the members whose counts of a window may be incomplete, whether all of them have missed several calls, and their share of
// the requests in earlier windows.
func (c *collector) missing(window int64) (names []string, unreachable bool, share float64) {
	unreachable = true
	var missing, all int64
	for name, m := range c.members {
		all += m.lastCount
		if m.through >= window {
			continue
		}
		names = append(names, name)
		missing += m.lastCount
		unreachable = unreachable && m.failures >= maxFailures
	}
	if missing > 0 {
		share = float64(missing) / float64(all)
	}
	slices.Sort(names)
	return names, unreachable, share
}

// forget drops the counts of windows before first.
func (c *collector) forget(first int64) {
	for key, p := range c.processes {
		for w := range p.windows {
			if w < first {
				delete(p.windows, w)
			}
		}
		if len(p.windows) == 0 && c.members[key.member] == nil {
			delete(c.processes, key)
		}
	}
}

// timeOffset returns the median of the members' times of day, less the monotonic time of this instance.
func (c *collector) timeOffset() (clock.Millis, bool) {
	if len(c.wallOffsets) == 0 {
		return 0, false
	}
	offsets := make([]clock.Millis, 0, len(c.wallOffsets))
	for _, o := range c.wallOffsets {
		offsets = append(offsets, o)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], true
}

func addAll(sum, more map[string]int64) {
	for name, n := range more {
		sum[name] += n
	}
}

func total(counts map[string]int64) int64 {
	var sum int64
	for _, n := range counts {
		sum += n
	}
	return sum
}
