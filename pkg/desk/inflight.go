package desk

import (
	"context"
	"sync"
)

// InFlight counts the requests being served; it is safe for concurrent use.
type InFlight struct {
	mu sync.Mutex
	n  int
	// drained is closed when the last request ends; it is nil while nobody waits.
	drained chan struct{}
}

// TryAcquire adds a request if fewer than limit are in flight, and reports whether it did.
func (f *InFlight) TryAcquire(limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n >= limit {
		return false
	}
	f.n++
	return true
}

// Release removes a request that TryAcquire added.
func (f *InFlight) Release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.drained != nil {
		close(f.drained)
		f.drained = nil
	}
}

// Count returns the number of requests in flight.
func (f *InFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// Wait blocks until no request is in flight, or returns the error of ctx.
func (f *InFlight) Wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.drained == nil {
		f.drained = make(chan struct{})
	}
	drained := f.drained
	f.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
