package entry

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/desk"
)

const (
	// notReadyListPeriods is the number of list poll periods between reporting not ready and refusing new requests, so
	// that the load balancer has noticed by then.
	notReadyListPeriods = 3
	// handoverTimeout bounds the handover of state after the last request, in milliseconds.
	handoverTimeout = 30 * clock.Second
)

// httpServers are the HTTP servers of an instance.
type httpServers struct {
	caller *http.Server
	admin  *http.Server
}

func (h *Daemon) servers() *httpServers {
	return &httpServers{
		caller: desk.NewServer(&desk.CallerHandler{
			Common:   h.Common,
			Handler:  h.filterChain(),
			Snapshot: h.control.Snapshot,
			Ready:    h.ready,
			InFlight: h.inFlight,
			Budget:   h.budget,
			Metrics:  h.metrics,
		}),
		admin: desk.NewServer(&desk.AdminHandler{Common: h.Common, Key: h.keys.Admin, Operators: &operators{daemon: h}, Bills: h.bills}),
	}
}

// drain reports the instance as not ready, waits for the load balancer to notice, then refuses new requests, finishes those in
// flight, and hands over the state that only this instance has.
func (h *Daemon) drain(s *httpServers) error {
	log := h.Common.Log.WithName("drain")
	log.Info("draining", "inFlight", h.inFlight.Count())
	h.draining.Store(true)
	ctx, cancel := clock.WithTimeout(context.Background(), h.Common.Clock, h.Common.Settings.Times.Drain)
	defer cancel()
	_ = clock.Sleep(ctx, h.Common.Clock, notReadyListPeriods*h.Common.Settings.Times.ListPoll)
	h.control.Send(&drainStarted{})
	err := s.caller.Shutdown(ctx)
	if err != nil {
		log.Info("drain timeout reached with requests still in flight", "inFlight", h.inFlight.Count())
	}
	return errors.CombineErrors(err, h.handOver(s))
}

func (h *Daemon) handOver(s *httpServers) error {
	ctx, cancel := clock.WithTimeout(context.Background(), h.Common.Clock, handoverTimeout)
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
