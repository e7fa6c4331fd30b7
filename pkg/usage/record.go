package usage

import (
	"context"
	"encoding/json"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
)

const (
	// sendReserve is the part of the delay of a report that is kept for recording and sending it, in milliseconds.
	sendReserve = 3 * clock.Second
	// maxPending bounds the reports that wait for an acknowledgement.
	maxPending = 24
	// maxStarted is the share of instances that may have started after the begin of a window that is reported.
	maxStarted = 0.5
)

// record records the next window in the lease, or skips it if its counts are lost; it returns false while the window has to wait.
func (r *Reporter) record(ctx context.Context, lease duty.Lease, now clock.Millis) bool {
	window := r.state.Next
	if !r.asked || !r.isReady(window, now) {
		return false
	}
	started := r.collector.startedAfter(r.Clock.Now() - (now - r.endOf(window-1)))
	if started > maxStarted {
		r.skip(window, window+1, "most instances started after its begin, and the counts of those before them are lost")
		r.state.Next = window + 1
		return true
	}
	report := duty.UsageReport{Window: window, Counts: r.collector.sum(window)}
	next := r.stateWith(lease, report)
	b, err := json.Marshal(next)
	if err == nil {
		err = r.Lease.Write(ctx, lease, duty.Usage, b)
	}
	if err != nil {
		r.Log.Info("usage window not recorded", "window", window, "error", err.Error())
		return false
	}
	r.noteRecorded(report, started, lease)
	r.state = next
	r.count(func(s *Stats) { s.Recorded++; s.Next, s.Pending = next.Next, len(next.Pending) })
	r.collector.forget(window - 1)
	return true
}

// isReady reports whether a window has ended and all members that are worth waiting for have told their counts, or its report is nearly due.
func (r *Reporter) isReady(window int64, now clock.Millis) bool {
	end := r.endOf(window)
	if now < end+settleTime {
		return false
	}
	missing, unreachable, share := r.collector.missing(window)
	if len(missing) == 0 || unreachable && share <= r.Tolerance/2 || now >= end+max(settleTime, r.Delay-sendReserve) {
		return true
	}
	if unreachable && 2*len(missing) > len(r.collector.members) {
		r.Lease.Yield("most members don't answer")
	}
	return false
}

// stateWith returns the state in which a report is recorded, without those that are acknowledged.
func (r *Reporter) stateWith(lease duty.Lease, report duty.UsageReport) State {
	next := State{Era: lease.Era(), Next: report.Window + 1}
	for _, p := range r.state.Pending {
		if !r.acked[p.Window] {
			next.Pending = append(next.Pending, p)
		}
	}
	next.Pending = append(next.Pending, report)
	next.Pending = next.Pending[max(0, len(next.Pending)-maxPending):]
	return next
}

// noteRecorded logs a recorded window and what it lacks.
func (r *Reporter) noteRecorded(report duty.UsageReport, started float64, lease duty.Lease) {
	missing, _, share := r.collector.missing(report.Window)
	if len(missing) > 0 {
		r.Log.Info("usage window lacks counts of members", "window", report.Window, "members", missing, "share", share)
	}
	if started > 0 {
		r.Log.Info("instances started after the begin of a usage window", "window", report.Window, "share", started)
	}
	if max(share, started) > r.Tolerance {
		r.count(func(s *Stats) { s.Incomplete++ })
	}
	r.Log.Info("usage window recorded", "window", report.Window, "requests", total(report.Counts), "workspaces", len(report.Counts), "token", lease.Token)
}
