package dispatch

import "sync"

// InFlightLimiter limits this instance's requests in flight at each upstream; it is safe for concurrent use.
type InFlightLimiter struct {
	// OnRelease, if set, is called after each Release, without a lock held.
	OnRelease func()

	mu     sync.Mutex
	counts map[string]int
}

// Acquire counts one more request at the upstream and returns true, unless limit requests are in flight there.
func (l *InFlightLimiter) Acquire(upstream string, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[upstream] >= limit {
		return false
	}
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[upstream]++
	return true
}

// Release ends a request for which Acquire returned true.
func (l *InFlightLimiter) Release(upstream string) {
	l.decrement(upstream)
	if l.OnRelease != nil {
		l.OnRelease()
	}
}

func (l *InFlightLimiter) decrement(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[upstream]--
	if l.counts[upstream] <= 0 {
		delete(l.counts, upstream)
	}
}

// InFlight returns the number of this instance's requests in flight at the upstream.
func (l *InFlightLimiter) InFlight(upstream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[upstream]
}

// Counts returns a copy of the numbers of requests in flight by upstream, without zeros.
func (l *InFlightLimiter) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.counts))
	for name, n := range l.counts {
		counts[name] = n
	}
	return counts
}
