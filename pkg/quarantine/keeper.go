package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// recordKey is the key of the only record of the topic.
	recordKey = "suspects"
	// callTimeout limits one call of the store, in milliseconds.
	callTimeout clock.Millis = 1500
	// minRetryPause and maxRetryPause bound the pause after a failed call, in milliseconds.
	minRetryPause = 1 * clock.Second
	maxRetryPause = 16 * clock.Second
	// writePause is the least time between two writes of an instance; memberPause extends it for each instance, so that the writes of all
	// stay far below what the store takes. Both are in milliseconds.
	writePause                = 1 * clock.Second
	memberPause  clock.Millis = 20
	maxConflicts              = 3
	// recordTTL is how long a record counts since it was written, in milliseconds.
	recordTTL = 72 * 3600 * clock.Second
)

// Suspects are the quarantined subjects that an instance knows.
type Suspects interface {
	// Kept returns the evidence that has to outlive all instances, as keys.
	Kept() []string
	// Hear merges the evidence of others, and returns what this instance knows better.
	Hear(keys []string) (newer []string)
}

// Store reads topics and appends to them.
type Store interface {
	Newest(ctx context.Context, topic archive.TopicName) (archive.Batch[archive.Record], error)
	PutIf(ctx context.Context, topic archive.TopicName, key string, value []byte, at int64) (end int64, err error)
}

// Record is the value of the record in the store.
type Record struct {
	// Items has the evidence on what is quarantined, as keys, sorted.
	Items []string
	// WrittenAt is the time of the write, in Unix milliseconds.
	WrittenAt int64
}

// Keeper reads the record at the start, and writes it when what this instance has met itself changes it. Its exported fields must be set
// before Run.
type Keeper struct {
	Clock    clock.Clock
	Log      logr.Logger
	Store    Store
	Suspects Suspects
	// Members returns the number of instances.
	Members func() int

	once sync.Once
	wake chan struct{}
	// stored has the items of the record, and end the offset at the end of the topic.
	stored []string
	end    int64
}

// Wake makes Run write what has changed; it does not block.
func (k *Keeper) Wake() {
	k.init()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) init() { k.once.Do(func() { k.wake = make(chan struct{}, 1) }) }

// Run reads the record and then keeps it until ctx ends, and returns the error of ctx.
func (k *Keeper) Run(ctx context.Context) error {
	k.init()
	if err := k.retry(ctx, k.load); err != nil {
		return err
	}
	for {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if slices.Equal(k.kept(), k.stored) {
			continue
		}
		if err := k.retry(ctx, k.save); err != nil {
			return err
		}
		if err := clock.Sleep(ctx, k.Clock, writePause+memberPause*clock.Millis(k.Members())); err != nil {
			return err
		}
	}
}

// retry calls f until it succeeds, and returns the error of ctx if that ends before.
func (k *Keeper) retry(ctx context.Context, f func(ctx context.Context) error) error {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		err := k.call(ctx, f)
		if err == nil {
			return nil
		}
		k.Log.Info("the record of what is quarantined can't be read or written, retrying", "error", err.Error())
		if err := clock.Sleep(ctx, k.Clock, pause); err != nil {
			return err
		}
	}
}

func (k *Keeper) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := clock.WithTimeout(ctx, k.Clock, callTimeout)
	defer cancel()
	return f(ctx)
}

// load reads the record and merges it into what this instance knows.
func (k *Keeper) load(ctx context.Context) error {
	b, err := k.Store.Newest(ctx, archive.TopicQuarantine)
	if err != nil {
		return err
	}
	k.stored, k.end = nil, b.Next
	for _, r := range b.Items {
		var rec Record
		if r.Key != recordKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			k.Log.Info("the record of what is quarantined can't be decoded", "error", err.Error())
			continue
		}
		k.stored = rec.Items
		if int64(k.Clock.Wall())-rec.WrittenAt < int64(recordTTL) {
			k.Suspects.Hear(rec.Items)
		}
	}
	if len(k.stored) > 0 {
		k.Log.Info("read what is quarantined", "subjects", len(k.stored))
	}
	return nil
}

// save writes the record; one that another instance has written meanwhile is merged first.
func (k *Keeper) save(ctx context.Context) (err error) {
	for range maxConflicts {
		items := k.kept()
		if slices.Equal(items, k.stored) {
			return nil
		}
		var value []byte
		if len(items) > 0 {
			if value, err = json.Marshal(Record{Items: items, WrittenAt: int64(k.Clock.Wall())}); err != nil {
				return err
			}
		}
		var end int64
		if end, err = k.Store.PutIf(ctx, archive.TopicQuarantine, recordKey, value, k.end); err == nil {
			k.stored, k.end = items, end
			k.Log.Info("wrote what is quarantined", "subjects", len(items))
			return nil
		}
		var condition *archive.ConditionError
		if !errors.As(err, &condition) {
			return err
		}
		if err := k.load(ctx); err != nil {
			return err
		}
	}
	return err
}

func (k *Keeper) kept() []string {
	items := k.Suspects.Kept()
	slices.Sort(items)
	return items
}
