package entry

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/pricing"
	"carawayknot.example/carawayknot/pkg/request"
)

// queuePerInFlight divides the limit of requests in flight into those that may wait for room.
const queuePerInFlight = 4

// line joins the filters that a request passes, in order.
func (h *House) line() request.Handler {
	c := h.Common
	snapshot := h.control.Snapshot
	queue := &dispatch.Queue{Limit: max(1, c.Settings.Limits.InFlight/queuePerInFlight)}
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
		h.choose(),
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

// choose makes the filter that chooses versions; without a service that rates answers nothing is verified.
func (h *House) choose() *pricing.Choose {
	f := &pricing.Choose{
		Common:   h.Common,
		Snapshot: h.control.Snapshot,
		Pins:     h.pins,
		Rater:    &RaterBreaker{Clock: h.Common.Clock, Rater: h.ratings},
		Rated:    h.rated,
		Open:     h.openRoom,
	}
	if h.Common.Settings.Platform.Ratings != "" {
		v := &Verifier{Common: h.Common, Rater: h.ratings, Rated: h.rated}
		f.Verify = v.Verify
	}
	return f
}

// openRoom opens the room for an answer that is held; it has no bytes that it can count on.
func (h *House) openRoom() pricing.Room {
	hold, _ := h.budget.Open(0)
	return hold
}

func (h *House) observe(s request.Sample) {
	h.control.Observe(s)
	h.metrics.Observe(s)
}

func (h *House) rated(r backoffice.Rating) {
	h.control.Tell(&verdictGiven{Rating: r})
}
