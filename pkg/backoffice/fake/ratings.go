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

// Raters say how answers are rated.
type Raters struct {
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

// Score returns the score of an answer, the same each time.
func (r *Raters) Score(requestID string, v catalogue.VersionID) float64 {
	mean, known := r.Means[v]
	if !known {
		mean = r.DefaultMean
	}
	return min(1, max(0, mean+r.Spread*(2*fraction("score", requestID, string(v))-1)))
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

// Answer is an answer that may be rated.
type Answer struct {
	RequestID string
	Version   catalogue.VersionID
	Task      string
}

// Ratings is a fake of the service that rates answers.
type Ratings struct {
	gate
	Clock clock.Clock

	mu      sync.Mutex
	raters  Raters
	ratings []lateRating
}

type lateRating struct {
	backoffice.Rating
	due clock.Millis
}

// SetRaters replaces the raters.
func (s *Ratings) SetRaters(r Raters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raters = r
}

// Observe takes up an answer that may be rated later.
func (s *Ratings) Observe(a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fraction("sample", a.RequestID) >= s.raters.Share {
		return
	}
	score := s.raters.Score(a.RequestID, a.Version)
	s.ratings = append(s.ratings, lateRating{
		Rating: backoffice.Rating{RequestID: a.RequestID, Version: a.Version, Task: a.Task, Score: score},
		due:    s.Clock.Now() + s.raters.LagMillis,
	})
}

// Ratings returns at most limit ratings from a position on; its error is *backoffice.UnavailableError.
func (s *Ratings) Ratings(ctx context.Context, from int64, limit int) (backoffice.RatingBatch, error) {
	if err := s.enter(ctx, s.Clock, ratingService); err != nil {
		return backoffice.RatingBatch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := backoffice.RatingBatch{Next: max(0, from)}
	for b.Next < int64(len(s.ratings)) && len(b.Ratings) < limit {
		late := s.ratings[b.Next]
		if late.due > s.Clock.Now() {
			break
		}
		b.Ratings = append(b.Ratings, late.Rating)
		b.Next++
	}
	return b, nil
}

// Rate returns the score of one answer; its error is *backoffice.UnavailableError.
func (s *Ratings) Rate(ctx context.Context, in backoffice.RateRequest) (float64, error) {
	if err := s.enter(ctx, s.Clock, ratingService); err != nil {
		return 0, err
	}
	s.mu.Lock()
	score := s.raters.Score(in.RequestID, in.Version)
	s.mu.Unlock()
	if err := s.leave(ratingService); err != nil {
		return 0, err
	}
	return score, nil
}
