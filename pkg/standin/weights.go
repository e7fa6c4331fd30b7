package standin

import (
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// WeightsFaults are the faults and limits of the weight store.
type WeightsFaults struct {
	Faults
	// FetchesPerSecond limits the rate of fetches; 0 means no limit.
	FetchesPerSecond float64
	// RetryAfterSeconds is the Retry-After header of a fetch over the limit.
	RetryAfterSeconds int
}

// Weights is a stand-in for the weight store; its zero value is ready to use.
type Weights struct {
	Faults FaultInjector[WeightsFaults, *WeightsFaults]

	mu      sync.Mutex
	limiter *rate.Limiter
	fetches map[catalogue.VersionID]int
}

// Handler serves the protocol of the weight store and the control endpoints /faults and GET /stats, which counts fetches by
// version.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.Faults)
	mux.Handle("POST /fetches", s.Faults.Wrap(http.HandlerFunc(s.fetch)))
	mux.HandleFunc("GET /stats", s.stats)
	return mux
}

func (s *Weights) fetch(w http.ResponseWriter, r *http.Request) {
	var in struct{ Version catalogue.VersionID }
	if !readJSON(w, r, &in) {
		return
	}
	f := s.Faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := rate.Limit(f.FetchesPerSecond)
	if limit > 0 && (s.limiter == nil || s.limiter.Limit() != limit) {
		s.limiter = rate.NewLimiter(limit, int(limit)+1)
	}
	if limit > 0 && !s.limiter.Allow() {
		w.Header().Set("Retry-After", strconv.Itoa(f.RetryAfterSeconds))
		writeJSON(w, http.StatusTooManyRequests, errorBody{})
		return
	}
	if s.fetches == nil {
		s.fetches = map[catalogue.VersionID]int{}
	}
	s.fetches[in.Version]++
	w.WriteHeader(http.StatusAccepted)
}

func (s *Weights) stats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.fetches)
}
