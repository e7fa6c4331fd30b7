package reservation

import (
	"context"
	"math/rand/v2"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/request"
)

// minRetryAfter is the minimum RetryAfter of a refusal; random jitter below the same amount is added.
const minRetryAfter = 1 * clock.Second

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
func (co *Coordinator) Claim(ctx context.Context, c *request.Call) (*LocalClaim, error) {
	co.init()
	fp, err := newFingerprint(c.Request)
	if err != nil {
		return nil, err
	}
	giveUpAt := min(co.Common.Clock.Now()+maxOutcomeWait, c.Request.Deadline)
	for {
		claimable, err := co.awaitClaimable(ctx, fp, giveUpAt)
		if err != nil {
			return nil, err
		}
		if !claimable {
			return nil, co.refuseKeyTooOld()
		}
		lc, err := co.tryClaim(ctx, fp, c)
		if lc != nil || err != nil {
			return lc, err
		}
		if co.Common.Clock.Now() >= giveUpAt {
			return nil, refuseKeyInUse(nil)
		}
	}
}

// awaitClaimable returns true if the key may be claimed, and false if the key is outside the time range in which it is
// known to be unclaimed. While another request holds the key it waits for the outcome until giveUpAt.
func (co *Coordinator) awaitClaimable(ctx context.Context, fp fingerprint, giveUpAt clock.Millis) (bool, error) {
	for {
		s, w := co.lookup(fp.key)
		if s == nil {
			return co.checkUnseen(fp)
		}
		if s.Claim.Body != fp.body {
			return false, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonKeyReused, Field: KeyHeader,
				Detail: "the key was used for another request"}
		}
		if s.Done != nil {
			return false, &CompletedError{Done: s.Done}
		}
		if s.Released {
			return true, co.checkReady()
		}
		err := co.awaitChange(ctx, s, w, giveUpAt)
		co.unwatch(fp.key, w)
		if err != nil {
			return false, err
		}
	}
}

// awaitChange returns nil if the state of the key may have changed, and a refusal if there is no point in waiting further.
func (co *Coordinator) awaitChange(ctx context.Context, s *KeyState, w *watch, giveUpAt clock.Millis) error {
	left := giveUpAt - co.Common.Clock.Now()
	if left <= 0 || co.isHolderLost(s) {
		return refuseKeyInUse(nil)
	}
	expired, stop := co.Common.Clock.Timer(left)
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
func (co *Coordinator) lookup(key string) (*KeyState, *watch) {
	co.mu.Lock()
	defer co.mu.Unlock()
	s := co.table.Lookup(key)
	if s == nil {
		return nil, nil
	}
	c := *s
	if c.Done != nil || c.Released {
		return &c, nil
	}
	return &c, co.watch(key)
}

// isHolderLost reports whether no outcome is to be expected: the holder is an earlier incarnation of this instance, or the
// claim was read more than holderTimeout ago.
func (co *Coordinator) isHolderLost(s *KeyState) bool {
	if s.Claim.Instance == co.Common.Settings.Name && s.Claim.Incarnation < co.Incarnation {
		return true
	}
	return co.Common.Clock.Now()-s.ReadAt > holderTimeout
}

func refuseKeyInUse(cause error) error {
	return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonKeyInUse, Field: KeyHeader,
		Detail: "another request holds the key, and its outcome is not known", RetryAfter: retryAfter(), Cause: cause}
}

// checkUnseen reports whether a key that is not in the table is known to be unclaimed.
func (co *Coordinator) checkUnseen(fp fingerprint) (bool, error) {
	if err := co.checkReady(); err != nil {
		return false, err
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.table.Covers(fp.keyAt), nil
}

// checkReady returns a refusal while the log is not read up to date.
func (co *Coordinator) checkReady() error {
	if co.Ready() {
		return nil
	}
	return refuseLogUnavailable(nil)
}

func refuseLogUnavailable(cause error) error {
	r := request.Refuse(request.ReasonLogUnavailable, retryAfter(), "the log can't decide now whether the key is new; ask again with the same key")
	r.Cause = cause
	return r
}

func (co *Coordinator) refuseKeyTooOld() error {
	r := request.Refuse(request.ReasonKeyTooOld, 0, "the key is older than what the log keeps, or its time is in the future")
	r.Field = KeyHeader
	return r
}

func retryAfter() clock.Millis { return minRetryAfter + rand.N(minRetryAfter) }

// tryClaim appends a claim and waits until it is decided. Both results are nil if another claim won.
func (co *Coordinator) tryClaim(ctx context.Context, fp fingerprint, c *request.Call) (*LocalClaim, error) {
	lc := co.register(fp)
	data, err := encode(&Record{Claim: &Claim{
		ID: lc.id, Key: fp.key, KeyAt: fp.keyAt, Body: fp.body,
		Instance: co.Common.Settings.Name, Incarnation: co.Incarnation, Request: c.Request.ID,
	}})
	if err != nil {
		co.unregister(lc)
		return nil, refuseLogUnavailable(err)
	}
	ctx, cancel := clock.WithTimeout(ctx, co.Common.Clock, claimTimeout)
	defer cancel()
	if _, err := co.Log.Append(ctx, data); err != nil && !ledger.OutcomeUnknown(err) {
		co.unregister(lc)
		return nil, refuseLogUnavailable(err)
	}
	// If the response to the append was lost, reading the stream still shows whether the claim was appended.
	select {
	case <-lc.decided:
	case <-ctx.Done():
		if co.abandon(lc) {
			return nil, refuseLogUnavailable(context.Cause(ctx))
		}
	}
	if lc.won {
		return lc, nil
	}
	if lc.tooOld {
		return nil, co.refuseKeyTooOld()
	}
	return nil, nil
}

// abandon gives up a claim unless it has been decided. Its request is never sent, and the claim is released if it is read
// back later.
func (co *Coordinator) abandon(lc *LocalClaim) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	select {
	case <-lc.decided:
		return false
	default:
	}
	lc.abandoned = true
	lc.close()
	return true
}
