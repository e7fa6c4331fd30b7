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
func (f *InFlightLimiter) Acquire(upstream string, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[upstream] >= limit {
		return false
	}
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[upstream]++
	return true
}

// Release ends a request for which Acquire returned true.
func (f *InFlightLimiter) Release(upstream string) {
	f.decrement(upstream)
	if f.OnRelease != nil {
		f.OnRelease()
	}
}

func (f *InFlightLimiter) decrement(upstream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[upstream]--
	if f.counts[upstream] <= 0 {
		delete(f.counts, upstream)
	}
}

// InFlight returns the number of this instance's requests in flight at the upstream.
func (f *InFlightLimiter) InFlight(upstream string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[upstream]
}

// Counts returns a copy of the numbers of requests in flight by upstream, without zeros.
func (f *InFlightLimiter) Counts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int, len(f.counts))
	for name, n := range f.counts {
		counts[name] = n
	}
	return counts
}
