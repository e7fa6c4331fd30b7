package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// readLimit bounds the records of one read of the configuration.
	readLimit = 256
	// ratingLimit bounds the ratings of one read.
	ratingLimit = 500
	// callTime bounds one call to the platform, in milliseconds; a long poll may wait on top of it.
	callTime = 2 * clock.Second
	// tickPeriod is how often control state ages, in milliseconds.
	tickPeriod clock.Millis = 500
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 100 * time.Millisecond
	retryMost  = 3 * time.Second
)

// Log is the log service as the daemon needs it.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error)
}

// List is the list of instances as the daemon needs it.
type List interface {
	Instances(ctx context.Context) (backoffice.Listing, error)
}

// Ratings is the service that rates answers as the daemon needs it.
type Ratings interface {
	Ratings(ctx context.Context, from int64, limit int) (backoffice.RatingBatch, error)
	Rate(ctx context.Context, r backoffice.RateRequest) (float64, error)
}

// every calls f in each period until ctx ends, with a growing pause after failures.
func (h *House) every(ctx context.Context, name string, period clock.Millis, f func(ctx context.Context) error) error {
	pause := newBackOff()
	log := h.Common.Log.WithName(name)
	for {
		callCtx, cancel := clock.WithTimeout(ctx, h.Common.Clock, callTime+h.Common.Settings.Times.LogWait)
		err := f(callCtx)
		cancel()
		wait := period
		if err != nil && ctx.Err() == nil {
			log.V(1).Info("call failed", "why", err.Error())
			wait = max(period, clock.FromDuration(pause.NextBackOff()))
		} else {
			pause.Reset()
		}
		if err := clock.Sleep(ctx, h.Common.Clock, wait); err != nil {
			return err
		}
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryLeast, retryMost
	return b
}

// readConfig reads the configuration stream once and folds what came.
func (h *House) readConfig(ctx context.Context) error {
	c := h.control
	var from int64
	if err := c.Do(ctx, func() { from = c.Journal.Next() }); err != nil {
		return err
	}
	sentAt := h.Common.Clock.Now()
	b, err := h.log.Read(ctx, catalogue.StreamName, from, readLimit, h.Common.Settings.Times.LogWait)
	var trimmed *backoffice.TrimmedError
	var ahead *backoffice.AheadError
	switch {
	case errors.As(err, &trimmed):
		return c.Do(ctx, func() { c.Journal.TakeTrimmed(trimmed); c.renew() })
	case errors.As(err, &ahead):
		return errors.CombineErrors(err, c.Do(ctx, func() { c.Journal.TakeAhead(sentAt, ahead); c.renew() }))
	case err != nil:
		return err
	}
	return h.foldConfig(ctx, sentAt, b)
}

func (h *House) foldConfig(ctx context.Context, sentAt clock.Millis, b backoffice.Batch) error {
	c := h.control
	var took error
	var record []byte
	var due bool
	err := c.Do(ctx, func() {
		if took = c.Journal.Take(sentAt, b); took == nil {
			record, due = c.Journal.Checkpoint()
		}
		c.renew()
	})
	if err == nil {
		err = took
	}
	var replaced *archive.ReplacedError
	if errors.As(err, &replaced) {
		h.Common.Log.WithName("archive").Info("the log lost records that are in force", "revision", replaced.Revision, "end", replaced.End)
	}
	if err != nil || !due {
		return err
	}
	_, err = h.log.Append(ctx, catalogue.StreamName, [][]byte{record})
	return err
}

func (h *House) readList(ctx context.Context) error {
	sentAt := h.Common.Clock.Now()
	l, err := h.list.Instances(ctx)
	if err != nil {
		return err
	}
	h.control.Tell(&listRead{SentAt: sentAt, Listing: l})
	return nil
}

func (h *House) readRatings(ctx context.Context) error {
	b, err := h.ratings.Ratings(ctx, h.ratedTo, ratingLimit)
	if err != nil {
		return err
	}
	h.ratedTo = b.Next
	h.control.Tell(&ratingsRead{Ratings: b.Ratings})
	return nil
}
