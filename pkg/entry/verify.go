package entry

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// verifyLimit bounds the answers that are being rated; further ones are left to the platform's late ratings.
	verifyLimit = 8
	// verifyTime bounds one rating, in milliseconds.
	verifyTime = 5 * clock.Second
)

// Verifier has answers of new versions rated beside the traffic, so that a bad version is found before many had its answers.
type Verifier struct {
	Common settings.Common
	Rater  Ratings
	// Rated is told each verdict.
	Rated func(backoffice.Rating)

	mu   sync.Mutex
	busy int
}

// Verify has the answer rated in the background, unless many are being rated.
func (v *Verifier) Verify(r backoffice.RateRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy >= verifyLimit {
		return
	}
	v.busy++
	go v.rate(r)
}

func (v *Verifier) rate(r backoffice.RateRequest) {
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.busy--
	}()
	ctx, cancel := clock.WithTimeout(context.Background(), v.Common.Clock, verifyTime)
	defer cancel()
	score, err := v.Rater.Rate(ctx, r)
	if err != nil {
		v.Common.Log.WithName("verify").V(1).Info("answer not rated", "request", r.RequestID, "why", err.Error())
		return
	}
	v.Rated(backoffice.Rating{RequestID: r.RequestID, Version: r.Version, Task: r.Task, Score: score})
}
