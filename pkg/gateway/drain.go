package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// noticeTime is how long requests are still served after the instance called itself not ready, in milliseconds: the
	// balancer asks once a second and takes an instance out after two misses.
	noticeTime clock.Millis = 3000
	// endMargin is kept from the grace time for the end of the process, in milliseconds.
	endMargin clock.Millis = 700
	// lastTime is how long the callers of requests that are given up at the end may take to get their answer, in milliseconds.
	lastTime clock.Millis = 400
)

// drain calls the instance not ready, serves until the balancer has noticed, and ends when the last request has.
func (h *House) drain(s *http.Server) error {
	began := h.Clock.Now()
	h.draining.Store(true)
	h.control.Tell(drainBegun{})
	h.Log.Info("draining", "inFlight", h.inFlight.Count())
	go h.leave()
	ctx, cancel := clock.WithTimeout(context.Background(), h.Clock, h.Settings.Bounds.Grace()-endMargin)
	defer cancel()
	_ = clock.Sleep(ctx, h.Clock, noticeTime)
	err := s.Shutdown(ctx)
	if err == nil {
		return nil
	}
	h.Log.Info("requests given up at the end of the grace time", "inFlight", h.inFlight.Count(), "afterMs", h.Clock.Now()-began)
	h.giveUp()
	last, cancelLast := clock.WithTimeout(context.Background(), h.Clock, lastTime)
	defer cancelLast()
	if err := s.Shutdown(last); err != nil {
		h.Log.Info("requests cut", "inFlight", h.inFlight.Count())
		return errors.Wrap(err, "drain")
	}
	return nil
}
