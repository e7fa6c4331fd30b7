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
	// MaxWait bounds the wait for room at an upstream, in milliseconds.
	MaxWait clock.Millis = 5000
	// waitPart is the part of the time left that a request may wait for room.
	waitPart = 8
	// waitCheck is the period in which a waiting request looks at a newer snapshot, in milliseconds.
	waitCheck clock.Millis = 100
)

// Place is the filter that chooses the upstream of each attempt.
type Place struct {
	settings.Common
	Snapshot func() *catalogue.Snapshot
	Flights  *Flights
	Budget   *RetryBudget
	Queue    *Queue
	// Prefixes and Outliers may be nil.
	Prefixes *Prefixes
	Outliers *Outliers
	// Started, if set, is given a sample with the first token of each attempt.
	Started func(request.Sample)
	// Waiter makes the waits for room; nil means on Clock.
	Waiter Waiter

	index atomic.Pointer[Index]
}

// Filter sends the call to one upstream after another until one answers or it may not be sent again.
func (f *Place) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	shown := &shownWriter{Writer: c.Writer, place: f}
	c.Writer = shown
	defer func() { c.Writer = shown.Writer }()
	if len(c.Excluded) > 0 && !f.hasOther(c) {
		// A step of a cascade before this one, with another version, failed at all upstreams that serve this one.
		c.Excluded = nil
	}
	for first := true; ; first = false {
		u, refusal := f.acquire(ctx, c)
		if refusal != nil {
			return refusal
		}
		if first {
			f.Budget.Add(f.Clock.Now())
		}
		err := f.send(ctx, c, u, shown, next)
		f.note(u.Name, err)
		if err == nil || shown.shown || !MayRetry(err, c.Request.Repeatable) {
			return err
		}
		c.Excluded = append(c.Excluded, u.Name)
		if !f.hasOther(c) || !f.Budget.Take() {
			return err
		}
	}
}

func (f *Place) send(ctx context.Context, c *request.Call, u *catalogue.Upstream, shown *shownWriter, next request.Handler) error {
	defer f.Flights.Release(u.Name)
	c.Upstream = u
	shown.sentAt = f.Clock.Now()
	return next.Handle(ctx, c)
}

// note tells the outliers what became of an attempt; what did not reach the upstream by this instance's own rules says nothing.
func (f *Place) note(upstream string, err error) {
	if f.Outliers == nil {
		return
	}
	if err == nil {
		f.Outliers.Answered(upstream)
		return
	}
	var r *request.Refusal
	if !errors.As(err, &r) {
		return
	}
	switch r.Reason {
	case request.ReasonUpstreamRefused, request.ReasonUpstreamFailed, request.ReasonAnswerIncomplete, request.ReasonAnswerMismatch:
		f.Outliers.Failed(upstream, f.Clock.Now())
	}
}

// MayRetry tells whether an attempt that ended with err may be followed by another one.
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

// acquire takes room at an upstream, waiting for a short time when all shares are taken.
func (f *Place) acquire(ctx context.Context, c *request.Call) (*catalogue.Upstream, *request.Refusal) {
	start := f.Clock.Now()
	until := WaitUntil(start, c.Request.Deadline)
	for {
		now := f.Clock.Now()
		x := f.current()
		from := f.candidates(x, c)
		if len(from) == 0 {
			return nil, NoUpstream(c)
		}
		if u := Pick(f.query(c, x, now), from, f.Flights, prefixSet(f.Prefixes)); u != nil {
			if f.Flights.Acquire(u.Name, u.Share) {
				return u, nil
			}
			continue
		}
		if now >= until {
			return nil, NoRoom(c, until-start)
		}
		if r := f.wait(ctx, c, min(waitCheck, until-now)); r != nil {
			return nil, r
		}
	}
}

// wait returns when room may have come up or after d; it refuses when the queue is full or the caller is gone.
func (f *Place) wait(ctx context.Context, c *request.Call, d clock.Millis) *request.Refusal {
	ready, wait := f.waiter().Wait(ctx)
	t := &Ticket{Priority: callPriority(c), At: f.Clock.Now(), Ready: ready}
	if !f.Queue.Push(t) {
		return NoRoom(c, MaxWait)
	}
	defer f.Queue.Drop(t)
	if err := wait(d); err != nil {
		return request.Refuse(request.ReasonCallerGone, 0, "the caller left while the request waited for room")
	}
	return nil
}

func (f *Place) waiter() Waiter {
	if f.Waiter != nil {
		return f.Waiter
	}
	return ClockWaiter{Clock: f.Clock}
}

func (f *Place) current() *Index {
	s := f.Snapshot()
	if x := f.index.Load(); x != nil && x.Snapshot == s {
		return x
	}
	x := NewIndex(s)
	f.index.Store(x)
	return x
}

func (f *Place) candidates(x *Index, c *request.Call) []*catalogue.Upstream {
	if c.Service != nil {
		return x.Services(c.Service.Name)
	}
	if c.Version == nil || x.Snapshot.PermitVersion(c.Request.Workspace, c.Version.ID) != nil {
		return nil
	}
	return x.Versions(c.Version.ID)
}

func (f *Place) hasOther(c *request.Call) bool {
	q := &Query{Excluded: c.Excluded}
	for _, u := range f.candidates(f.current(), c) {
		if !q.excludes(u.Name) {
			return true
		}
	}
	return false
}

func (f *Place) query(c *request.Call, x *Index, now clock.Millis) *Query {
	return &Query{
		Now:       now,
		RequestID: c.Request.ID,
		Attempt:   len(c.Excluded),
		Zone:      f.Settings.Zone,
		Members:   len(x.Snapshot.Members),
		Prefix:    PrefixOf(c.Request),
		Excluded:  c.Excluded,
		Stay:      c.Request.Deadline - now,
		ColdHold:  f.Settings.Times.ColdHold,
		Outliers:  f.Outliers,
	}
}

// WaitUntil returns until when a request may wait for room: for a part of the time it has left.
func WaitUntil(now, deadline clock.Millis) clock.Millis {
	if deadline <= 0 {
		return now + MaxWait/waitPart
	}
	return now + min(MaxWait, (deadline-now)/waitPart)
}

// NoRoom refuses a call because all shares of its upstreams are taken; waited is in milliseconds.
func NoRoom(c *request.Call, waited clock.Millis) *request.Refusal {
	wait := jitter(c.Request.ID, max(waited, minRetryAfter))
	return request.Refuse(request.ReasonOverloaded, wait, "the upstreams have no room")
}

// NoUpstream refuses a call because nothing that may get new work serves it.
func NoUpstream(c *request.Call) *request.Refusal {
	wait := jitter(c.Request.ID, clock.Second)
	return request.Refuse(request.ReasonNoUpstream, wait, "no upstream that may get new work serves this")
}
