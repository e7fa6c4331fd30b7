package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// budgetWindow is the length of the window over which requests are counted, in milliseconds; their number bounds how many retries
	// a budget can accumulate.
	budgetWindow = 10 * clock.Second
	// minBurst is the smallest burst of a budget, in retries.
	minBurst = 1.0
)

// RetryBudget limits retries to a fraction of the requests; it is safe for concurrent use.
type RetryBudget struct {
	// Share is the number of retries that each request adds to the budget.
	Share float64
	// Burst is the number of retries available regardless of traffic; 0 means 1.
	Burst float64

	mu sync.Mutex
	// spent is the number of retries minus the deposits of requests; it starts at 0, so that the first request may be retried.
	spent float64
	// sent counts the requests since windowStart, sentPrevious those of the window before it.
	windowStart  clock.Millis
	sent         int
	sentPrevious int
}

// Deposit adds the share of one new request to the budget; it must not be called for retries.
func (b *RetryBudget) Deposit(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if age := now - b.windowStart; age >= budgetWindow {
		b.sentPrevious = b.sent
		if age >= 2*budgetWindow {
			b.sentPrevious = 0
		}
		b.windowStart, b.sent = now, 0
	}
	b.sent++
	maxSaved := max(b.burst(), b.Share*float64(max(b.sent, b.sentPrevious)))
	b.spent = max(b.burst()-maxSaved, b.spent-b.Share)
}

// Exhausted reports whether no retry is available.
func (b *RetryBudget) Exhausted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exhausted()
}

func (b *RetryBudget) exhausted() bool { return b.spent > b.burst()-1 }

// TryWithdraw takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.exhausted() {
		return false
	}
	b.spent++
	return true
}

func (b *RetryBudget) burst() float64 { return max(minBurst, b.Burst) }
