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
	// defaultBudget is the appends a second that one stream may use over all instances.
	defaultBudget = 150
	// appendBurst is how many appends an idle instance may send without a wait.
	appendBurst       = 2
	defaultMaxQueue   = 4096
	defaultMaxRecords = 512
	// defaultMaxBytes bounds the records of one append, in bytes.
	defaultMaxBytes      = 1 << 20
	defaultAppendTimeout = 5 * clock.Second
	firstBackOff         = 100 * time.Millisecond
	longestBackOff       = 5 * time.Second
)

// Appender is the log service as a Batcher needs it.
type Appender interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
}

// Batcher joins the records of many callers into few appends to one stream; it is safe for concurrent use.
type Batcher struct {
	Common settings.Common
	Log    Appender
	Stream string
	// Budget bounds the appends a second over all instances; 0 means 150.
	Budget float64
	// Instances returns how many instances share the budget; nil means one.
	Instances func() int
	// MaxQueue bounds the records that wait, MaxRecords and MaxBytes those of one append; 0 means a default.
	MaxQueue   int
	MaxRecords int
	MaxBytes   int
	// Timeout bounds one append, in milliseconds; 0 means 5 s.
	Timeout clock.Millis

	once    sync.Once
	mu      sync.Mutex
	queue   []*pendingRecord
	wake    chan struct{}
	closed  bool
	retryAt clock.Millis
	pause   *backoff.ExponentialBackOff
	limiter *rate.Limiter
}

// pendingRecord is a record on its way into the log; its fields are guarded by Batcher.mu until done is closed.
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
		b.pause = newBackOff()
		b.limiter = rate.NewLimiter(b.share(), appendBurst)
	})
}

func newBackOff() *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval = firstBackOff, longestBackOff
	return p
}

// share is this instance's part of the budget.
func (b *Batcher) share() rate.Limit {
	n := 1
	if b.Instances != nil {
		n = max(b.Instances(), 1)
	}
	return rate.Limit(orDefault(b.Budget, defaultBudget) / float64(n))
}

func orDefault[T int | float64 | clock.Millis](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// Append adds the record to the stream and returns its offset; Unknown tells of an error whether the record may be there.
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
		return b.giveUp(p, context.Cause(ctx))
	}
}

func (b *Batcher) enqueue(p *pendingRecord) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return &ClosedError{Stream: b.Stream}
	}
	if left := b.retryAt - b.Common.Clock.Now(); left > 0 {
		return &DownError{Stream: b.Stream, RetryAfter: left}
	}
	if limit := orDefault(b.MaxQueue, defaultMaxQueue); len(b.queue) >= limit {
		return &FullError{Stream: b.Stream, Limit: limit}
	}
	b.queue = append(b.queue, p)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// giveUp takes a record back that was not sent yet; one that was sent may be in the log.
func (b *Batcher) giveUp(p *pendingRecord, cause error) (int64, error) {
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
	return 0, &backoffice.UnavailableError{Service: "log", Unknown: p.sent, Cause: cause}
}

// Run appends what callers hand in until ctx ends.
func (b *Batcher) Run(ctx context.Context) error {
	b.init()
	defer b.close()
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return nil
		}
		for b.waiting() {
			if err := b.waitTurn(ctx); err != nil {
				return nil
			}
			b.flush(ctx)
		}
	}
}

func (b *Batcher) waiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

// waitTurn keeps this instance within its share of the log's rate.
func (b *Batcher) waitTurn(ctx context.Context) error {
	now := time.UnixMilli(int64(b.Common.Clock.Now()))
	b.limiter.SetLimitAt(now, b.share())
	delay := b.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 {
		return ctx.Err()
	}
	return clock.Sleep(ctx, b.Common.Clock, clock.FromDuration(delay+time.Millisecond))
}

// take removes the records of the next append from the queue.
func (b *Batcher) take() []*pendingRecord {
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
	batch := b.take()
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
		b.pause.Reset()
		return
	}
	b.backOff(err)
}

// backOff refuses records until the next try, and also those that wait, because their callers must know at once.
func (b *Batcher) backOff(err error) {
	wait := clock.FromDuration(b.pause.NextBackOff())
	b.retryAt = b.Common.Clock.Now() + wait
	b.Common.Log.WithName("ledger").Info("append failed", "stream", b.Stream, "unknown", Unknown(err), "retryAfter", wait, "err", err.Error())
	b.fail(&DownError{Stream: b.Stream, RetryAfter: wait})
}

func (b *Batcher) fail(err error) {
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
	b.fail(&ClosedError{Stream: b.Stream})
}
