package dispatch

import (
	"sync"
	"sync/atomic"

	"carawayknot.example/carawayknot/pkg/clock"
)

// slackShare is the part of the slack that the instances share, and firstSlackShare that of instances in their first window, which don't know
// what they sent before they started. The rest covers instances that start more than once in a window, and lists of members that lag.
const (
	slackShare      = 0.5
	firstSlackShare = 0.25
)

// RetryBudgets holds a retry budget for each service, such that the instances together stay within a share of the requests and a slack in
// each window; it is safe for concurrent use. Its exported fields must be set before its first use.
type RetryBudgets struct {
	// Share is the number of retries that each request adds to the budget of its service.
	Share float64
	// Window is the length of a window, in milliseconds; 0 means 60 s.
	Window clock.Millis
	// Slack is the number of retries in a window that all instances together may send regardless of traffic.
	Slack float64
	// Members returns the number of instances, or 0 while it isn't known, for which minMembers is assumed; nil means that this is the only
	// one.
	Members func() int
	// StartedAt is when this instance started.
	StartedAt clock.Millis

	mu       sync.Mutex
	services map[string]*RetryBudget
}

// Deposit adds the share of one new request to the budget of the service; it must not be called for retries.
func (b *RetryBudgets) Deposit(service string, now clock.Millis) { b.budget(service).Deposit(now) }

// TryWithdraw takes one retry from the budget of the service and reports whether one was available.
func (b *RetryBudgets) TryWithdraw(service string, now clock.Millis) bool {
	return b.budget(service).TryWithdraw(now)
}

// Reserve returns a retry that is set aside from the budget of the service, or nil if none was available; its Close must be called.
func (b *RetryBudgets) Reserve(service string, now clock.Millis) *ReservedRetry {
	return b.ReservePart(service, 1, now)
}

// ReservePart is Reserve for a retry that only a part of those that reserve one will need, which is all that is set aside.
func (b *RetryBudgets) ReservePart(service string, part float64, now clock.Millis) *ReservedRetry {
	budget := b.budget(service)
	if !budget.TryReserve(part, now) {
		return nil
	}
	return &ReservedRetry{budget: budget, part: part}
}

func (b *RetryBudgets) budget(service string) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	if r == nil {
		if b.services == nil {
			b.services = map[string]*RetryBudget{}
		}
		r = &RetryBudget{Share: b.Share, Window: b.Window, Burst: b.burst}
		b.services[service] = r
	}
	return r
}

// burst returns the part of the slack that belongs to this instance.
func (b *RetryBudgets) burst(now clock.Millis) float64 {
	members := 1
	if b.Members != nil {
		members = b.Members()
	}
	if members == 0 {
		members = minMembers
	}
	share := slackShare
	if now-b.StartedAt < b.Window {
		share = firstSlackShare
	}
	return share * b.Slack / float64(members)
}

// ReservedRetry is a retry that was set aside before the attempt that it replaces was given up; it is safe for concurrent use.
type ReservedRetry struct {
	budget *RetryBudget
	// part is what was set aside of the retry.
	part float64
	// done is true once the retry was used or returned.
	done atomic.Bool
}

// Use counts the retry as sent and reports whether it was still reserved, and available if only a part of it was.
func (r *ReservedRetry) Use(now clock.Millis) bool {
	return !r.done.Swap(true) && r.budget.UseReserved(r.part, now)
}

// Close returns the retry to its budget unless it was used; r may be nil.
func (r *ReservedRetry) Close() {
	if r != nil && !r.done.Swap(true) {
		r.budget.Release(r.part)
	}
}
