package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// retryBurst is the number of retries that an instance may send in a burst; 9 instances together stay far below the 54 that the
// requirements allow on top of the share.
const retryBurst = 3

// RetryBudgets holds a retry budget for each service; it is safe for concurrent use.
type RetryBudgets struct {
	// Share is the number of retries that each request adds to the budget of its service.
	Share float64

	mu       sync.Mutex
	services map[string]*RetryBudget
}

// Deposit adds the share of one new request to the budget of the service; it must not be called for retries.
func (b *RetryBudgets) Deposit(service string, now clock.Millis) { b.budget(service).Deposit(now) }

// TryWithdraw takes one retry from the budget of the service and reports whether one was available.
func (b *RetryBudgets) TryWithdraw(service string) bool { return b.budget(service).TryWithdraw() }

func (b *RetryBudgets) budget(service string) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	if r == nil {
		if b.services == nil {
			b.services = map[string]*RetryBudget{}
		}
		r = &RetryBudget{Share: b.Share, Burst: retryBurst}
		b.services[service] = r
	}
	return r
}
