package standin

import (
	"net/http"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
)

const (
	// defaultScore is the default mean score of a version.
	defaultScore = 0.8
	// defaultShare is the default fraction of answers that are rated.
	defaultShare = 1
)

// RatingsFaults are the rating parameters and the faults of the ratings service.
type RatingsFaults struct {
	Faults
	fake.RatingParams
}

// Ratings serves a fake of the ratings service over HTTP.
type Ratings struct {
	Faults FaultInjector[RatingsFaults, *RatingsFaults]

	store fake.Ratings
}

// NewRatings returns a ratings service that rates every answer with the same score.
func NewRatings() *Ratings {
	s := &Ratings{store: fake.Ratings{Clock: realClock}}
	s.Faults.OnChange = func(f RatingsFaults) { s.store.SetParams(f.RatingParams) }
	s.Faults.Update(func(f *RatingsFaults) { f.DefaultMean, f.Share = defaultScore, defaultShare })
	return s
}

// Handler serves the protocol of the ratings service and the control endpoints /faults and POST /answers.
func (s *Ratings) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.Faults)
	mux.Handle("GET /ratings", s.Faults.Wrap(http.HandlerFunc(s.list)))
	mux.Handle("POST /rate", s.Faults.Wrap(http.HandlerFunc(s.rate)))
	mux.HandleFunc("POST /answers", s.answer)
	return mux
}

// Observe adds an answer, which is rated after LagMillis if it is sampled.
func (s *Ratings) Observe(a fake.Answer) { s.store.Observe(a) }

func (s *Ratings) answer(w http.ResponseWriter, r *http.Request) {
	var a fake.Answer
	if !readJSON(w, r, &a) {
		return
	}
	s.Observe(a)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Ratings) list(w http.ResponseWriter, r *http.Request) {
	limit := int(max(1, queryInt(r, "max", defaultPageSize)))
	b, err := s.store.Ratings(r.Context(), queryInt(r, "from", 0), limit)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, b)
}

func (s *Ratings) rate(w http.ResponseWriter, r *http.Request) {
	var in backoffice.RateRequest
	if !readJSON(w, r, &in) {
		return
	}
	score, err := s.store.Rate(r.Context(), in)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, backoffice.RateReply{Score: score})
}
