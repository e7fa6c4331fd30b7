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

// filterChain builds the chain of filters that each request passes, in order, and the prober, which sends around it.
func (h *Daemon) filterChain() request.Handler {
	c := h.Common
	snapshot := h.control.Snapshot
	queue := &dispatch.Queue{Limit: max(1, c.Settings.Limits.InFlight/inFlightPerQueueSlot)}
	h.flights = &dispatch.InFlightLimiter{OnRelease: queue.Wake}
	h.send = &delivery.Sender{
		Common:  c,
		Gate:    &delivery.SnapshotGate{Common: c, Snapshot: snapshot},
		Budget:  h.budget,
		Cancel:  h.engines,
		Observe: h.observe,
	}
	h.prober = &Prober{Common: c, Snapshot: snapshot, Flights: h.flights, Loads: h.engines, Observe: h.control.ObserveProbe}
	h.prober.Send = &delivery.Sender{
		Common:  c,
		Gate:    &probeGate{Common: c, Snapshot: snapshot},
		Budget:  h.budget,
		Cancel:  h.engines,
		Observe: h.control.ObserveProbe,
	}
	return request.Chain(
		&desk.Identify{Common: c, Snapshot: snapshot},
		&dispatch.Admit{Common: c, Snapshot: snapshot, Admission: h.admission},
		h.claims,
		h.biller,
		delivery.FinalOutcome{},
		h.versionFilter(),
		&dispatch.Balancer{
			Common:   c,
			Snapshot: snapshot,
			InFlight: h.flights,
			Budget:   &dispatch.RetryBudget{Share: c.Settings.Limits.RetryShare},
			Queue:    queue,
			Prefixes: h.prefixes,
			Outliers: h.outliers,
			Started:  h.control.Observe,
		},
		h.send,
	)
}

// versionFilter builds the filter that chooses a version; without a rating service, answers of new versions are not verified.
func (h *Daemon) versionFilter() *pricing.VersionFilter {
	f := &pricing.VersionFilter{
		Common:        h.Common,
		Snapshot:      h.control.Snapshot,
		Pins:          h.pins,
		Rater:         &RaterBreaker{Clock: h.Common.Clock, Rater: h.ratings},
		Rated:         h.recordRating,
		ReserveMemory: h.openAnswerBuffer,
	}
	if h.Common.Settings.Platform.Ratings != "" {
		v := &Verifier{Common: h.Common, Rater: h.ratings, Rated: h.recordRating}
		f.VerifyAnswer = v.Verify
	}
	return f
}

// openAnswerBuffer opens the memory account of a buffered answer, with no bytes reserved.
func (h *Daemon) openAnswerBuffer() pricing.MemoryReservation {
	hold, _ := h.budget.Reserve(0)
	return hold
}

func (h *Daemon) observe(s request.Sample) {
	h.control.Observe(s)
	h.metrics.ObserveAttempt(s)
}

func (h *Daemon) recordRating(r backoffice.Rating) {
	h.control.Send(&ratingReceived{Rating: r})
}
