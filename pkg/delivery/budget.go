package delivery

import "sync"

// Budget bounds the bytes of answers that are held for readers; it is safe for concurrent use.
type Budget struct {
	// Total bounds the bytes over all requests.
	Total int64
	// PerRequest bounds the bytes of one request.
	PerRequest int64

	mu sync.Mutex
	// reserved counts the floors and what is held above them, above only the latter.
	reserved int64
	above    int64
	held     int64
	peak     int64
}

// Hold is what one request holds of a budget.
type Hold struct {
	budget *Budget
	floor  int64
	held   int64
}

// Open reserves floor bytes that the holder can count on, and tells whether there was room for them.
func (b *Budget) Open(floor int64) (*Hold, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserved+floor > b.Total {
		return nil, false
	}
	b.reserved += floor
	return &Hold{budget: b, floor: floor}, true
}

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Peak returns the most bytes that were ever held at once.
func (b *Budget) Peak() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// Take holds n more bytes, and tells whether there was room.
// Above its floor a request may hold no more than what is free, so that slow readers leave room for others.
func (h *Hold) Take(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if above := h.held + n - h.floor; above > 0 && (above > b.free() || h.held+n > b.PerRequest) {
		return false
	}
	h.set(h.held + n)
	return true
}

// free returns the bytes that may still be held above floors; half of the total is kept for the floors of new requests.
func (b *Budget) free() int64 {
	return min(b.Total-b.reserved, b.Total/2-b.above)
}

// Give returns n held bytes.
func (h *Hold) Give(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.set(h.held - n)
}

// Close returns all that is held, and the floor; a closed hold may be closed again.
func (h *Hold) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.set(0)
	h.budget.reserved -= h.floor
	h.floor = 0
}

// Shrink lowers the reserved floor to n bytes, where it is higher.
func (h *Hold) Shrink(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= h.floor {
		return
	}
	reserved, above := max(h.held, h.floor), max(h.held-h.floor, 0)
	h.floor = n
	b.reserved += max(h.held, h.floor) - reserved
	b.above += max(h.held-h.floor, 0) - above
}

// Drained tells whether at most half of what the request may hold is held.
func (h *Hold) Drained() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	share := h.floor + min(max(b.PerRequest-h.floor, 0), b.free()+max(h.held-h.floor, 0))
	return h.held <= share/2
}

// set changes what is held, and what is reserved with it.
func (h *Hold) set(held int64) {
	b := h.budget
	more := max(held, h.floor) - max(h.held, h.floor)
	b.reserved += more
	b.above += more
	b.held += held - h.held
	b.peak = max(b.peak, b.held)
	h.held = held
}
