package entry

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/pricing"
	"carawayknot.example/carawayknot/pkg/request"
)

// inFlightPerQueueSlot is how many requests the in-flight limit must allow for each request that may wait in the queue.
const inFlightPerQueueSlot = 4

// filterChain builds the chain of filters that each request passes, in order, and the prober, whose probes bypass the chain.
func (d *Daemon) filterChain() request.Handler {
	c := d.Common
	snapshot := d.control.Snapshot
	queue := &dispatch.Queue{Limit: max(1, c.Settings.Limits.InFlight/inFlightPerQueueSlot)}
	d.upstreamInFlight = &dispatch.InFlightLimiter{OnRelease: queue.Wake}
	d.sender = &delivery.Sender{
		Common:  c,
		Gate:    &delivery.SnapshotGate{Common: c, Snapshot: snapshot},
		Budget:  d.budget,
		Cancel:  d.engines,
		Observe: d.observe,
	}
	d.prober = &Prober{Common: c, Snapshot: snapshot, InFlight: d.upstreamInFlight, Loads: d.engines, Observe: d.control.ObserveProbe}
	d.prober.Sender = &delivery.Sender{
		Common:  c,
		Gate:    &probeGate{Common: c, Snapshot: snapshot},
		Budget:  d.budget,
		Cancel:  d.engines,
		Observe: d.control.ObserveProbe,
	}
	return request.Chain(
		&desk.Identify{Common: c, Snapshot: snapshot},
		&dispatch.Admit{Common: c, Snapshot: snapshot, Admission: d.admission},
		d.claims,
		d.biller,
		delivery.FinalOutcome{},
		d.versionFilter(),
		&dispatch.Balancer{
			Common:   c,
			Snapshot: snapshot,
			InFlight: d.upstreamInFlight,
			Budget:   &dispatch.RetryBudget{Share: c.Settings.Limits.RetryShare},
			Queue:    queue,
			Prefixes: d.prefixes,
			Outliers: d.outliers,
			Started:  d.control.Observe,
		},
		d.sender,
	)
}

// versionFilter builds the filter that chooses a version; without a rating service, answers of new versions are not verified.
func (d *Daemon) versionFilter() *pricing.VersionFilter {
	f := &pricing.VersionFilter{
		Common:        d.Common,
		Snapshot:      d.control.Snapshot,
		Pins:          d.pins,
		Rater:         &RaterBreaker{Clock: d.Common.Clock, Rater: d.ratings},
		Rated:         d.recordRating,
		ReserveMemory: d.openAnswerBuffer,
	}
	if d.Common.Settings.Platform.Ratings != "" {
		v := &Verifier{Common: d.Common, Rater: d.ratings, Rated: d.recordRating}
		f.VerifyAnswer = v.Verify
	}
	return f
}

// openAnswerBuffer opens the memory account of a buffered answer, with no bytes reserved.
func (d *Daemon) openAnswerBuffer() pricing.MemoryReservation {
	allocation, _ := d.budget.Reserve(0)
	return allocation
}

func (d *Daemon) observe(s request.Sample) {
	d.control.Observe(s)
	d.metrics.ObserveAttempt(s)
}

func (d *Daemon) recordRating(r backoffice.Rating) {
	d.control.Send(&ratingReceived{Rating: r})
}
