package archive

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

// ErrTrimmed means that the requested records are no longer retained.
var ErrTrimmed = errors.New("the records are no longer retained")

// ErrBacklog means that more records follow than one read returns; the newest record of each key is less to read.
var ErrBacklog = errors.New("more records follow than one read returns")

// MustReload reports whether err of a read asks for the newest record of each key instead.
func MustReload(err error) bool { return errors.Is(err, ErrTrimmed) || errors.Is(err, ErrBacklog) }

// ErrRefused marks errors with which the store rejects a single call; other calls may still succeed.
var ErrRefused = errors.New("the store rejected the call")

// Batch is the result of one read of a topic.
type Batch[T any] struct {
	Items []T
	// Whole is true when the items replace all earlier ones, and false when they follow them.
	Whole bool
	// Next is the position of the next read.
	Next int64
	// AsOf is a monotonic time; writes confirmed before it are in this batch or an earlier one.
	AsOf clock.Millis
	// Era counts how often the store came back from an older copy, after which positions are given out again; it is 0 in the first
	// era and when it is unknown.
	Era int64
}

// IsOtherEra reports whether the batch is known to be of another era than the given one.
func (b *Batch[T]) IsOtherEra(era int64) bool { return b.Era != 0 && b.Era != era }

// Topic is a source of items that a Follower reads.
type Topic[T any] interface {
	// Newest returns the newest item of each key.
	Newest(ctx context.Context) (Batch[T], error)
	// Read returns all items from a position on, and waits for the first one for up to wait; it can fail with ErrTrimmed and ErrBacklog.
	Read(ctx context.Context, from int64, wait clock.Millis) (Batch[T], error)
}

const (
	// readTimeoutMargin is the timeout of a read beyond the time that it may wait for records: a healthy store responds in 4 ms,
	// a slow one in 250 ms, and the list is read with a pause of 700 ms.
	readTimeoutMargin = 1400 * clock.Millis(1)
	// retryPause is the pause after a failed read; half of the staleness bound of 5 s leaves time for five attempts.
	retryPause = 300 * clock.Millis(1)
	// newestTimeout is the timeout for reading the newest items of all keys, which takes several calls.
	newestTimeout = 3 * clock.Second
)

// Follower reads a topic of the platform's store continuously and retries failed reads.
type Follower[T any] struct {
	Clock clock.Clock
	Log   logr.Logger
	Topic Topic[T]
	// Name is the name of the topic in log lines.
	Name string
	// Wait is how long a read may wait for new records, in milliseconds.
	Wait clock.Millis
	// Apply is called with each batch, including empty ones.
	Apply func(Batch[T])

	next int64
	era  int64
	// loaded is true once the topic was read, and reloaded while the last batch was a whole one.
	loaded   bool
	reloaded bool
	failing  bool
}

// Run follows the topic until ctx ends and returns the error of ctx.
func (f *Follower[T]) Run(ctx context.Context) error {
	reload := true
	for ctx.Err() == nil {
		b, err := f.read(ctx, reload)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			reload = reload || MustReload(err)
			f.markFailed(err)
			if !MustReload(err) {
				_ = clock.Sleep(ctx, f.Clock, retryPause)
			}
			continue
		}
		f.markRecovered()
		if !b.Whole && b.IsOtherEra(f.era) {
			// Records below the position may be other ones by now.
			reload = true
			f.pauseAfterOtherEra(ctx, b.Era)
			continue
		}
		reload = false
		f.advance(b)
		f.Apply(b)
	}
	return ctx.Err()
}

// pauseAfterOtherEra logs a lower era, and pauses after one and when the era changes with each read.
func (f *Follower[T]) pauseAfterOtherEra(ctx context.Context, era int64) {
	if era < f.era {
		f.Log.Info("dropped a response of an earlier era of the store", "topic", f.Name, "era", era, "currentEra", f.era, "position", f.next)
	}
	if era < f.era || f.reloaded {
		_ = clock.Sleep(ctx, f.Clock, retryPause)
	}
}

// advance moves the position behind a batch that is to be applied.
func (f *Follower[T]) advance(b Batch[T]) {
	if f.loaded && b.IsOtherEra(f.era) {
		f.Log.Info("the store came back from an older copy, topic read anew", "topic", f.Name, "era", b.Era, "previousEra", f.era,
			"position", b.Next, "previousPosition", f.next)
	}
	if b.Era != 0 {
		f.era = b.Era
	}
	f.next, f.loaded, f.reloaded = b.Next, true, b.Whole
}

func (f *Follower[T]) read(ctx context.Context, reload bool) (Batch[T], error) {
	if reload {
		ctx, cancel := clock.WithTimeout(ctx, f.Clock, newestTimeout)
		defer cancel()
		return f.Topic.Newest(ctx)
	}
	wait := f.Wait
	if f.failing {
		wait = 0
	}
	ctx, cancel := clock.WithTimeout(ctx, f.Clock, wait+readTimeoutMargin)
	defer cancel()
	return f.Topic.Read(ctx, f.next, wait)
}

func (f *Follower[T]) markFailed(err error) {
	if !f.failing {
		f.Log.Info("reading the store failed, retrying", "topic", f.Name, "position", f.next, "error", err.Error())
	}
	f.failing = true
}

func (f *Follower[T]) markRecovered() {
	if f.failing {
		f.Log.Info("reading the store works again", "topic", f.Name, "position", f.next)
	}
	f.failing = false
}
