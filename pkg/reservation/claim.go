package reservation

import (
	"context"
	"math/rand/v2"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/request"
)

// retryBase is the least RetryAfter of a refusal, in milliseconds; up to as much again is added by chance.
const retryBase = 1 * clock.Second

// RecordedError says that the request of the key has ended before; Done tells how.
type RecordedError struct {
	Done *Done
}

// Error names the outcome.
func (e *RecordedError) Error() string {
	return "the key's request has ended before: " + string(e.Done.Outcome)
}

// Claim returns the claim that allows c's request to be sent once. Its error is a *RecordedError when the request of
// the key has ended before, and a *request.Refusal otherwise.
func (b *Book) Claim(ctx context.Context, c *request.Call) (*Held, error) {
	b.init()
	t, err := newTicket(c.Request)
	if err != nil {
		return nil, err
	}
	giveUpAt := min(b.Common.Clock.Now()+outcomeWait, c.Request.Deadline)
	for {
		free, err := b.awaitFree(ctx, t, giveUpAt)
		if err != nil {
			return nil, err
		}
		if !free {
			return nil, b.refuseOld()
		}
		h, err := b.try(ctx, t, c)
		if h != nil || err != nil {
			return h, err
		}
		if b.Common.Clock.Now() >= giveUpAt {
			return nil, inUse(nil)
		}
	}
}

// awaitFree returns true when the key may be claimed, and false when it can't be proved that it never was. While
// another request holds the key it waits for the outcome until giveUpAt.
func (b *Book) awaitFree(ctx context.Context, t ticket, giveUpAt clock.Millis) (bool, error) {
	for {
		s, w := b.look(t.key)
		if s == nil {
			return b.checkUnknown(t)
		}
		if s.Claim.Body != t.body {
			return false, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonKeyReused, Field: KeyField,
				Detail: "the key was used for another request"}
		}
		if s.Done != nil {
			return false, &RecordedError{Done: s.Done}
		}
		if s.Released {
			return true, b.checkReady()
		}
		err := b.awaitChange(ctx, s, w, giveUpAt)
		b.unwatch(t.key, w)
		if err != nil {
			return false, err
		}
	}
}

// awaitChange returns nil when the slot may have changed, and a refusal when its outcome is not waited for any longer.
func (b *Book) awaitChange(ctx context.Context, s *Slot, w *watch, giveUpAt clock.Millis) error {
	left := giveUpAt - b.Common.Clock.Now()
	if left <= 0 || b.isSettled(s) {
		return inUse(nil)
	}
	late, stop := b.Common.Clock.Timer(left)
	defer stop()
	select {
	case <-w.changed:
		return nil
	case <-late:
		return nil
	case <-ctx.Done():
		return inUse(context.Cause(ctx))
	}
}

// look returns a copy of the key's slot, or nil, and a watch on it when its outcome is open.
func (b *Book) look(key string) (*Slot, *watch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.table.Slot(key)
	if s == nil {
		return nil, nil
	}
	c := *s
	if c.Done != nil || c.Released {
		return &c, nil
	}
	return &c, b.watch(key)
}

// isSettled tells whether the outcome of a claim is not worth waiting for: its holder is gone or has been silent for long.
func (b *Book) isSettled(s *Slot) bool {
	if s.Claim.Instance == b.Common.Settings.Name && s.Claim.Incarnation < b.Incarnation {
		return true
	}
	return b.Common.Clock.Now()-s.ReadAt > settleAfter
}

func inUse(cause error) error {
	return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonKeyInUse, Field: KeyField,
		Detail: "another request holds the key, and its outcome is not known", RetryAfter: retryAfter(), Cause: cause}
}

func (b *Book) checkUnknown(t ticket) (bool, error) {
	if err := b.checkReady(); err != nil {
		return false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Provable(t.keyAt), nil
}

// checkReady refuses while the log can't decide on claims.
func (b *Book) checkReady() error {
	if b.Ready() {
		return nil
	}
	return unavailable(nil)
}

func unavailable(cause error) error {
	r := request.Refuse(request.ReasonLogUnavailable, retryAfter(), "the log can't decide now whether the key is new; ask again with the same key")
	r.Cause = cause
	return r
}

func (b *Book) refuseOld() error {
	r := request.Refuse(request.ReasonKeyTooOld, 0, "the key is older than what the log keeps, or its time is in the future")
	r.Field = KeyField
	return r
}

func retryAfter() clock.Millis { return retryBase + rand.N(retryBase) }

// try appends a claim and waits for its verdict. Both results are nil when another claim came first.
func (b *Book) try(ctx context.Context, t ticket, c *request.Call) (*Held, error) {
	h := b.hold(t)
	data, err := encode(&Record{Claim: &Claim{
		ID: h.id, Key: t.key, KeyAt: t.keyAt, Body: t.body,
		Instance: b.Common.Settings.Name, Incarnation: b.Incarnation, Request: c.Request.ID,
	}})
	if err != nil {
		b.forget(h)
		return nil, unavailable(err)
	}
	ctx, cancel := clock.WithTimeout(ctx, b.Common.Clock, claimWait)
	defer cancel()
	if _, err := b.Log.Append(ctx, data); err != nil && !ledger.Unknown(err) {
		b.forget(h)
		return nil, unavailable(err)
	}
	// Also when the append's answer was lost the stream tells whether it took effect.
	select {
	case <-h.decided:
	case <-ctx.Done():
		if b.abandon(h) {
			return nil, unavailable(context.Cause(ctx))
		}
	}
	if h.won {
		return h, nil
	}
	if h.tooOld {
		return nil, b.refuseOld()
	}
	return nil, nil
}

// abandon gives a claim up that has no verdict yet; it is never sent under, and it is released once it is read back.
func (b *Book) abandon(h *Held) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-h.decided:
		return false
	default:
	}
	h.abandoned = true
	h.close()
	return true
}
