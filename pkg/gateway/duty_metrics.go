package gateway

import (
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
	"carawayknot.example/carawayknot/pkg/usage"
)

// DutyState is what an instance knows of the lease of duties, for operators.
type DutyState struct {
	Lease duty.Stats
	// Usage has the windows that this instance reported; it is nil unless usage is reported.
	Usage *usage.Stats `json:",omitempty"`
	// AskedAt is the monotonic time at which a holder last asked for the counts of this instance.
	AskedAt clock.Millis `json:",omitempty"`
	// Standby is true if that holder wants this instance to acquire the lease when it fails.
	Standby bool `json:",omitempty"`
	// Uncounted is the number of requests that weren't counted because there were too many.
	Uncounted int64 `json:",omitempty"`
}

// dutyState returns the state of the duties, nil where there are none.
func (in *Instance) dutyState() *DutyState {
	if in.duties == nil {
		return nil
	}
	s := &DutyState{Lease: in.duties.keeper.Stats()}
	if in.duties.reporter != nil {
		reported := in.duties.reporter.Stats()
		s.Usage, s.Uncounted = &reported, in.duties.counter.Dropped()
		s.AskedAt, s.Standby = in.duties.service.Asked()
	}
	return s
}

// registerDutyMetrics registers the metrics of the duties that this instance may hold.
func (in *Instance) registerDutyMetrics() {
	if in.duties == nil {
		return
	}
	k := in.duties.keeper
	in.metrics.RegisterGauge("carawayknot_lease_held", "1 while this instance holds the lease of duties.", func() float64 {
		if k.Stats().Held {
			return 1
		}
		return 0
	})
	in.metrics.RegisterGauge("carawayknot_lease_token", "Fencing token of the last holder that this instance knows of.", func() float64 {
		return float64(k.Stats().Token)
	})
	in.metrics.RegisterGauge("carawayknot_lease_holder_age_seconds", "Time since this instance learned of that holder.", func() float64 {
		if s := k.Stats(); s.Token > 0 {
			return (in.Clock.Now() - s.Since).Seconds()
		}
		return 0
	})
	for _, c := range []struct {
		name, help string
		read       func(s duty.Stats) int64
	}{
		{"carawayknot_lease_acquired_total", "Times that this instance acquired the lease of duties.", func(s duty.Stats) int64 { return s.Acquired }},
		{"carawayknot_lease_lost_total", "Times that this instance gave the lease up or lost it.", func(s duty.Stats) int64 { return s.Lost }},
		{"carawayknot_lease_fenced_total", "Calls refused because another holder has a higher fencing token.", func(s duty.Stats) int64 { return s.Fenced }},
	} {
		in.metrics.RegisterCounter(c.name, c.help, func() float64 { return float64(c.read(k.Stats())) })
	}
	if in.duties.reporter != nil {
		in.registerUsageMetrics(in.duties.reporter)
	}
}

func (in *Instance) registerUsageMetrics(r *usage.Reporter) {
	in.metrics.RegisterGauge("carawayknot_usage_pending_reports", "Recorded reports of usage that the platform has not acknowledged.", func() float64 {
		return float64(r.Stats().Pending)
	})
	in.metrics.RegisterCounter("carawayknot_usage_uncounted_total", "Requests that weren't counted because there were too many.", func() float64 {
		return float64(in.duties.counter.Dropped())
	})
	for _, c := range []struct {
		name, help string
		read       func(s usage.Stats) int64
	}{
		{"carawayknot_usage_recorded_total", "Windows of usage that this instance recorded.", func(s usage.Stats) int64 { return s.Recorded }},
		{"carawayknot_usage_reported_total", "Reports of usage that the platform acknowledged.", func(s usage.Stats) int64 { return s.Sent }},
		{"carawayknot_usage_failed_calls_total", "Reports of usage that were not acknowledged.", func(s usage.Stats) int64 { return s.Failed }},
		{"carawayknot_usage_missed_total", "Windows of usage without a report in time.", func(s usage.Stats) int64 { return s.Missed }},
		{"carawayknot_usage_incomplete_total", "Windows of usage that lack the counts of members beyond the tolerance.", func(s usage.Stats) int64 { return s.Incomplete }},
	} {
		in.metrics.RegisterCounter(c.name, c.help, func() float64 { return float64(c.read(r.Stats())) })
	}
}
