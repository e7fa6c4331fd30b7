package duty

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

// step renews the lease or tries to acquire it, and returns the time until the next step.
func (k *Keeper) step(ctx context.Context) clock.Millis {
	now := k.Clock.Now()
	_, held := k.Held(now)
	if held {
		return k.stepHolder(ctx, now)
	}
	k.dropLease("it lapsed")
	if k.leaving || k.isUnfit(now) || !k.Candidate(now) {
		return k.pollPeriod()
	}
	if err := k.load(ctx); err != nil {
		k.noteFailure(err)
		return k.pollPeriod()
	}
	now = k.Clock.Now()
	switch {
	case k.mine():
		// Nobody has acquired the lease since, so that this instance may go on under its token.
		return k.tryAppend(ctx, k.record)
	case k.isFree(now):
		return k.tryAppend(ctx, k.acquisition())
	}
	return max(1, min(k.pollPeriod(), k.seenAt+k.waitTime()-now))
}

func (k *Keeper) stepHolder(ctx context.Context, now clock.Millis) clock.Millis {
	if k.isUnfit(now) {
		if err := k.release(ctx); err != nil {
			k.Log.Info("releasing the lease failed", "error", err.Error())
		}
		return k.pollPeriod()
	}
	if k.known && now < k.renewAt {
		return k.renewAt - now
	}
	if !k.known {
		if err := k.load(ctx); err != nil {
			k.noteFailure(err)
			return retryDelay
		}
		if !k.mine() {
			k.dropLease("superseded")
			return k.pollPeriod()
		}
	}
	return k.tryAppend(ctx, k.record)
}

// tryAppend appends a record and returns the time until the next step.
func (k *Keeper) tryAppend(ctx context.Context, r *Record) clock.Millis {
	if err := k.append(ctx, r); err != nil {
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return 1
		}
		k.noteFailure(err)
		return retryDelay
	}
	return max(1, k.renewAt-k.Clock.Now())
}

// load reads the topic unless its end is known.
func (k *Keeper) load(ctx context.Context) error {
	ctx, cancel := clock.WithTimeout(ctx, k.Clock, k.storeTimeout())
	defer cancel()
	end, value, err := k.Store.Load(ctx)
	if err != nil {
		return err
	}
	r, err := decodeRecord(value)
	if err != nil {
		return err
	}
	if r != nil && r.Era > end.Era {
		// A response without the era of the store can't tell which offsets were given out before.
		return &EraError{Era: end.Era, Want: r.Era}
	}
	if !k.known || end != k.end {
		k.seenAt = k.Clock.Now()
	}
	k.known, k.end, k.record = true, end, r
	k.noteSuccess()
	k.noteHolder()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current = nil; k.mineLocked() {
		k.current = r
	}
	return nil
}

// mine reports whether the newest record was written by this process in the current era of the store, and its token is good.
func (k *Keeper) mine() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mineLocked()
}

func (k *Keeper) mineLocked() bool {
	r := k.record
	return r != nil && r.ID == k.ID && r.Era == k.end.Era && !r.Released && r.Token > k.refused
}

// isFree reports whether the last holder can't act any more.
func (k *Keeper) isFree(now clock.Millis) bool {
	if k.record != nil && k.record.Released && k.record.Era == k.end.Era {
		return true
	}
	return now-k.seenAt >= k.waitTime()
}

// waitTime returns the time after which the holder of an unchanged record can't act any more.
func (k *Keeper) waitTime() clock.Millis {
	if k.FencingRequired {
		return k.Lease + acquireMargin
	}
	return k.Lease + acquireMargin + unfencedDelay
}

// acquisition returns the record by which this instance acquires the lease at the end of the topic.
func (k *Keeper) acquisition() *Record {
	r := &Record{Holder: k.Self, ID: k.ID, Era: k.end.Era, Token: tokenAt(k.end)}
	if k.record != nil {
		r.State = k.record.State
	}
	return r
}

// append appends a record of this instance, after which it holds the lease.
func (k *Keeper) append(ctx context.Context, r *Record) error {
	at, sentAt := k.end, k.Clock.Now()
	end, err := k.storeAppend(ctx, r)
	if err != nil {
		k.setUnknown()
		return err
	}
	if end.Era != at.Era {
		k.setUnknown()
		k.dropLease("the store came back from an older copy")
		return &ConflictError{At: at}
	}
	k.known, k.end, k.record, k.seenAt = true, end, r, k.Clock.Now()
	k.renewAt = sentAt + k.Lease/renewals
	k.noteSuccess()
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Token <= k.refused {
		return &NotHeldError{Token: r.Token}
	}
	if k.lease.Token != r.Token {
		k.acquiredAt = sentAt
		k.stats.Acquired++
		k.Log.Info("acquired the lease", "token", r.Token, "era", end.Era, "offset", end.Offset-1)
	}
	k.lease = Lease{Holder: k.Self, Token: r.Token, Until: sentAt + k.Lease}
	k.current = r
	k.setHolder(r)
	return nil
}

// setUnknown notes that the topic must be read before the next append.
func (k *Keeper) setUnknown() {
	k.known = false
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current = nil
}

func (k *Keeper) storeAppend(ctx context.Context, r *Record) (Position, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return Position{}, errors.Wrap(err, "encode lease record")
	}
	ctx, cancel := clock.WithTimeout(ctx, k.Clock, k.storeTimeout())
	defer cancel()
	return k.Store.Append(ctx, k.end, value)
}

func (k *Keeper) storeTimeout() clock.Millis { return k.Lease / storeTries }

// pollPeriod returns the time between two reads of the lease by a candidate.
func (k *Keeper) pollPeriod() clock.Millis { return 2 * k.Lease / renewals }

// dropLease makes this instance stop acting at once.
func (k *Keeper) dropLease(reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropLocked(reason)
}

func (k *Keeper) dropLocked(reason string) {
	if k.lease.Until == 0 {
		return
	}
	k.Log.Info("gave up the lease", "token", k.lease.Token, "reason", reason)
	k.lease.Until, k.current = 0, nil
	k.stats.Lost++
}

// noteFailure logs the first of several failures of the store, and noteSuccess their end.
func (k *Keeper) noteFailure(err error) {
	if k.storeFailures == 0 {
		k.Log.Info("the store of the lease fails", "error", err.Error())
	}
	k.storeFailures++
}

func (k *Keeper) noteSuccess() {
	if k.storeFailures > 0 {
		k.Log.Info("the store of the lease answers again", "failures", k.storeFailures)
	}
	k.storeFailures = 0
}

func (k *Keeper) noteHolder() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setHolder(k.record)
}

// setHolder records and logs a new holder; k.mu must be held.
func (k *Keeper) setHolder(r *Record) {
	if r == nil || r.Token == k.stats.Token && r.Holder == k.stats.Holder {
		return
	}
	k.stats.Holder, k.stats.Token, k.stats.Since = r.Holder, r.Token, k.Clock.Now()
	k.Log.Info("the lease has a holder", "holder", r.Holder, "token", r.Token, "era", r.Era, "released", r.Released)
}

func (k *Keeper) isUnfit(now clock.Millis) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now < k.unfitUntil
}
