package house

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/concierge"
	"carawayknot.example/carawayknot/pkg/courier"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/enquiry"
	"carawayknot.example/carawayknot/pkg/tariff"
)

// queuePerInFlight divides the limit of requests in flight into those that may wait for room.
const queuePerInFlight = 4

// line joins the filters that a request passes, in order.
func (h *House) line() enquiry.Handler {
	c := h.Common
	snapshot := h.control.Snapshot
	queue := &concierge.Queue{Limit: max(1, c.Settings.Limits.InFlight/queuePerInFlight)}
	h.flights = &concierge.Flights{OnRelease: queue.Wake}
	h.send = &courier.Send{
		Common:  c,
		Gate:    &courier.SnapshotGate{Common: c, Snapshot: snapshot},
		Budget:  h.budget,
		Cancel:  h.engines,
		Observe: h.observe,
	}
	h.prober = &Prober{Common: c, Snapshot: snapshot, Flights: h.flights, Loads: h.engines, Observe: h.control.ObserveProbe}
	h.prober.Send = &courier.Send{
		Common:  c,
		Gate:    &probeGate{Common: c, Snapshot: snapshot},
		Budget:  h.budget,
		Cancel:  h.engines,
		Observe: h.control.ObserveProbe,
	}
	return enquiry.Line(
		&desk.Identify{Common: c, Snapshot: snapshot},
		&concierge.Admit{Common: c, Snapshot: snapshot, Admission: h.admission},
		h.claims,
		h.biller,
		courier.Settle{},
		h.choose(),
		&concierge.Place{
			Common:   c,
			Snapshot: snapshot,
			Flights:  h.flights,
			Budget:   &concierge.RetryBudget{Share: c.Settings.Limits.RetryShare},
			Queue:    queue,
			Prefixes: h.prefixes,
			Outliers: h.outliers,
			Started:  h.control.Observe,
		},
		h.send,
	)
}

// choose makes the filter that chooses versions; without a service that rates answers nothing is verified.
func (h *House) choose() *tariff.Choose {
	f := &tariff.Choose{
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
func (h *House) openRoom() tariff.Room {
	hold, _ := h.budget.Open(0)
	return hold
}

func (h *House) observe(s enquiry.Sample) {
	h.control.Observe(s)
	h.metrics.Observe(s)
}

func (h *House) rated(r backoffice.Rating) {
	h.control.Tell(&verdictGiven{Rating: r})
}
