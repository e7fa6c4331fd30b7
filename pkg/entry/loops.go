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
	// maxRecordsPerRead bounds the records of one read of a log stream.
	maxRecordsPerRead = 256
	maxRatingsPerRead = 500
	// callTimeout bounds one call to the platform, in milliseconds; a long poll may take LogWait more.
	callTimeout = 2 * clock.Second
	// tickPeriod is how often the control thread gets a tick, in milliseconds.
	tickPeriod clock.Millis = 500
	// minRetryDelay and maxRetryDelay bound the exponential back-off after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// Log appends to and reads from the streams of the log service; a read waits up to wait milliseconds for a new record.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error)
}

// List reads the platform's list of entry instances and upstreams.
type List interface {
	Instances(ctx context.Context) (backoffice.Listing, error)
}

// Ratings is the rating service: it rates one answer at once, or returns the late ratings from a position on.
type Ratings interface {
	Ratings(ctx context.Context, from int64, limit int) (backoffice.RatingBatch, error)
	Rate(ctx context.Context, r backoffice.RateRequest) (float64, error)
}

// runPeriodically calls f once per period until ctx ends, with exponential back-off after failures.
func (d *Daemon) runPeriodically(ctx context.Context, name string, period clock.Millis, f func(ctx context.Context) error) error {
	backOff := newBackOff()
	log := d.Common.Log.WithName(name)
	for {
		callCtx, cancel := clock.WithTimeout(ctx, d.Common.Clock, callTimeout+d.Common.Settings.Times.LogWait)
		err := f(callCtx)
		cancel()
		delay := period
		if err != nil && ctx.Err() == nil {
			log.V(1).Info("call failed; retrying with back-off", "error", err.Error())
			delay = max(period, clock.FromDuration(backOff.NextBackOff()))
		} else {
			backOff.Reset()
		}
		if err := clock.Sleep(ctx, d.Common.Clock, delay); err != nil {
			return err
		}
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return b
}

// readConfig reads the configuration stream once and applies the records that arrived.
func (d *Daemon) readConfig(ctx context.Context) error {
	c := d.control
	var from int64
	if err := c.Do(ctx, func() { from = c.Replica.Next() }); err != nil {
		return err
	}
	sentAt := d.Common.Clock.Now()
	b, err := d.log.Read(ctx, catalogue.StreamName, from, maxRecordsPerRead, d.Common.Settings.Times.LogWait)
	var trimmed *backoffice.TrimmedError
	var pastEnd *backoffice.PastEndError
	switch {
	case errors.As(err, &trimmed):
		return c.Do(ctx, func() { c.Replica.HandleTrimmed(trimmed); c.refreshViewTime() })
	case errors.As(err, &pastEnd):
		return errors.CombineErrors(err, c.Do(ctx, func() { c.Replica.HandlePastEnd(sentAt, pastEnd); c.refreshViewTime() }))
	case err != nil:
		return err
	}
	return d.applyConfig(ctx, sentAt, b)
}

// applyConfig applies the records read, and appends a checkpoint to the configuration stream when one is due.
func (d *Daemon) applyConfig(ctx context.Context, sentAt clock.Millis, b backoffice.Batch) error {
	c := d.control
	var batchErr error
	var record []byte
	var due bool
	err := c.Do(ctx, func() {
		if batchErr = c.Replica.HandleBatch(sentAt, b); batchErr == nil {
			record, due = c.Replica.Checkpoint()
		}
		c.refreshViewTime()
	})
	if err == nil {
		err = batchErr
	}
	var replaced *archive.ReplacedError
	if errors.As(err, &replaced) {
		d.Common.Log.WithName("archive").Info("log lost records that were applied; keeping the configuration and refusing changes",
			"revision", replaced.Revision, "end", replaced.End)
	}
	if err != nil || !due {
		return err
	}
	_, err = d.log.Append(ctx, catalogue.StreamName, [][]byte{record})
	return err
}

func (d *Daemon) readList(ctx context.Context) error {
	sentAt := d.Common.Clock.Now()
	l, err := d.list.Instances(ctx)
	if err != nil {
		return err
	}
	d.control.Send(&listRead{SentAt: sentAt, Listing: l})
	return nil
}

func (d *Daemon) readRatings(ctx context.Context) error {
	b, err := d.ratings.Ratings(ctx, d.nextRating, maxRatingsPerRead)
	if err != nil {
		return err
	}
	d.nextRating = b.Next
	d.control.Send(&ratingsRead{Ratings: b.Ratings})
	return nil
}
