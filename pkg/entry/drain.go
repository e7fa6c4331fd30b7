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

func (d *Daemon) servers() *httpServers {
	return &httpServers{
		caller: desk.NewServer(&desk.CallerHandler{
			Common:   d.Common,
			Handler:  d.filterChain(),
			Snapshot: d.control.Snapshot,
			Ready:    d.ready,
			InFlight: d.inFlight,
			Budget:   d.budget,
			Metrics:  d.metrics,
		}),
		admin: desk.NewServer(&desk.AdminHandler{Common: d.Common, Key: d.keys.Admin, Operators: &operators{daemon: d}, Bills: d.bills}),
	}
}

// drain reports the instance as not ready, waits for the load balancer to notice, then refuses new requests, finishes those in
// flight, and hands over the state that only this instance has.
func (d *Daemon) drain(s *httpServers) error {
	log := d.Common.Log.WithName("drain")
	log.Info("draining", "inFlight", d.inFlight.Count())
	d.draining.Store(true)
	ctx, cancel := clock.WithTimeout(context.Background(), d.Common.Clock, d.Common.Settings.Times.Drain)
	defer cancel()
	_ = clock.Sleep(ctx, d.Common.Clock, notReadyListPeriods*d.Common.Settings.Times.ListPoll)
	d.control.Send(&drainStarted{})
	err := s.caller.Shutdown(ctx)
	if err != nil {
		log.Info("drain timeout reached with requests still in flight", "inFlight", d.inFlight.Count())
	}
	return errors.CombineErrors(err, d.handOver(s))
}

func (d *Daemon) handOver(s *httpServers) error {
	ctx, cancel := clock.WithTimeout(context.Background(), d.Common.Clock, handoverTimeout)
	defer cancel()
	err := errors.CombineErrors(d.claims.Flush(ctx), d.biller.Handover(ctx))
	err = errors.CombineErrors(err, d.pins.Handover(ctx))
	d.sender.Close()
	d.prober.Close()
	err = errors.CombineErrors(err, s.admin.Shutdown(ctx))
	if err != nil {
		d.Common.Log.WithName("drain").Error(err, "handover incomplete")
	}
	return err
}
