package delivery

import "sync"

// Budget bounds the bytes of request and response bodies held in memory; it is safe for concurrent use.
type Budget struct {
	// Total bounds the bytes over all requests.
	Total int64
	// PerRequest bounds the bytes of one request.
	PerRequest int64

	mu sync.Mutex
	// reserved counts the floors plus the bytes held above them; aboveFloor counts only the latter.
	reserved   int64
	aboveFloor int64
	held       int64
	peak       int64
}

// Allocation is the share of a budget that one request uses: a guaranteed floor, and bytes above it while there is room.
type Allocation struct {
	budget *Budget
	floor  int64
	held   int64
}

// Reserve reserves floor bytes as a guaranteed minimum and reports whether there was room for them.
func (b *Budget) Reserve(floor int64) (*Allocation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserved+floor > b.Total {
		return nil, false
	}
	b.reserved += floor
	return &Allocation{budget: b, floor: floor}, true
}

// Held returns the number of bytes in use now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Peak returns the largest number of bytes in use at any time so far.
func (b *Budget) Peak() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// TryAcquire acquires n more bytes if there is room and reports whether it did; above its floor, a request never gets more than what
// is still free, so that slow readers leave room for others.
func (h *Allocation) TryAcquire(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if aboveFloor := h.held + n - h.floor; aboveFloor > 0 && (aboveFloor > b.freeAboveFloor() || h.held+n > b.PerRequest) {
		return false
	}
	h.setHeld(h.held + n)
	return true
}

// freeAboveFloor returns the bytes that may still be acquired above floors; half of the total is kept for the floors of new
// requests.
func (b *Budget) freeAboveFloor() int64 {
	return min(b.Total-b.reserved, b.Total/2-b.aboveFloor)
}

// Release releases n bytes.
func (h *Allocation) Release(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.setHeld(h.held - n)
}

// Close releases all bytes and the floor; it may be called more than once.
func (h *Allocation) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.setHeld(0)
	h.budget.reserved -= h.floor
	h.floor = 0
}

// LowerFloor lowers the floor to n bytes if it is higher.
func (h *Allocation) LowerFloor(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= h.floor {
		return
	}
	reserved, aboveFloor := max(h.held, h.floor), max(h.held-h.floor, 0)
	h.floor = n
	b.reserved += max(h.held, h.floor) - reserved
	b.aboveFloor += max(h.held-h.floor, 0) - aboveFloor
}

// HalfEmpty reports whether the request uses at most half of the bytes that it may use.
func (h *Allocation) HalfEmpty() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	share := h.floor + min(max(b.PerRequest-h.floor, 0), b.freeAboveFloor()+max(h.held-h.floor, 0))
	return h.held <= share/2
}

// setHeld sets the bytes in use and adjusts the budget's totals; the budget must be locked.
func (h *Allocation) setHeld(held int64) {
	b := h.budget
	growth := max(held, h.floor) - max(h.held, h.floor)
	b.reserved += growth
	b.aboveFloor += growth
	b.held += held - h.held
	b.peak = max(b.peak, b.held)
	h.held = held
}
