package ledger

import (
	"context"
	"sync"

	"github.com/cenkalti/backoff/v5"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// outboxBatchSize bounds the records that are appended concurrently.
	outboxBatchSize = 512
	// outboxTimeout limits the append of one batch.
	outboxTimeout = 10 * clock.Second
)

// RecordAppender appends one record to a stream and returns its offset; *Batcher implements it.
type RecordAppender interface {
	Append(ctx context.Context, record []byte) (int64, error)
}

// Outbox appends records to the log, oldest first, with at-least-once delivery: an append with an unknown outcome is retried, so
// that readers must ignore duplicates; it is safe for concurrent use.
type Outbox struct {
	Common settings.Common
	Log    RecordAppender
	// Limit bounds the pending records.
	Limit int
	// Appended, if set, is called with each record after it was appended.
	Appended func(p *OutboxRecord)

	once    sync.Once
	mu      sync.Mutex
	pending []*OutboxRecord
	wake    chan struct{}
	drained chan struct{}
}

// OutboxRecord is a record that was added to an Outbox.
type OutboxRecord struct {
	data []byte
	// appended is closed when the log has the record, and failed after the first append that failed.
	appended chan struct{}
	failed   chan struct{}
	once     sync.Once
}

func (o *Outbox) init() {
	o.once.Do(func() {
		o.wake = make(chan struct{}, 1)
		o.drained = make(chan struct{})
		close(o.drained)
	})
}

// Add queues a record, or returns nil if Limit records are pending.
func (o *Outbox) Add(record []byte) *OutboxRecord {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= o.Limit {
		return nil
	}
	if len(o.pending) == 0 {
		o.drained = make(chan struct{})
	}
	p := &OutboxRecord{data: record, appended: make(chan struct{}), failed: make(chan struct{})}
	o.pending = append(o.pending, p)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return p
}

// Len returns how many records are not yet in the log.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// Wait blocks until no record is pending, or returns the cause for which ctx ended.
func (o *Outbox) Wait(ctx context.Context) error {
	o.init()
	for {
		o.mu.Lock()
		drained, n := o.drained, len(o.pending)
		o.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-drained:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Run appends pending records until ctx ends, with exponential back-off after failures.
func (o *Outbox) Run(ctx context.Context) error {
	o.init()
	retryBackOff := newBackOff()
	for {
		select {
		case <-o.wake:
		case <-ctx.Done():
			return nil
		}
		if err := o.drain(ctx, retryBackOff); err != nil {
			return nil
		}
	}
}

// drain appends one batch after the other until no record is pending.
func (o *Outbox) drain(ctx context.Context, retryBackOff *backoff.ExponentialBackOff) error {
	for batch := o.nextBatch(); len(batch) > 0; batch = o.nextBatch() {
		if o.appendAll(ctx, batch) == len(batch) {
			retryBackOff.Reset()
			continue
		}
		if err := clock.Sleep(ctx, o.Common.Clock, clock.FromDuration(retryBackOff.NextBackOff())); err != nil {
			return err
		}
	}
	return nil
}

func (o *Outbox) nextBatch() []*OutboxRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]*OutboxRecord(nil), o.pending[:min(len(o.pending), outboxBatchSize)]...)
}

// appendAll appends the records concurrently, so that Log can group them, and returns how many succeeded.
func (o *Outbox) appendAll(ctx context.Context, batch []*OutboxRecord) int {
	ctx, cancel := clock.WithTimeout(ctx, o.Common.Clock, outboxTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(batch))
	for i, p := range batch {
		wg.Go(func() { _, errs[i] = o.Log.Append(ctx, p.data) })
	}
	wg.Wait()
	n := 0
	for i, p := range batch {
		if errs[i] != nil {
			p.once.Do(func() { close(p.failed) })
			continue
		}
		n++
		o.remove(p)
	}
	return n
}

func (o *Outbox) remove(p *OutboxRecord) {
	o.mu.Lock()
	for i, other := range o.pending {
		if other == p {
			o.pending = append(o.pending[:i], o.pending[i+1:]...)
			break
		}
	}
	if len(o.pending) == 0 {
		close(o.drained)
	}
	o.mu.Unlock()
	close(p.appended)
	if o.Appended != nil {
		o.Appended(p)
	}
}
