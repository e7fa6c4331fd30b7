package archive

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

// ErrTrimmed says that records that were asked for are no longer kept.
var ErrTrimmed = errors.New("the records are no longer kept")

// ErrRefused marks errors by which the store answered that it doesn't do a call; other calls may still succeed.
var ErrRefused = errors.New("the store refused the call")

// Batch is what one read of a topic gave.
type Batch[T any] struct {
	Items []T
	// Whole is true when the items are all that holds, and false when they follow what was read before.
	Whole bool
	// Next is the position to read on from.
	Next int64
	// SentAt is the monotonic time at which the read was sent; all that was confirmed before it is known with the batch.
	SentAt clock.Millis
}

// Topic is read by a Follower.
type Topic[T any] interface {
	// Newest returns the newest item of each key.
	Newest(ctx context.Context) (Batch[T], error)
	// Read returns the items from a position on, and waits for the first one for up to wait; it fails with ErrTrimmed.
	Read(ctx context.Context, from int64, wait clock.Millis) (Batch[T], error)
}

const (
	// followerCallTime bounds a read beyond the time that it waits: a store in order answers in 4 ms, a slow one in 250 ms, and
	// the list is read with a pause of 700 ms.
	followerCallTime = 1400 * clock.Millis(1)
	// followerPause is the pause after a failed read; half a bound of 5 s leaves room for five tries.
	followerPause = 300 * clock.Millis(1)
	// newestTime bounds reading the newest items of all keys, which takes several calls.
	newestTime = 3 * clock.Second
)

// Follower keeps up with a topic of the platform's log.
type Follower[T any] struct {
	Clock clock.Clock
	Log   logr.Logger
	Topic Topic[T]
	// Name is that of the topic, for logs.
	Name string
	// Wait is how long a read waits for new records.
	Wait clock.Millis
	// Apply takes each batch, also an empty one.
	Apply func(Batch[T])

	next int64
	lost bool
}

// Run follows the topic until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	whole := true
	for ctx.Err() == nil {
		b, err := f.read(ctx, whole)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			whole = whole || errors.Is(err, ErrTrimmed)
			f.fail(err)
			if !errors.Is(err, ErrTrimmed) {
				_ = clock.Sleep(ctx, f.Clock, followerPause)
			}
			continue
		}
		f.regain()
		whole = false
		f.next = b.Next
		f.Apply(b)
	}
	return ctx.Err()
}

func (f *Follower[T]) read(ctx context.Context, whole bool) (Batch[T], error) {
	if whole {
		ctx, cancel := clock.WithTimeout(ctx, f.Clock, newestTime)
		defer cancel()
		return f.Topic.Newest(ctx)
	}
	wait := f.Wait
	if f.lost {
		wait = 0
	}
	ctx, cancel := clock.WithTimeout(ctx, f.Clock, wait+followerCallTime)
	defer cancel()
	return f.Topic.Read(ctx, f.next, wait)
}

func (f *Follower[T]) fail(err error) {
	if !f.lost {
		f.Log.Info("lost the store", "topic", f.Name, "position", f.next, "cause", err.Error())
	}
	f.lost = true
}

func (f *Follower[T]) regain() {
	if f.lost {
		f.Log.Info("regained the store", "topic", f.Name, "position", f.next)
	}
	f.lost = false
}
