package entry

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// maxConcurrentRatings bounds the answers that are being rated; any others get only the platform's late ratings.
	maxConcurrentRatings = 8
	ratingTimeout        = 5 * clock.Second
)

// Verifier has answers of new versions rated in the background, so that a bad version is found before it has served many
// requests.
type Verifier struct {
	Common settings.Common
	Rater  Ratings
	// Rated receives each rating.
	Rated func(backoffice.Rating)

	mu         sync.Mutex
	inProgress int
}

// Verify has the answer rated in the background and returns at once; it skips the answer while maxConcurrentRatings are being
// rated.
func (v *Verifier) Verify(r backoffice.RateRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.inProgress >= maxConcurrentRatings {
		return
	}
	v.inProgress++
	go v.rate(r)
}

func (v *Verifier) rate(r backoffice.RateRequest) {
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.inProgress--
	}()
	ctx, cancel := clock.WithTimeout(context.Background(), v.Common.Clock, ratingTimeout)
	defer cancel()
	score, err := v.Rater.Rate(ctx, r)
	if err != nil {
		v.Common.Log.WithName("verify").V(1).Info("failed to rate answer", "request", r.RequestID, "error", err.Error())
		return
	}
	v.Rated(backoffice.Rating{RequestID: r.RequestID, Version: r.Version, Task: r.Task, Score: score})
}
