package fake

import (
	"context"
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const ratingService = "ratings"

// RatingParams are the parameters by which the fake rates answers.
type RatingParams struct {
	// Means has the mean score of each version; other versions have DefaultMean.
	Means       map[catalogue.VersionID]float64
	DefaultMean float64
	// Spread is the maximum deviation of a score from its mean.
	Spread float64
	// Share is the fraction of answers that are rated, from 0 to 1.
	Share float64
	// LagMillis is the delay between an answer and its rating.
	LagMillis clock.Millis
}

// Score returns the score of an answer, from 0 to 1, which depends on its request ID and version only.
func (r *RatingParams) Score(requestID string, v catalogue.VersionID) float64 {
	mean, ok := r.Means[v]
	if !ok {
		mean = r.DefaultMean
	}
	return min(1, max(0, mean+r.Spread*(2*hashFraction("score", requestID, string(v))-1)))
}

// hashFraction hashes texts to a number in [0, 1).
func hashFraction(texts ...string) float64 {
	d := xxhash.New()
	var size [8]byte
	for _, t := range texts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(t)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(t)
	}
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Answer is an answer to a request, which the fake may rate.
type Answer struct {
	RequestID string
	Version   catalogue.VersionID
	Task      string
}

// Ratings is a fake of the service that rates answers; it is safe for concurrent use.
type Ratings struct {
	faultInjector
	Clock clock.Clock

	mu      sync.Mutex
	params  RatingParams
	ratings []delayedRating
}

// delayedRating is a rating that becomes readable once it is due.
type delayedRating struct {
	backoffice.Rating
	due clock.Millis
}

// SetParams replaces the parameters for ratings made from now on.
func (s *Ratings) SetParams(r RatingParams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.params = r
}

// Observe adds an answer, which is rated after RatingParams.LagMillis if it is sampled.
func (s *Ratings) Observe(a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hashFraction("sample", a.RequestID) >= s.params.Share {
		return
	}
	score := s.params.Score(a.RequestID, a.Version)
	s.ratings = append(s.ratings, delayedRating{
		Rating: backoffice.Rating{RequestID: a.RequestID, Version: a.Version, Task: a.Task, Score: score},
		due:    s.Clock.Now() + s.params.LagMillis,
	})
}

// Ratings returns up to limit ratings that are due, starting at position from; its error is *backoffice.UnavailableError.
func (s *Ratings) Ratings(ctx context.Context, from int64, limit int) (backoffice.RatingBatch, error) {
	if err := s.before(ctx, s.Clock, ratingService); err != nil {
		return backoffice.RatingBatch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := backoffice.RatingBatch{Next: max(0, from)}
	for b.Next < int64(len(s.ratings)) && len(b.Ratings) < limit {
		next := s.ratings[b.Next]
		if next.due > s.Clock.Now() {
			break
		}
		b.Ratings = append(b.Ratings, next.Rating)
		b.Next++
	}
	return b, nil
}

// Rate returns the score of one answer at once; its error is *backoffice.UnavailableError.
func (s *Ratings) Rate(ctx context.Context, req backoffice.RateRequest) (float64, error) {
	if err := s.before(ctx, s.Clock, ratingService); err != nil {
		return 0, err
	}
	s.mu.Lock()
	score := s.params.Score(req.RequestID, req.Version)
	s.mu.Unlock()
	if err := s.after(ratingService); err != nil {
		return 0, err
	}
	return score, nil
}
