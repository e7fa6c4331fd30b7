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
func (h *House) filterChain() request.Handler {
	c := h.Common
	snapshot := h.control.Snapshot
	queue := &dispatch.Queue{Limit: max(1, c.Settings.Limits.InFlight/inFlightPerQueueSlot)}
	h.flights = &dispatch.Flights{OnRelease: queue.Wake}
	h.send = &delivery.Send{
		Common:  c,
		Gate:    &delivery.SnapshotGate{Common: c, Snapshot: snapshot},
		Budget:  h.budget,
		Cancel:  h.engines,
		Observe: h.observe,
	}
	h.prober = &Prober{Common: c, Snapshot: snapshot, Flights: h.flights, Loads: h.engines, Observe: h.control.ObserveProbe}
	h.prober.Send = &delivery.Send{
		Common:  c,
		Gate:    &probeGate{Common: c, Snapshot: snapshot},
		Budget:  h.budget,
		Cancel:  h.engines,
		Observe: h.control.ObserveProbe,
	}
	return request.Line(
		&desk.Identify{Common: c, Snapshot: snapshot},
		&dispatch.Admit{Common: c, Snapshot: snapshot, Admission: h.admission},
		h.claims,
		h.biller,
		delivery.Settle{},
		h.versionFilter(),
		&dispatch.Place{
			Common:   c,
			Snapshot: snapshot,
			Flights:  h.flights,
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
func (h *House) versionFilter() *pricing.Choose {
	f := &pricing.Choose{
		Common:   h.Common,
		Snapshot: h.control.Snapshot,
		Pins:     h.pins,
		Rater:    &RaterBreaker{Clock: h.Common.Clock, Rater: h.ratings},
		Rated:    h.recordRating,
		Open:     h.openAnswerBuffer,
	}
	if h.Common.Settings.Platform.Ratings != "" {
		v := &Verifier{Common: h.Common, Rater: h.ratings, Rated: h.recordRating}
		f.Verify = v.Verify
	}
	return f
}

// openAnswerBuffer opens the memory account of a buffered answer, with no bytes reserved.
func (h *House) openAnswerBuffer() pricing.Room {
	hold, _ := h.budget.Open(0)
	return hold
}

func (h *House) observe(s request.Sample) {
	h.control.Observe(s)
	h.metrics.Observe(s)
}

func (h *House) recordRating(r backoffice.Rating) {
	h.control.Send(&ratingReceived{Rating: r})
}
