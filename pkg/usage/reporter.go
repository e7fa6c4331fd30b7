package usage

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
)

const (
	// tick is the period in which the holder looks for something to do, and idleTick that in which others look whether they are the holder,
	// in milliseconds.
	tick     clock.Millis = 250
	idleTick              = clock.Second
	// sendRetryDelay is the pause after a report that was not acknowledged, in milliseconds.
	sendRetryDelay = clock.Second
	// eraMargin is how far the times of two holders may differ, in milliseconds.
	eraMargin = clock.Second
)

// Lease is what the reporter needs of a duty.Keeper.
type Lease interface {
	Held(now clock.Millis) (duty.Lease, bool)
	State(name string) (state json.RawMessage, ok bool)
	Yield(reason string)
	Write(ctx context.Context, lease duty.Lease, name string, state json.RawMessage) error
}

// State is what the holder keeps in the lease for the next one.
type State struct {
	// Era is the era of the store in which it was written.
	Era int64
	// Next is the next window to record.
	Next int64
	// Pending has the reports that were recorded and not acknowledged, oldest first.
	Pending []duty.UsageReport
}

// Reporter reports the usage of all instances while this instance holds the lease; its exported fields must be set before Run.
type Reporter struct {
	Clock   clock.Clock
	Log     logr.Logger
	Self    string
	Lease   Lease
	Caller  duty.Caller
	Network Network
	// Local answers for this instance.
	Local   *Service
	Members func() []catalogue.Member
	// Order returns members in the order in which they are candidates for the lease.
	Order func(members []catalogue.Member) []catalogue.Member
	// Leaving reports whether this instance drains.
	Leaving func() bool
	// Length is the length of a window and Delay how long after its end its report is due, in milliseconds.
	Length clock.Millis
	Delay  clock.Millis
	// Tolerance is the share by which a count may be off.
	Tolerance float64

	// The fields up to mu belong to Run. token is that of the lease for which the fields below are valid.
	token     int64
	collector *collector
	state     State
	acked     map[int64]bool
	retryAt   clock.Millis
	late      map[int64]bool
	// asked is true once all members were asked for counts.
	asked bool

	mu     sync.Mutex
	pushed []PushArgs
	// collected has the counts for the next holder.
	collected []MemberCounts
	stats     Stats
}

// Stats counts reports.
type Stats struct {
	// Recorded, Sent and Failed count windows that were recorded, reports that were acknowledged, and calls that weren't.
	Recorded int64
	Sent     int64
	Failed   int64
	// Missed counts windows without a report in time, and Incomplete those that lack the counts of some members beyond the tolerance.
	Missed     int64
	Incomplete int64
	// Next is the next window to report, and Pending the number of recorded reports without an acknowledgement.
	Next    int64
	Pending int
}

// Stats returns what was reported.
func (r *Reporter) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

func (r *Reporter) count(f func(s *Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.stats)
}

// Push takes the counts of an instance that ends; it returns false unless this instance holds the lease.
func (r *Reporter) Push(args PushArgs) bool {
	if _, held := r.Lease.Held(r.Clock.Now()); !held {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pushed = append(r.pushed, args)
	return true
}

// Run reports usage until ctx ends, and returns the error of ctx.
func (r *Reporter) Run(ctx context.Context) error {
	for {
		period := idleTick
		if _, held := r.Lease.Held(r.Clock.Now()); held {
			period = tick
		}
		if err := clock.Sleep(ctx, r.Clock, period); err != nil {
			return err
		}
		r.step(ctx)
	}
}

func (r *Reporter) step(ctx context.Context) {
	lease, held := r.Lease.Held(r.Clock.Now())
	if !held {
		return
	}
	if r.token != lease.Token {
		r.reset(lease.Token)
	}
	r.collect(ctx, lease)
	offset, known := r.collector.timeOffset()
	if !known || !r.readState(lease, r.Clock.Now()+offset) {
		return
	}
	r.skipLate(r.Clock.Now() + offset)
	for r.record(ctx, lease, r.Clock.Now()+offset) {
	}
	r.send(ctx, lease)
	r.countLate(r.Clock.Now() + offset)
	if r.Leaving() {
		collected := r.collector.all(r.state.Next)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.collected = collected
	}
}

// Collected returns the counts that this instance collected as the last holder, if it leaves.
func (r *Reporter) Collected() []MemberCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.collected)
}

// reset prepares for a new token; what is known under the last one stays valid if the lease lapsed and nobody else acquired it.
func (r *Reporter) reset(token int64) {
	r.token, r.collector, r.acked, r.late = token, newCollector(r.Length), map[int64]bool{}, map[int64]bool{}
	r.state, r.retryAt, r.asked = State{}, 0, false
}

// windowAt returns the window at a true time.
func (r *Reporter) windowAt(t clock.Millis) int64 { return int64(t / r.Length) }

// endOf returns the true time at which a window ends.
func (r *Reporter) endOf(window int64) clock.Millis { return clock.Millis(window+1) * r.Length }

// readState reads the state of the last holder, and returns false while it isn't known.
func (r *Reporter) readState(lease duty.Lease, now clock.Millis) bool {
	b, ok := r.Lease.State(duty.Usage)
	if !ok {
		return false
	}
	next := State{Era: lease.Era(), Next: r.state.Next}
	if len(b) > 0 {
		next = State{}
		if err := json.Unmarshal(b, &next); err != nil {
			r.Log.Error(err, "the state of usage can't be read; no window is reported")
			return false
		}
	}
	if next.Next == 0 {
		next.Next = r.windowAt(now) + 1
		r.Log.Info("reporting usage", "firstWindow", next.Next, "token", lease.Token)
	}
	if next.Era != lease.Era() {
		if r.state.Next == 0 {
			// Later windows may have been reported under records that the store has lost.
			first := max(next.Next, r.windowAt(now+eraMargin))
			r.skip(next.Next, first, "the store came back from an older copy")
			next.Next = first
		}
		next.Era = lease.Era()
	}
	next.Next = max(next.Next, r.state.Next)
	r.state = next
	r.count(func(s *Stats) { s.Next, s.Pending = next.Next, len(next.Pending) })
	return true
}

// skip notes windows that are not reported.
func (r *Reporter) skip(from, to int64, reason string) {
	if from >= to {
		return
	}
	r.Log.Info("usage windows are not reported", "from", from, "to", to-1, "reason", reason)
	r.count(func(s *Stats) { s.Missed += to - from })
}

// skipLate skips the windows whose reports have long been due.
func (r *Reporter) skipLate(now clock.Millis) {
	first := r.windowAt(now - r.Delay - r.Length)
	if first > r.state.Next {
		r.skip(r.state.Next, first, "their reports are overdue")
		r.state.Next = first
	}
}

// send sends the recorded reports that aren't acknowledged.
func (r *Reporter) send(ctx context.Context, lease duty.Lease) {
	if r.Clock.Now() < r.retryAt {
		return
	}
	for _, p := range r.state.Pending {
		if r.acked[p.Window] {
			continue
		}
		if err := r.Caller.Usage(ctx, lease, p); err != nil {
			r.Log.Info("usage report not acknowledged", "window", p.Window, "token", lease.Token, "error", err.Error())
			r.count(func(s *Stats) { s.Failed++ })
			r.retryAt = r.Clock.Now() + sendRetryDelay
			return
		}
		r.acked[p.Window] = true
		r.count(func(s *Stats) { s.Sent++ })
		r.Log.Info("usage window reported", "window", p.Window, "requests", total(p.Counts), "token", lease.Token)
	}
}

// countLate counts the recorded windows whose reports weren't acknowledged in time.
func (r *Reporter) countLate(now clock.Millis) {
	for _, p := range r.state.Pending {
		if !r.acked[p.Window] && !r.late[p.Window] && now > r.endOf(p.Window)+r.Delay {
			r.late[p.Window] = true
			r.skip(p.Window, p.Window+1, "the report wasn't acknowledged in time")
		}
	}
}
