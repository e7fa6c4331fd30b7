package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// balancerNoticeTime is how long requests are still accepted after the instance reports that it is not ready: the balancer
	// checks readiness once a second and removes an instance after two failures.
	balancerNoticeTime clock.Millis = 3000
	// exitMargin is the part of the grace time reserved for the exit of the process.
	exitMargin clock.Millis = 700
	// cancelledAnswerTimeout is how long callers of cancelled requests may take to read their error.
	cancelledAnswerTimeout clock.Millis = 400
)

// drain reports the instance as not ready, serves until the balancer has noticed, and then shuts the server down. Requests that
// are still in flight near the end of the grace time are cancelled.
func (h *Instance) drain(s *http.Server) error {
	start := h.Clock.Now()
	h.draining.Store(true)
	h.control.Send(drainStarted{})
	h.Log.Info("draining", "inFlight", h.inFlight.Count())
	go h.deregister()
	ctx, cancel := clock.WithTimeout(context.Background(), h.Clock, h.Settings.Bounds.Grace()-exitMargin)
	defer cancel()
	_ = clock.Sleep(ctx, h.Clock, balancerNoticeTime)
	err := s.Shutdown(ctx)
	if err == nil {
		return nil
	}
	h.Log.Info("cancelling requests at the end of the grace time", "inFlight", h.inFlight.Count(), "afterMs", h.Clock.Now()-start)
	h.cancelRequests()
	cancelledCtx, cancelTimeout := clock.WithTimeout(context.Background(), h.Clock, cancelledAnswerTimeout)
	defer cancelTimeout()
	if err := s.Shutdown(cancelledCtx); err != nil {
		h.Log.Info("requests aborted", "inFlight", h.inFlight.Count())
		return errors.Wrap(err, "drain")
	}
	return nil
}
