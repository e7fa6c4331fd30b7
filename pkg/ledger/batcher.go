package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// defaultAppendsPerSecond is the rate limit of one stream, over all instances.
	defaultAppendsPerSecond = 150
	// appendBurst is how many appends an idle instance may send without delay.
	appendBurst          = 2
	defaultMaxQueue      = 4096
	defaultMaxRecords    = 512
	defaultMaxBytes      = 1 << 20
	defaultAppendTimeout = 5 * clock.Second
	initialBackOff       = 100 * time.Millisecond
	maxBackOff           = 5 * time.Second
)

// Appender appends records to a stream of the log and returns the offset of the first one.
type Appender interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
}

// Batcher is a group commit of records to one stream within a rate limit; it is safe for concurrent use.
type Batcher struct {
	Common settings.Common
	Log    Appender
	Stream string
	// AppendsPerSecond limits the appends a second over all instances; 0 means 150.
	AppendsPerSecond float64
	// Instances returns how many instances share the rate limit; nil means one.
	Instances func() int
	// MaxQueue bounds the queued records, and MaxRecords and MaxBytes those of one append; 0 means 4096, 512 and 1 MiB.
	MaxQueue   int
	MaxRecords int
	MaxBytes   int
	// Timeout limits one append, in milliseconds; 0 means 5 s.
	Timeout clock.Millis

	once         sync.Once
	mu           sync.Mutex
	queue        []*pendingRecord
	wake         chan struct{}
	closed       bool
	retryAt      clock.Millis
	retryBackOff *backoff.ExponentialBackOff
	limiter      *rate.Limiter
}

// pendingRecord is a record that is queued or being appended; its fields are guarded by Batcher.mu until done is closed.
type pendingRecord struct {
	data   []byte
	sent   bool
	offset int64
	err    error
	done   chan struct{}
}

func (b *Batcher) init() {
	b.once.Do(func() {
		b.wake = make(chan struct{}, 1)
		b.retryBackOff = newBackOff()
		b.limiter = rate.NewLimiter(b.rateShare(), appendBurst)
	})
}

func newBackOff() *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval = initialBackOff, maxBackOff
	return p
}

// rateShare returns this instance's part of the rate limit.
func (b *Batcher) rateShare() rate.Limit {
	n := 1
	if b.Instances != nil {
		n = max(b.Instances(), 1)
	}
	return rate.Limit(orDefault(b.AppendsPerSecond, defaultAppendsPerSecond) / float64(n))
}

func orDefault[T int | float64 | clock.Millis](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// Append adds the record to the stream and returns its offset; after an error, OutcomeUnknown reports whether the record may be
// there.
func (b *Batcher) Append(ctx context.Context, record []byte) (int64, error) {
	b.init()
	p := &pendingRecord{data: record, done: make(chan struct{})}
	if err := b.enqueue(p); err != nil {
		return 0, err
	}
	select {
	case <-p.done:
		return p.offset, p.err
	case <-ctx.Done():
		return b.abandon(p, context.Cause(ctx))
	}
}

func (b *Batcher) enqueue(p *pendingRecord) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return &ClosedError{Stream: b.Stream}
	}
	if retryAfter := b.retryAt - b.Common.Clock.Now(); retryAfter > 0 {
		return &BackOffError{Stream: b.Stream, RetryAfter: retryAfter}
	}
	if limit := orDefault(b.MaxQueue, defaultMaxQueue); len(b.queue) >= limit {
		return &QueueFullError{Stream: b.Stream, Limit: limit}
	}
	b.queue = append(b.queue, p)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// abandon removes the record from the queue. If its append has been sent, the error says that the outcome is unknown.
func (b *Batcher) abandon(p *pendingRecord, cause error) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-p.done:
		return p.offset, p.err
	default:
	}
	for i, queued := range b.queue {
		if queued == p {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			break
		}
	}
	return 0, &backoffice.UnavailableError{Service: "log", OutcomeUnknown: p.sent, Cause: cause}
}

// Run appends queued records until ctx ends, and then fails those that are left with a *ClosedError.
func (b *Batcher) Run(ctx context.Context) error {
	b.init()
	defer b.close()
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return nil
		}
		for b.hasQueued() {
			if err := b.waitForRate(ctx); err != nil {
				return nil
			}
			b.flush(ctx)
		}
	}
}

func (b *Batcher) hasQueued() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

// waitForRate waits until the rate limit admits one more append.
func (b *Batcher) waitForRate(ctx context.Context) error {
	now := time.UnixMilli(int64(b.Common.Clock.Now()))
	b.limiter.SetLimitAt(now, b.rateShare())
	delay := b.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 {
		return ctx.Err()
	}
	return clock.Sleep(ctx, b.Common.Clock, clock.FromDuration(delay+time.Millisecond))
}

// nextBatch removes the records of the next append from the queue, at least one even if it exceeds MaxBytes.
func (b *Batcher) nextBatch() []*pendingRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && n < orDefault(b.MaxRecords, defaultMaxRecords) {
		size += len(b.queue[n].data)
		if n > 0 && size > orDefault(b.MaxBytes, defaultMaxBytes) {
			break
		}
		n++
	}
	batch := append([]*pendingRecord(nil), b.queue[:n]...)
	b.queue = append(b.queue[:0], b.queue[n:]...)
	for _, p := range batch {
		p.sent = true
	}
	return batch
}

func (b *Batcher) flush(ctx context.Context) {
	batch := b.nextBatch()
	if len(batch) == 0 {
		return
	}
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.data
	}
	ctx, cancel := clock.WithTimeout(ctx, b.Common.Clock, orDefault(b.Timeout, defaultAppendTimeout))
	first, err := b.Log.Append(ctx, b.Stream, records)
	cancel()

	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range batch {
		p.offset, p.err = first+int64(i), err
		close(p.done)
	}
	if err == nil {
		b.retryBackOff.Reset()
		return
	}
	b.backOff(err)
}

// backOff fails the queued records and rejects new ones until the next retry, so that callers learn of the outage at once.
func (b *Batcher) backOff(err error) {
	wait := clock.FromDuration(b.retryBackOff.NextBackOff())
	b.retryAt = b.Common.Clock.Now() + wait
	b.Common.Log.WithName("ledger").Info("append failed", "stream", b.Stream, "outcomeUnknown", OutcomeUnknown(err), "retryAfter", wait, "error", err.Error())
	b.failQueued(&BackOffError{Stream: b.Stream, RetryAfter: wait})
}

func (b *Batcher) failQueued(err error) {
	for _, p := range b.queue {
		p.err = err
		close(p.done)
	}
	b.queue = nil
}

func (b *Batcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.failQueued(&ClosedError{Stream: b.Stream})
}
