package dispatch

import (
	"context"
	"errors"
	"sync/atomic"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// MaxQueueWait is the longest time that a request waits for capacity at an upstream, in milliseconds.
	MaxQueueWait clock.Millis = 5000
	// waitDivisor divides the time until the deadline into the part that a request may wait for capacity.
	waitDivisor = 8
	// waitPollInterval is the interval at which a waiting request reads the current snapshot, in milliseconds.
	waitPollInterval clock.Millis = 100
)

// Balancer is the filter that selects the upstream of each attempt, within this instance's shares of the upstreams' concurrency
// limits, and retries failed attempts.
type Balancer struct {
	settings.Common
	Snapshot func() *catalogue.Snapshot
	InFlight *InFlightLimiter
	Budget   *RetryBudget
	Queue    *Queue
	// Prefixes and Outliers may be nil.
	Prefixes *PrefixIndex
	Outliers *OutlierDetector
	// Started, if set, is called with a sample at the first token of each attempt.
	Started func(request.Sample)
	// Waiter creates the waits for capacity; nil means ClockWaiter on Clock.
	Waiter Waiter

	index atomic.Pointer[Index]
}

// Filter sends the call to one upstream after another until one answers or the call may not be retried.
func (f *Balancer) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	writer := &trackingWriter{Writer: c.Writer, balancer: f}
	c.Writer = writer
	defer func() { c.Writer = writer.Writer }()
	if len(c.Excluded) > 0 && !f.hasAlternative(c) {
		// A previous step of the cascade, with another version, failed at all upstreams that serve this version.
		c.Excluded = nil
	}
	crashes := 0
	for first := true; ; first = false {
		u, refusal := f.acquire(ctx, c)
		if refusal != nil {
			return refusal
		}
		if first {
			f.Budget.Deposit(f.Clock.Now())
		}
		err := f.send(ctx, c, u, writer, next)
		f.recordAttempt(u.Name, err)
		if err == nil {
			return nil
		}
		c.Excluded = append(c.Excluded, u.Name)
		if peerClosed(err) {
			crashes++
		}
		if noRetry := f.noRetryReason(c, writer, err, crashes); noRetry != "" {
			f.Log.WithName("dispatch").Info("giving up on request", "request", c.Request.ID, "upstream", u.Name, "error", err.Error(),
				"stopReason", noRetry, "tried", len(c.Excluded))
			return err
		}
	}
}

// noRetryReason returns why the call may not be retried after err, or "" if it may; it then takes one retry from the budget.
func (f *Balancer) noRetryReason(c *request.Call, w *trackingWriter, err error, crashes int) string {
	switch {
	case w.committed:
		return "answer has begun"
	case crashes >= maxCrashesPerRequest:
		return "upstreams crashed under the request"
	case !MayRetry(err, c.Request.Repeatable):
		return "failure is not retryable"
	case !f.hasAlternative(c):
		return "no other upstream serves it"
	case !f.Budget.TryWithdraw(f.Clock.Now()):
		return "retry budget exhausted"
	}
	return ""
}

func (f *Balancer) send(ctx context.Context, c *request.Call, u *catalogue.Upstream, writer *trackingWriter, next request.Handler) error {
	defer f.InFlight.Release(u.Name)
	c.Upstream = u
	writer.sentAt = f.Clock.Now()
	return next.Handle(ctx, c)
}

// recordAttempt reports the outcome of an attempt to the outlier detection; refusals by this instance itself say nothing about the
// upstream and are not reported.
func (f *Balancer) recordAttempt(upstream string, err error) {
	if f.Outliers == nil {
		return
	}
	if err == nil {
		f.Outliers.RecordSuccess(upstream)
		return
	}
	var r *request.Refusal
	if !errors.As(err, &r) {
		return
	}
	switch r.Reason {
	case request.ReasonUpstreamRefused, request.ReasonUpstreamFailed, request.ReasonAnswerIncomplete, request.ReasonAnswerMismatch:
		f.Outliers.RecordFailure(upstream, f.Clock.Now())
	}
}

// MayRetry reports whether an attempt that ended with err may be followed by another one; repeatable permits running the request twice.
func MayRetry(err error, repeatable bool) bool {
	var r *request.Refusal
	if !errors.As(err, &r) {
		return false
	}
	switch r.Reason {
	case request.ReasonUpstreamRefused, request.ReasonUpstreamFailed, request.ReasonNoUpstream,
		request.ReasonAnswerIncomplete, request.ReasonAnswerMismatch, request.ReasonForbidden:
	default:
		return false
	}
	return r.Outcome == request.NotRun || (r.Outcome == request.MayHaveRun && repeatable)
}

// acquire reserves capacity at an upstream, and waits for a bounded time while this instance's shares are all in use.
func (f *Balancer) acquire(ctx context.Context, c *request.Call) (*catalogue.Upstream, *request.Refusal) {
	start := f.Clock.Now()
	until := WaitDeadline(start, c.Request.Deadline)
	for {
		now := f.Clock.Now()
		idx := f.currentIndex()
		candidates := f.candidates(idx, c)
		if len(candidates) == 0 {
			return nil, NoUpstream(c)
		}
		if u := Pick(f.query(c, idx, now), candidates, f.InFlight, prefixSet(f.Prefixes)); u != nil {
			if f.InFlight.Acquire(u.Name, u.Share) {
				return u, nil
			}
			continue
		}
		if now >= until {
			return nil, NoCapacity(c, until-start)
		}
		if r := f.wait(ctx, c, min(waitPollInterval, until-now)); r != nil {
			return nil, r
		}
	}
}

// wait returns after d milliseconds or when capacity may be available; it refuses if the queue is full or the caller disconnected.
func (f *Balancer) wait(ctx context.Context, c *request.Call, d clock.Millis) *request.Refusal {
	ready, wait := f.waiter().Wait(ctx)
	req := &QueuedRequest{Priority: callPriority(c), At: f.Clock.Now(), Ready: ready}
	if !f.Queue.Push(req) {
		return NoCapacity(c, MaxQueueWait)
	}
	defer f.Queue.Remove(req)
	if err := wait(d); err != nil {
		return request.Refuse(request.ReasonCallerGone, 0, "the caller left while the request waited for room")
	}
	return nil
}

func (f *Balancer) waiter() Waiter {
	if f.Waiter != nil {
		return f.Waiter
	}
	return ClockWaiter{Clock: f.Clock}
}

func (f *Balancer) currentIndex() *Index {
	s := f.Snapshot()
	if idx := f.index.Load(); idx != nil && idx.Snapshot == s {
		return idx
	}
	idx := NewIndex(s)
	f.index.Store(idx)
	return idx
}

func (f *Balancer) candidates(idx *Index, c *request.Call) []*catalogue.Upstream {
	if c.Service != nil {
		return idx.ByService(c.Service.Name)
	}
	if c.Version == nil || idx.Snapshot.PermitVersion(c.Request.Workspace, c.Version.ID) != nil {
		return nil
	}
	return idx.ByVersion(c.Version.ID)
}

func (f *Balancer) hasAlternative(c *request.Call) bool {
	q := &Query{Excluded: c.Excluded}
	for _, u := range f.candidates(f.currentIndex(), c) {
		if !q.excludes(u.Name) {
			return true
		}
	}
	return false
}

func (f *Balancer) query(c *request.Call, idx *Index, now clock.Millis) *Query {
	return &Query{
		Now:         now,
		RequestID:   c.Request.ID,
		Attempt:     len(c.Excluded),
		Zone:        f.Settings.Zone,
		Members:     len(idx.Snapshot.Members),
		Prefix:      PrefixHash(c.Request),
		Excluded:    c.Excluded,
		TimeLeft:    c.Request.Deadline - now,
		ColdHold:    f.Settings.Times.ColdHold,
		Outliers:    f.Outliers,
		NoRetryLeft: f.Budget.Exhausted(f.Clock.Now()),
	}
}

// WaitDeadline returns the monotonic time, in milliseconds, until which a request may wait for capacity; a deadline of 0 means none.
func WaitDeadline(now, deadline clock.Millis) clock.Millis {
	if deadline <= 0 {
		return now + MaxQueueWait/waitDivisor
	}
	return now + min(MaxQueueWait, (deadline-now)/waitDivisor)
}

// NoCapacity returns the refusal of a call while all shares of its upstreams are in use; Retry-After is at least waited, in
// milliseconds.
func NoCapacity(c *request.Call, waited clock.Millis) *request.Refusal {
	wait := jitter(c.Request.ID, max(waited, minRetryAfter))
	return request.Refuse(request.ReasonOverloaded, wait, "the upstreams have no room")
}

// NoUpstream returns the refusal of a call that no upstream open to new requests serves.
func NoUpstream(c *request.Call) *request.Refusal {
	wait := jitter(c.Request.ID, clock.Second)
	return request.Refuse(request.ReasonNoUpstream, wait, "no upstream that may get new work serves this")
}
