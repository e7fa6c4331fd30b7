package archive

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

// ErrTrimmed means that the requested records are no longer retained.
var ErrTrimmed = errors.New("the records are no longer retained")

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
}

// Topic is a source of items that a Follower reads.
type Topic[T any] interface {
	// Newest returns the newest item of each key.
	Newest(ctx context.Context) (Batch[T], error)
	// Read returns the items from a position on, and waits for the first one for up to wait; it can fail with ErrTrimmed.
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

	next    int64
	failing bool
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
			reload = reload || errors.Is(err, ErrTrimmed)
			f.markFailed(err)
			if !errors.Is(err, ErrTrimmed) {
				_ = clock.Sleep(ctx, f.Clock, retryPause)
			}
			continue
		}
		f.markRecovered()
		reload = false
		f.next = b.Next
		f.Apply(b)
	}
	return ctx.Err()
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
