package gateway

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// readyFraction is the fraction of the time for which a revoked key may be used, after which an instance that cannot read the store
// reports that it is not ready.
const readyFraction = 0.6

// ready returns the reason why this instance should get no requests, or nil.
func (in *Instance) ready() error {
	s := in.control.Snapshot()
	switch {
	case in.draining.Load():
		return errors.New("draining")
	case s.Routes == nil:
		return errors.New("no configuration yet")
	case len(s.Upstreams) == 0 && in.control.listReadAt.Load() == 0:
		return errors.New("no list yet")
	}
	age := in.control.Age(in.Clock.Now())
	if limit := in.maxReadyAge(); age > limit {
		return &catalogue.StaleError{Age: age, Horizon: limit}
	}
	return nil
}

// maxReadyAge returns the age of the view from which on this instance is not ready.
func (in *Instance) maxReadyAge() clock.Millis {
	return clock.Millis(readyFraction * float64(in.Settings.Bounds.Revocation))
}

func (in *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := in.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
