package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// defaultRetryWindow is the length of the windows of a budget that sets none.
	defaultRetryWindow = 60 * clock.Second
	// retrySteps is the number of steps of a window, and retryHistory the windows of which requests and retries are kept.
	retrySteps   = 40
	retryHistory = 3
	// presentWeight is the weight of the requests of a window in what it allows; those of the window before it have the rest. Weights that
	// are the same for all instances and times let the allowances of instances add up.
	presentWeight = 0.7
	// minBurst is the smallest burst of a budget, in retries.
	minBurst = 1.0
)

// RetryBudget limits the retries in each window of time to a share of its requests and of those of the window before it; it is safe for
// concurrent use.
type RetryBudget struct {
	// Share is the number of retries that each request adds to the budget.
	Share float64
	// Window is the length of a window, in milliseconds; 0 means 60 s.
	Window clock.Millis
	// Burst returns the number of retries available regardless of traffic; nil means 1.
	Burst func(now clock.Millis) float64

	mu sync.Mutex
	// steps is a ring of counts; the step of a time is the number of step lengths since 0.
	steps [retrySteps * retryHistory]retryStep
	// reserved is the sum of what is set aside for retries that are reserved and not used yet.
	reserved float64
}

// retryStep has the requests and the retries of one step of time.
type retryStep struct {
	number            int64
	requests, retries float64
}

// Deposit adds the share of one new request to the budget; it must not be called for retries.
func (b *RetryBudget) Deposit(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.step(now).requests++
}

// Exhausted reports whether no retry is available.
func (b *RetryBudget) Exhausted(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.allows(now)
}

// TryWithdraw takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TryWithdraw(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now) {
		return false
	}
	b.step(now).retries++
	return true
}

// TryReserve sets a part of one retry aside and reports whether a whole one was available; UseReserved or Release must follow.
func (b *RetryBudget) TryReserve(part float64, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now) {
		return false
	}
	b.reserved += part
	return true
}

// UseReserved counts a retry of which a part was reserved as sent, and reports whether the rest was available.
func (b *RetryBudget) UseReserved(part float64, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= part
	if part < 1 && !b.allows(now) {
		return false
	}
	b.step(now).retries++
	return true
}

// Release returns a reserved retry that isn't needed.
func (b *RetryBudget) Release(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= part
}

// allows reports whether one more retry keeps within each window that contains now. The caller must hold mu.
func (b *RetryBudget) allows(now clock.Millis) bool {
	last := b.stepNumber(now)
	burst := b.burst(now)
	retries, requests := b.reserved, 0.0
	earlier := b.requestsBetween(last-retrySteps, last-1)
	for first := last; first > last-retrySteps; first-- {
		s := b.stepAt(first)
		retries += s.retries
		requests += s.requests
		if retries+1 > b.Share*(presentWeight*requests+(1-presentWeight)*earlier)+burst {
			return false
		}
		earlier += b.stepAt(first-1-retrySteps).requests - b.stepAt(first-1).requests
	}
	return true
}

// requestsBetween returns the requests of the steps from first to last.
func (b *RetryBudget) requestsBetween(first, last int64) float64 {
	sum := 0.0
	for i := first; i <= last; i++ {
		sum += b.stepAt(i).requests
	}
	return sum
}

func (b *RetryBudget) burst(now clock.Millis) float64 {
	if b.Burst == nil {
		return minBurst
	}
	return b.Burst(now)
}

func (b *RetryBudget) stepNumber(now clock.Millis) int64 {
	window := b.Window
	if window <= 0 {
		window = defaultRetryWindow
	}
	return int64(now / max(1, window/retrySteps))
}

// step returns the counts of the present step, to be changed. The caller must hold mu.
func (b *RetryBudget) step(now clock.Millis) *retryStep {
	number := b.stepNumber(now)
	s := &b.steps[ringIndex(number)]
	if s.number != number {
		*s = retryStep{number: number}
	}
	return s
}

// stepAt returns the counts of a step, which are 0 if nothing was counted then.
func (b *RetryBudget) stepAt(number int64) retryStep {
	if s := b.steps[ringIndex(number)]; s.number == number {
		return s
	}
	return retryStep{}
}

func ringIndex(number int64) int64 {
	const n = retrySteps * retryHistory
	return (number%n + n) % n
}
