package standin

import (
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// WeightsFaults are the switches of the weight store.
type WeightsFaults struct {
	Faults
	// FetchesPerSecond bounds the rate of fetches; 0 is no bound.
	FetchesPerSecond float64
	// RetryAfterSeconds is what a refused fetch is told.
	RetryAfterSeconds int
}

// Weights is a stand-in for the weight store.
type Weights struct {
	Switches Switches[WeightsFaults, *WeightsFaults]

	mu      sync.Mutex
	limiter *rate.Limiter
	fetched map[catalogue.VersionID]int
}

// Handler returns the protocol of the weight store, and the control paths /faults and GET /stats, which counts fetches.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.Switches)
	mux.Handle("POST /fetches", s.Switches.Wrap(http.HandlerFunc(s.fetch)))
	mux.HandleFunc("GET /stats", s.stats)
	return mux
}

func (s *Weights) fetch(w http.ResponseWriter, r *http.Request) {
	var in struct{ Version catalogue.VersionID }
	if !readJSON(w, r, &in) {
		return
	}
	f := s.Switches.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := rate.Limit(f.FetchesPerSecond)
	if limit > 0 && (s.limiter == nil || s.limiter.Limit() != limit) {
		s.limiter = rate.NewLimiter(limit, int(limit)+1)
	}
	if limit > 0 && !s.limiter.Allow() {
		w.Header().Set("Retry-After", strconv.Itoa(f.RetryAfterSeconds))
		writeJSON(w, http.StatusTooManyRequests, refusal{})
		return
	}
	if s.fetched == nil {
		s.fetched = map[catalogue.VersionID]int{}
	}
	s.fetched[in.Version]++
	w.WriteHeader(http.StatusAccepted)
}

func (s *Weights) stats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.fetched)
}
