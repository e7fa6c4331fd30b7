package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// acquireMargin covers the resolution of the clocks that a holder and a candidate compare, in milliseconds.
	acquireMargin clock.Millis = 400
	// unfencedDelay is how long after the end of a lease a call without an answer may still be carried out, in milliseconds; it matters
	// where the platform doesn't refuse superseded tokens.
	unfencedDelay = 6 * clock.Second
	// retryDelay is the pause after a failed call to the store, in milliseconds.
	retryDelay clock.Millis = 250
	// storeTries is the number of unanswered calls to the store that fit into a lease.
	storeTries = 4
	// renewals is the number of renewals in the time of a lease.
	renewals = 3
	// maxFailures is the number of failed calls in a row, over at least the time of a lease, after which a holder releases the lease for
	// unfitTime, so that an instance with a better connection can take it.
	maxFailures = 4
	unfitTime   = 8 * clock.Second
)

// Keeper acquires, renews and releases the lease of this instance; its exported fields must be set before Run.
type Keeper struct {
	Clock clock.Clock
	Log   logr.Logger
	Store Store
	// Self is the name of this instance, and ID that of this process, which no other one ever has.
	Self string
	ID   string
	// Lease is the time for which the holder may act after it sent a renewal.
	Lease clock.Millis
	// FencingRequired is true if the platform refuses superseded tokens.
	FencingRequired bool
	// Candidate reports whether this instance may acquire the lease.
	Candidate func(now clock.Millis) bool

	once     sync.Once
	requests chan request

	// The fields up to mu belong to Run. end, record and seenAt describe the topic if known is set: its end, its newest record, and when
	// this end was first read.
	known  bool
	end    Position
	record *Record
	seenAt clock.Millis
	// leaving is true once this instance gives up duties for good.
	leaving    bool
	renewAt    clock.Millis
	acquiredAt clock.Millis
	// storeFailures counts failed calls to the store in a row.
	storeFailures int

	mu    sync.Mutex
	lease Lease
	// current is the record that this instance wrote or read last as holder, nil while that is not known.
	current *Record
	// refused is the highest token that the platform refused.
	refused int64
	// failures counts failed calls in a row since failingSince, and unknownUntil is when calls of unknown fate are over.
	failures     int
	failingSince clock.Millis
	unknownUntil clock.Millis
	unfitUntil   clock.Millis
	stats        Stats
}

// Stats describes the lease as this instance sees it.
type Stats struct {
	// Holder is the holder that this instance read last, Token its fencing token, and Since the monotonic time at which this instance first
	// read of it.
	Holder string
	Token  int64
	Since  clock.Millis
	// Held is true if this instance holds the lease.
	Held bool
	// Acquired, Lost and Fenced count how often this instance acquired the lease, lost it and had its token refused.
	Acquired int64
	Lost     int64
	Fenced   int64
}

// request asks Run to do something on the goroutine that owns the view of the topic.
type request struct {
	do   func(ctx context.Context) error
	done chan error
}

// NotHeldError means that this instance doesn't hold the lease, or not under the token that was named.
type NotHeldError struct{ Token int64 }

// Error states the token.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("this instance doesn't hold the lease with token %d", e.Token)
}

// Run keeps the lease until ctx ends, and returns the error of ctx.
func (k *Keeper) Run(ctx context.Context) error {
	k.init()
	for {
		timer, stop := k.Clock.Timer(max(1, k.step(ctx)))
		select {
		case <-timer:
		case r := <-k.requests:
			r.done <- r.do(ctx)
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
		stop()
	}
}

func (k *Keeper) init() { k.once.Do(func() { k.requests = make(chan request) }) }

// Held returns the lease and true only while this instance knows that it holds it.
func (k *Keeper) Held(now clock.Millis) (Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, now < k.lease.Until
}

// State returns what the last holder kept for a duty; it returns false unless this instance holds the lease and knows the state.
func (k *Keeper) State(name string) (state json.RawMessage, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current == nil || k.Clock.Now() >= k.lease.Until {
		return nil, false
	}
	return k.current.State[name], true
}

// Write replaces the state of a duty; after an error the state may be replaced or not, and State tells when that is known again.
func (k *Keeper) Write(ctx context.Context, lease Lease, name string, state json.RawMessage) error {
	return k.run(ctx, func(ctx context.Context) error { return k.write(ctx, lease, name, state) })
}

// Release gives the lease up for good once this instance has held it for long enough, so that another instance can take it at once.
func (k *Keeper) Release(ctx context.Context) error {
	for {
		var wait clock.Millis
		err := k.run(ctx, func(ctx context.Context) error {
			k.leaving = true
			now := k.Clock.Now()
			if _, held := k.Held(now); held && now < k.acquiredAt+k.Lease {
				wait = k.acquiredAt + k.Lease - now
				return nil
			}
			return k.release(ctx)
		})
		if err != nil || wait == 0 {
			return err
		}
		if err := clock.Sleep(ctx, k.Clock, wait); err != nil {
			return err
		}
	}
}

// Yield releases the lease soon, and keeps this instance from acquiring it for some time, because it can't carry out a duty.
func (k *Keeper) Yield(reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.yield(reason)
}

func (k *Keeper) yield(reason string) {
	now := k.Clock.Now()
	if now < k.unfitUntil {
		return
	}
	k.Log.Info("releasing the lease", "token", k.lease.Token, "reason", reason)
	k.failures, k.unfitUntil = 0, now+unfitTime
}

// Holder reads the name of the last holder from the store, or "" if the lease is free.
func (k *Keeper) Holder(ctx context.Context) (string, error) {
	holder := ""
	err := k.run(ctx, func(ctx context.Context) error {
		if err := k.load(ctx); err != nil {
			return err
		}
		if k.record != nil && !k.record.Released {
			holder = k.record.Holder
		}
		return nil
	})
	return holder, err
}

func (k *Keeper) run(ctx context.Context, do func(ctx context.Context) error) error {
	k.init()
	r := request{do: do, done: make(chan error, 1)}
	select {
	case k.requests <- r:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats returns the state of the lease for metrics and dumps.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.Held = k.Clock.Now() < k.lease.Until
	return s
}

func (k *Keeper) write(ctx context.Context, lease Lease, name string, state json.RawMessage) error {
	current, held := k.Held(k.Clock.Now())
	if !held || current.Token != lease.Token || !k.known || !k.mine() {
		return &NotHeldError{Token: lease.Token}
	}
	return k.append(ctx, k.record.with(name, state))
}

// release appends a record that lets another instance acquire the lease at once, unless that might break the order of holders.
func (k *Keeper) release(ctx context.Context) error {
	now := k.Clock.Now()
	_, held := k.Held(now)
	k.dropLease("released")
	k.mu.Lock()
	unknown := !k.FencingRequired && now < k.unknownUntil
	k.mu.Unlock()
	if !held || !k.known || !k.mine() || unknown || now-k.acquiredAt < k.Lease {
		return nil
	}
	next := *k.record
	next.Released = true
	end, err := k.storeAppend(ctx, &next)
	k.known = false
	if err != nil {
		return errors.Wrap(err, "release lease")
	}
	k.Log.Info("released the lease", "token", next.Token, "offset", end.Offset)
	return nil
}
