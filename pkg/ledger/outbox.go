package ledger

import (
	"context"
	"sync"

	"github.com/cenkalti/backoff/v5"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// outboxRound is how many records are handed to the log at once.
	outboxRound = 512
	// outboxTimeout bounds one round, in milliseconds.
	outboxTimeout = 10 * clock.Second
)

// RecordAppender adds one record to a stream; *Batcher is one.
type RecordAppender interface {
	Append(ctx context.Context, record []byte) (int64, error)
}

// Outbox appends records until the log has them, oldest first. A record whose append has an unknown outcome is appended
// again, so that readers must ignore doubles. It is safe for concurrent use.
type Outbox struct {
	Common settings.Common
	Log    RecordAppender
	// Limit bounds the records that wait.
	Limit int
	// Appended, when set, is called with each record that the log has.
	Appended func(p *Posted)

	once    sync.Once
	mu      sync.Mutex
	waiting []*Posted
	wake    chan struct{}
	idle    chan struct{}
}

// Posted is a record in an outbox.
type Posted struct {
	data []byte
	// appended is closed once the log has the record, failed once an append of it has failed.
	appended chan struct{}
	failed   chan struct{}
	once     sync.Once
}

func (o *Outbox) init() {
	o.once.Do(func() {
		o.wake = make(chan struct{}, 1)
		o.idle = make(chan struct{})
		close(o.idle)
	})
}

// Add queues a record, or returns nil when Limit records wait.
func (o *Outbox) Add(record []byte) *Posted {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= o.Limit {
		return nil
	}
	if len(o.waiting) == 0 {
		o.idle = make(chan struct{})
	}
	p := &Posted{data: record, appended: make(chan struct{}), failed: make(chan struct{})}
	o.waiting = append(o.waiting, p)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return p
}

// Len returns how many records wait.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting)
}

// Wait returns once no record waits, or the cause for which ctx ended.
func (o *Outbox) Wait(ctx context.Context) error {
	o.init()
	for {
		o.mu.Lock()
		idle, n := o.idle, len(o.waiting)
		o.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Run appends the records until ctx ends.
func (o *Outbox) Run(ctx context.Context) error {
	o.init()
	pause := newBackOff()
	for {
		select {
		case <-o.wake:
		case <-ctx.Done():
			return nil
		}
		if err := o.empty(ctx, pause); err != nil {
			return nil
		}
	}
}

// empty appends round after round until no record waits.
func (o *Outbox) empty(ctx context.Context, pause *backoff.ExponentialBackOff) error {
	for round := o.first(); len(round) > 0; round = o.first() {
		if o.appendAll(ctx, round) == len(round) {
			pause.Reset()
			continue
		}
		if err := clock.Sleep(ctx, o.Common.Clock, clock.FromDuration(pause.NextBackOff())); err != nil {
			return err
		}
	}
	return nil
}

func (o *Outbox) first() []*Posted {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]*Posted(nil), o.waiting[:min(len(o.waiting), outboxRound)]...)
}

// appendAll hands the records to the log together, so that they go in few appends, and returns how many it has now.
func (o *Outbox) appendAll(ctx context.Context, round []*Posted) int {
	ctx, cancel := clock.WithTimeout(ctx, o.Common.Clock, outboxTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(round))
	for i, p := range round {
		wg.Go(func() { _, errs[i] = o.Log.Append(ctx, p.data) })
	}
	wg.Wait()
	n := 0
	for i, p := range round {
		if errs[i] != nil {
			p.once.Do(func() { close(p.failed) })
			continue
		}
		n++
		o.remove(p)
	}
	return n
}

func (o *Outbox) remove(p *Posted) {
	o.mu.Lock()
	for i, other := range o.waiting {
		if other == p {
			o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
			break
		}
	}
	if len(o.waiting) == 0 {
		close(o.idle)
	}
	o.mu.Unlock()
	close(p.appended)
	if o.Appended != nil {
		o.Appended(p)
	}
}
