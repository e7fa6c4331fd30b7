package entry

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/desk"
)

const (
	// notReadyPeriods is for how many list periods requests are still answered, by a refusal that sends them to another
	// instance, after this one called itself not ready.
	notReadyPeriods = 3
	// handoverTime bounds the handing over of state after the last request, in milliseconds.
	handoverTime = 30 * clock.Second
)

// listeners are the HTTP servers of an instance.
type listeners struct {
	caller *http.Server
	admin  *http.Server
}

func (h *House) servers() *listeners {
	return &listeners{
		caller: desk.NewServer(&desk.Caller{
			Common:   h.Common,
			Line:     h.line(),
			Snapshot: h.control.Snapshot,
			Ready:    h.ready,
			InFlight: h.inFlight,
			Budget:   h.budget,
			Metrics:  h.metrics,
		}),
		admin: desk.NewServer(&desk.Admin{Common: h.Common, Key: h.keys.Admin, Operators: &operators{house: h}, Bills: h.bills}),
	}
}

// drain calls the instance not ready, refuses new requests as not run until the balancer has seen that, finishes those
// under way, and hands over what only this instance has.
func (h *House) drain(s *listeners) error {
	log := h.Common.Log.WithName("drain")
	log.Info("draining", "inFlight", h.inFlight.Count())
	h.draining.Store(true)
	ctx, cancel := clock.WithTimeout(context.Background(), h.Common.Clock, h.Common.Settings.Times.Drain)
	defer cancel()
	_ = clock.Sleep(ctx, h.Common.Clock, notReadyPeriods*h.Common.Settings.Times.ListPoll)
	h.control.Tell(&drainBegun{})
	err := s.caller.Shutdown(ctx)
	if err != nil {
		log.Info("requests cut at the limit of the drain", "inFlight", h.inFlight.Count())
	}
	return errors.CombineErrors(err, h.handOver(s))
}

func (h *House) handOver(s *listeners) error {
	ctx, cancel := clock.WithTimeout(context.Background(), h.Common.Clock, handoverTime)
	defer cancel()
	err := errors.CombineErrors(h.claims.Flush(ctx), h.biller.Handover(ctx))
	err = errors.CombineErrors(err, h.pins.Handover(ctx))
	h.send.Close()
	h.prober.Close()
	err = errors.CombineErrors(err, s.admin.Shutdown(ctx))
	if err != nil {
		h.Common.Log.WithName("drain").Error(err, "handover incomplete")
	}
	return err
}
