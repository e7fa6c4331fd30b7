package concierge

import "sync"

// retryBurst bounds the retries that may be saved up; a new budget starts with that many, so that one faulty upstream costs
// no answer while there are few requests.
const retryBurst = 10.0

// RetryBudget bounds the sends beyond the first to a share of the requests; it is safe for concurrent use.
type RetryBudget struct {
	// Share is how many retries each request adds to the budget.
	Share float64

	mu sync.Mutex
	// spent is what is missing from retryBurst.
	spent  float64
	denied int
}

// Add counts a request.
func (b *RetryBudget) Add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Share)
}

// Take spends one retry and tells whether the budget had it.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent > retryBurst-1 {
		b.denied++
		return false
	}
	b.spent++
	return true
}
