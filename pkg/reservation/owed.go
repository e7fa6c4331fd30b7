package reservation

import (
	"context"
	"sync"

	"github.com/cenkalti/backoff/v5"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// owedLimit bounds the outcomes and releases that wait for the log.
	owedLimit = 4096
	// owedBatch is how many of them are handed to the log at once.
	owedBatch = 256
	// owedTimeout bounds one append of them, in milliseconds.
	owedTimeout = 10 * clock.Second
)

// owedRecords are the outcomes and releases that the log doesn't have yet, oldest first.
type owedRecords struct {
	mu      sync.Mutex
	records []*Record
	dropped int
	wake    chan struct{}
	// idle is closed while there are none.
	idle chan struct{}
}

func (o *owedRecords) init() {
	o.wake = make(chan struct{}, 1)
	o.idle = make(chan struct{})
	close(o.idle)
}

// add queues a record. The oldest one goes when there are too many; its key then stays claimed, which is safe.
func (o *owedRecords) add(r *Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.records) == 0 {
		o.idle = make(chan struct{})
	}
	if len(o.records) >= owedLimit {
		o.records = o.records[1:]
		o.dropped++
	}
	o.records = append(o.records, r)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// first returns the oldest records without taking them off.
func (o *owedRecords) first() []*Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.records), owedBatch)
	return append([]*Record(nil), o.records[:n]...)
}

// remove takes the records off that the log has.
func (o *owedRecords) remove(paid map[*Record]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	left := o.records[:0]
	for _, r := range o.records {
		if !paid[r] {
			left = append(left, r)
		}
	}
	o.records = left
	if len(left) == 0 && len(paid) > 0 {
		close(o.idle)
	}
}

// wait returns once there are no records.
func (o *owedRecords) wait(ctx context.Context) error {
	for {
		o.mu.Lock()
		idle, n := o.idle, len(o.records)
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

// payOwed appends what is owed until ctx ends. A record whose append has an unknown outcome is appended again, because
// the fold ignores a second release or outcome of the same claim.
func (b *Book) payOwed(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	for {
		select {
		case <-b.owed.wake:
		case <-ctx.Done():
			return
		}
		for records := b.owed.first(); len(records) > 0; records = b.owed.first() {
			paid := b.appendAll(ctx, records)
			b.owed.remove(paid)
			if len(paid) == len(records) {
				pause.Reset()
				continue
			}
			if clock.Sleep(ctx, b.Common.Clock, clock.FromDuration(pause.NextBackOff())) != nil {
				return
			}
		}
	}
}

// appendAll hands all records to the log at once, so that they go in one append, and returns those that are in it.
func (b *Book) appendAll(ctx context.Context, records []*Record) map[*Record]bool {
	ctx, cancel := clock.WithTimeout(ctx, b.Common.Clock, owedTimeout)
	defer cancel()
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		paid = map[*Record]bool{}
	)
	for _, r := range records {
		data, err := encode(r)
		if err != nil {
			paid[r] = true
			continue
		}
		wg.Go(func() {
			if _, err := b.Log.Append(ctx, data); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			paid[r] = true
		})
	}
	wg.Wait()
	return paid
}
