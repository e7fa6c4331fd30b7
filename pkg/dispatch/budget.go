package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// budgetWindow is the time whose requests may save up retries, in milliseconds.
	budgetWindow = 10 * clock.Second
	// leastBurst is how many retries may be saved up however few requests there are.
	leastBurst = 1.0
)

// RetryBudget bounds the sends beyond the first to a share of the requests that were sent; it is safe for concurrent use.
type RetryBudget struct {
	// Share is how many retries each request adds to the budget.
	Share float64
	// Burst is how many retries may be saved up however few requests there are; 0 stands for one.
	Burst float64

	mu sync.Mutex
	// spent is what retries took, less what requests added since; it begins at 0, so that the first request may be retried.
	spent float64
	// sent counts the requests since start, and sentBefore those of the window before.
	start      clock.Millis
	sent       int
	sentBefore int
}

// Add counts a request that is sent for the first time.
func (b *RetryBudget) Add(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if age := now - b.start; age >= budgetWindow {
		b.sentBefore = b.sent
		if age >= 2*budgetWindow {
			b.sentBefore = 0
		}
		b.start, b.sent = now, 0
	}
	b.sent++
	most := max(b.burst(), b.Share*float64(max(b.sent, b.sentBefore)))
	b.spent = max(b.burst()-most, b.spent-b.Share)
}

// Take spends one retry and tells whether the budget had it.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent > b.burst()-1 {
		return false
	}
	b.spent++
	return true
}

func (b *RetryBudget) burst() float64 { return max(leastBurst, b.Burst) }
