package reservation

import (
	"context"
	"math/rand/v2"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/request"
)

// retryBase is the minimum RetryAfter of a refusal; random jitter below the same amount is added.
const retryBase = 1 * clock.Second

// CompletedError reports that the request with the key has already completed; Done has its outcome.
type CompletedError struct {
	Done *Done
}

// Error includes the recorded outcome.
func (e *CompletedError) Error() string {
	return "request with this key already completed: " + string(e.Done.Outcome)
}

// Claim returns the claim that allows c's request to be sent once, or a *CompletedError if the request with the key has
// already completed, or a *request.Refusal.
func (b *Coordinator) Claim(ctx context.Context, c *request.Call) (*LocalClaim, error) {
	b.init()
	fp, err := newFingerprint(c.Request)
	if err != nil {
		return nil, err
	}
	giveUpAt := min(b.Common.Clock.Now()+maxOutcomeWait, c.Request.Deadline)
	for {
		claimable, err := b.awaitClaimable(ctx, fp, giveUpAt)
		if err != nil {
			return nil, err
		}
		if !claimable {
			return nil, b.refuseKeyTooOld()
		}
		lc, err := b.tryClaim(ctx, fp, c)
		if lc != nil || err != nil {
			return lc, err
		}
		if b.Common.Clock.Now() >= giveUpAt {
			return nil, refuseKeyInUse(nil)
		}
	}
}

// awaitClaimable returns true if the key may be claimed, and false if the key is outside the time range in which it is
// known to be unclaimed. While another request holds the key it waits for the outcome until giveUpAt.
func (b *Coordinator) awaitClaimable(ctx context.Context, fp fingerprint, giveUpAt clock.Millis) (bool, error) {
	for {
		s, w := b.lookup(fp.key)
		if s == nil {
			return b.checkUnseen(fp)
		}
		if s.Claim.Body != fp.body {
			return false, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonKeyReused, Field: KeyHeader,
				Detail: "the key was already used for a different request"}
		}
		if s.Done != nil {
			return false, &CompletedError{Done: s.Done}
		}
		if s.Released {
			return true, b.checkReady()
		}
		err := b.awaitChange(ctx, s, w, giveUpAt)
		b.unwatch(fp.key, w)
		if err != nil {
			return false, err
		}
	}
}

// awaitChange returns nil if the state of the key may have changed, and a refusal if there is no point in waiting further.
func (b *Coordinator) awaitChange(ctx context.Context, s *KeyState, w *watch, giveUpAt clock.Millis) error {
	left := giveUpAt - b.Common.Clock.Now()
	if left <= 0 || b.isHolderLost(s) {
		return refuseKeyInUse(nil)
	}
	expired, stop := b.Common.Clock.Timer(left)
	defer stop()
	select {
	case <-w.changed:
		return nil
	case <-expired:
		return nil
	case <-ctx.Done():
		return refuseKeyInUse(context.Cause(ctx))
	}
}

// lookup returns a copy of the state of the key, or nil if the key is unknown, and a watch if its claim is
// neither released nor completed.
func (b *Coordinator) lookup(key string) (*KeyState, *watch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.table.Lookup(key)
	if s == nil {
		return nil, nil
	}
	c := *s
	if c.Done != nil || c.Released {
		return &c, nil
	}
	return &c, b.watch(key)
}

// isHolderLost reports whether no outcome is to be expected: the holder is an earlier incarnation of this instance, or the
// claim was read more than holderTimeout ago.
func (b *Coordinator) isHolderLost(s *KeyState) bool {
	if s.Claim.Instance == b.Common.Settings.Name && s.Claim.Incarnation < b.Incarnation {
		return true
	}
	return b.Common.Clock.Now()-s.ReadAt > holderTimeout
}

func refuseKeyInUse(cause error) error {
	return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonKeyInUse, Field: KeyHeader,
		Detail: "another request holds the key and its outcome is unknown", RetryAfter: retryAfter(), Cause: cause}
}

// checkUnseen reports whether a key that is not in the table is known to be unclaimed.
func (b *Coordinator) checkUnseen(fp fingerprint) (bool, error) {
	if err := b.checkReady(); err != nil {
		return false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Covers(fp.keyAt), nil
}

// checkReady returns a refusal while the log is not read up to date.
func (b *Coordinator) checkReady() error {
	if b.Ready() {
		return nil
	}
	return refuseLogUnavailable(nil)
}

func refuseLogUnavailable(cause error) error {
	r := request.Refuse(request.ReasonLogUnavailable, retryAfter(), "the log can't currently confirm that the key is new; retry with the same key")
	r.Cause = cause
	return r
}

func (b *Coordinator) refuseKeyTooOld() error {
	r := request.Refuse(request.ReasonKeyTooOld, 0, "the timestamp of the key is in the future, or too old to tell whether the key was used")
	r.Field = KeyHeader
	return r
}

func retryAfter() clock.Millis { return retryBase + rand.N(retryBase) }

// tryClaim appends a claim and waits until it is decided. Both results are nil if another claim won.
func (b *Coordinator) tryClaim(ctx context.Context, fp fingerprint, c *request.Call) (*LocalClaim, error) {
	lc := b.register(fp)
	data, err := encode(&Record{Claim: &Claim{
		ID: lc.id, Key: fp.key, KeyAt: fp.keyAt, Body: fp.body,
		Instance: b.Common.Settings.Name, Incarnation: b.Incarnation, Request: c.Request.ID,
	}})
	if err != nil {
		b.unregister(lc)
		return nil, refuseLogUnavailable(err)
	}
	ctx, cancel := clock.WithTimeout(ctx, b.Common.Clock, claimTimeout)
	defer cancel()
	if _, err := b.Log.Append(ctx, data); err != nil && !ledger.OutcomeUnknown(err) {
		b.unregister(lc)
		return nil, refuseLogUnavailable(err)
	}
	// If the response to the append was lost, reading the stream still shows whether the claim was appended.
	select {
	case <-lc.decided:
	case <-ctx.Done():
		if b.abandon(lc) {
			return nil, refuseLogUnavailable(context.Cause(ctx))
		}
	}
	if lc.won {
		return lc, nil
	}
	if lc.tooOld {
		return nil, b.refuseKeyTooOld()
	}
	return nil, nil
}

// abandon gives up a claim unless it has been decided. Its request is never sent, and the claim is released if it is read
// back later.
func (b *Coordinator) abandon(lc *LocalClaim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-lc.decided:
		return false
	default:
	}
	lc.abandoned = true
	lc.close()
	return true
}
