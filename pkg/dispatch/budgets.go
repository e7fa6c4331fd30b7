package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// budgetBurst is how many sends beyond the first an instance may do at once; 9 instances stay with that far below the 54 that
// the users' rules allow on top of the share.
const budgetBurst = 3

// Budgets has a retry budget for each service; it is safe for concurrent use.
type Budgets struct {
	// Share is how many sends beyond the first each request adds to the budget of its service.
	Share float64

	mu       sync.Mutex
	services map[string]*RetryBudget
}

// Add counts a request that is sent to a service for the first time.
func (b *Budgets) Add(service string, now clock.Millis) { b.of(service).Add(now) }

// Take spends one further send and tells whether the budget of the service had it.
func (b *Budgets) Take(service string) bool { return b.of(service).Take() }

func (b *Budgets) of(service string) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	if r == nil {
		if b.services == nil {
			b.services = map[string]*RetryBudget{}
		}
		r = &RetryBudget{Share: b.Share, Burst: budgetBurst}
		b.services[service] = r
	}
	return r
}
