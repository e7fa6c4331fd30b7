package courier

import "sync"

// Budget bounds the bytes of answers that are held for readers; it is safe for concurrent use.
type Budget struct {
	// Total bounds the bytes over all requests.
	Total int64
	// PerRequest bounds the bytes of one request.
	PerRequest int64
	// Gauge is told the bytes held after each change; it is optional.
	Gauge func(held int64)

	mu   sync.Mutex
	used int64
	peak int64
}

// Take reserves n bytes for a request that holds own bytes already, and tells whether there was room.
// A request may hold no more than what is free, so that many slow readers always leave room for a further one.
func (b *Budget) Take(own, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.Total - b.used
	if n > free || own+n > b.PerRequest {
		return false
	}
	if own > 0 && own+n > free {
		return false
	}
	b.set(b.used + n)
	return true
}

// Give returns n reserved bytes.
func (b *Budget) Give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(b.used - n)
}

// Held returns the bytes that are reserved now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Peak returns the most bytes that were ever reserved at once.
func (b *Budget) Peak() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

func (b *Budget) set(used int64) {
	b.used = used
	b.peak = max(b.peak, used)
	if b.Gauge != nil {
		b.Gauge(used)
	}
}

// share returns the most bytes that a request which holds own bytes may hold now.
func (b *Budget) share(own int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(b.PerRequest, b.Total-b.used+own)
}
