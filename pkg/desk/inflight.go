package desk

import (
	"context"
	"sync"
)

// InFlight counts the requests that are being served; it is safe for concurrent use.
type InFlight struct {
	mu    sync.Mutex
	n     int
	empty chan struct{}
}

// Enter counts one more request when there are fewer than limit, and tells whether it did.
func (f *InFlight) Enter(limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n >= limit {
		return false
	}
	f.n++
	return true
}

// Leave counts one request less.
func (f *InFlight) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.empty != nil {
		close(f.empty)
		f.empty = nil
	}
}

// Count returns the number of requests.
func (f *InFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// Wait returns once no request is being served, or with the error of ctx.
func (f *InFlight) Wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.empty == nil {
		f.empty = make(chan struct{})
	}
	empty := f.empty
	f.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
