package concierge

import "sync"

// retryBurst bounds the retries that may be saved up.
const retryBurst = 10.0

// RetryBudget bounds the sends beyond the first to a share of the requests; it is safe for concurrent use.
type RetryBudget struct {
	// Share is how many retries each request adds to the budget.
	Share float64

	mu     sync.Mutex
	saved  float64
	denied int
}

// Add counts a request.
func (b *RetryBudget) Add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(retryBurst, b.saved+b.Share)
}

// Take spends one retry and tells whether the budget had it.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		b.denied++
		return false
	}
	b.saved--
	return true
}
