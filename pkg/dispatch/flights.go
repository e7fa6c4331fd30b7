package dispatch

import "sync"

// Flights counts this instance's own requests in flight by upstream; it is safe for concurrent use.
type Flights struct {
	// OnRelease, if set, is called after each release.
	OnRelease func()

	mu     sync.Mutex
	counts map[string]int
}

// Acquire counts one more request at the upstream unless it has share of them already.
func (f *Flights) Acquire(upstream string, share int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[upstream] >= share {
		return false
	}
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[upstream]++
	return true
}

// Release ends a request that was acquired.
func (f *Flights) Release(upstream string) {
	f.drop(upstream)
	if f.OnRelease != nil {
		f.OnRelease()
	}
}

func (f *Flights) drop(upstream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[upstream]--
	if f.counts[upstream] <= 0 {
		delete(f.counts, upstream)
	}
}

// InFlight returns the requests in flight at the upstream.
func (f *Flights) InFlight(upstream string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[upstream]
}

// Counts returns a copy of all counts that are not zero.
func (f *Flights) Counts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int, len(f.counts))
	for name, n := range f.counts {
		counts[name] = n
	}
	return counts
}
