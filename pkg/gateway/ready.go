package gateway

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// readyPart is the part of the bound on the use of keys up to which an instance without the store calls itself ready.
const readyPart = 0.6

// ready returns why this instance should get no requests, or nil.
func (h *House) ready() error {
	s := h.control.Snapshot()
	switch {
	case h.draining.Load():
		return errors.New("draining")
	case s.Routes == nil:
		return errors.New("no configuration yet")
	case len(s.Upstreams) == 0 && h.control.listedAt.Load() == 0:
		return errors.New("no list yet")
	}
	age := h.control.Age(h.Clock.Now())
	if limit := clock.Millis(readyPart * float64(h.Settings.Bounds.Revocation)); age > limit {
		return &catalogue.StaleError{Age: age, Horizon: limit}
	}
	return nil
}

func (h *House) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := h.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
