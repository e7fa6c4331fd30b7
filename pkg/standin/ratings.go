package standin

import (
	"net/http"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
)

const (
	// defaultScore is the mean score where none is set.
	defaultScore = 0.8
	// defaultShare is the part of the answers that are rated where none is set.
	defaultShare = 1
)

// RatingsFaults are the properties and switches of the ratings service.
type RatingsFaults struct {
	Faults
	fake.RatingParams
}

// Ratings serves a fake of the service that rates answers by HTTP.
type Ratings struct {
	Switches Switches[RatingsFaults, *RatingsFaults]

	store fake.Ratings
}

// NewRatings returns a service that rates all answers alike.
func NewRatings() *Ratings {
	s := &Ratings{store: fake.Ratings{Clock: realClock}}
	s.Switches.OnChange = func(f RatingsFaults) { s.store.SetParams(f.RatingParams) }
	s.Switches.Update(func(f *RatingsFaults) { f.DefaultMean, f.Share = defaultScore, defaultShare })
	return s
}

// Handler returns the protocol of the ratings service, and the control paths /faults and POST /answers.
func (s *Ratings) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.Switches)
	mux.Handle("GET /ratings", s.Switches.Wrap(http.HandlerFunc(s.list)))
	mux.Handle("POST /rate", s.Switches.Wrap(http.HandlerFunc(s.rate)))
	mux.HandleFunc("POST /answers", s.answer)
	return mux
}

// Observe takes up an answer that may be rated later.
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
	limit := int(max(1, number(r, "max", defaultMax)))
	b, err := s.store.Ratings(r.Context(), number(r, "from", 0), limit)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
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
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, backoffice.RateReply{Score: score})
}
