package standin

import (
	"encoding/binary"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/platform"
)

// RatingsFaults are the switches of the ratings service.
type RatingsFaults struct {
	Faults
	// Means holds the mean score of each version; a version that is not named has DefaultMean.
	Means       map[catalogue.VersionID]float64
	DefaultMean float64
	// Spread is the greatest distance of a score from its mean.
	Spread float64
	// Share is the part of the answers that are rated, from 0 to 1.
	Share float64
	// LagMillis is how late ratings come.
	LagMillis clock.Millis
}

// Ratings is a stand-in for the service that rates answers.
type Ratings struct {
	Switches Switches[RatingsFaults, *RatingsFaults]

	mu      sync.Mutex
	ratings []lateRating
}

type lateRating struct {
	platform.Rating
	due clock.Millis
}

// Answer tells the stand-in of an answer that it may rate.
type Answer struct {
	RequestID string
	Version   catalogue.VersionID
	Task      string
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

// score returns the same score for the same answer each time.
func (s *Ratings) score(requestID string, v catalogue.VersionID) float64 {
	f := s.Switches.Get()
	mean, known := f.Means[v]
	if !known {
		mean = f.DefaultMean
	}
	return min(1, max(0, mean+f.Spread*(2*fraction("score", requestID, string(v))-1)))
}

// fraction maps texts to a number from 0 to 1.
func fraction(texts ...string) float64 {
	d := xxhash.New()
	var size [8]byte
	for _, t := range texts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(t)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(t)
	}
	return float64(d.Sum64()>>11) / (1 << 53)
}

func (s *Ratings) answer(w http.ResponseWriter, r *http.Request) {
	var a Answer
	if !readJSON(w, r, &a) {
		return
	}
	s.Observe(a)
	w.WriteHeader(http.StatusNoContent)
}

// Observe takes up an answer that may be rated later.
func (s *Ratings) Observe(a Answer) {
	f := s.Switches.Get()
	if fraction("sample", a.RequestID) >= f.Share {
		return
	}
	rating := platform.Rating{RequestID: a.RequestID, Version: a.Version, Task: a.Task, Score: s.score(a.RequestID, a.Version)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratings = append(s.ratings, lateRating{rating, realClock.Now() + f.LagMillis})
}

func (s *Ratings) list(w http.ResponseWriter, r *http.Request) {
	from := max(0, number(r, "from", 0))
	limit := max(1, number(r, "max", defaultMax))
	s.mu.Lock()
	defer s.mu.Unlock()
	b := platform.RatingBatch{Next: from}
	for b.Next < int64(len(s.ratings)) && int64(len(b.Ratings)) < limit {
		late := s.ratings[b.Next]
		if late.due > realClock.Now() {
			break
		}
		b.Ratings = append(b.Ratings, late.Rating)
		b.Next++
	}
	writeJSON(w, http.StatusOK, b)
}

func (s *Ratings) rate(w http.ResponseWriter, r *http.Request) {
	var in platform.RateRequest
	if !readJSON(w, r, &in) {
		return
	}
	writeJSON(w, http.StatusOK, platform.RateReply{Score: s.score(in.RequestID, in.Version)})
}
