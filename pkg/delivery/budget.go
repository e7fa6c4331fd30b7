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

// TryAcquire acquires n more bytes if there is room and reports whether it did; above its floor, a request never gets more than
// what is still free, so that slow readers leave room for others.
func (a *Allocation) TryAcquire(n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if aboveFloor := a.held + n - a.floor; aboveFloor > 0 && (aboveFloor > b.freeAboveFloor() || a.held+n > b.PerRequest) {
		return false
	}
	a.setHeld(a.held + n)
	return true
}

// freeAboveFloor returns the bytes that may still be acquired above floors; half of the total is kept for the floors of new
// requests.
func (b *Budget) freeAboveFloor() int64 {
	return min(b.Total-b.reserved, b.Total/2-b.aboveFloor)
}

// Release releases n bytes.
func (a *Allocation) Release(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.setHeld(a.held - n)
}

// Close releases all bytes and the floor; it may be called more than once.
func (a *Allocation) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.setHeld(0)
	a.budget.reserved -= a.floor
	a.floor = 0
}

// LowerFloor lowers the floor to n bytes if it is higher.
func (a *Allocation) LowerFloor(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= a.floor {
		return
	}
	reserved, aboveFloor := max(a.held, a.floor), max(a.held-a.floor, 0)
	a.floor = n
	b.reserved += max(a.held, a.floor) - reserved
	b.aboveFloor += max(a.held-a.floor, 0) - aboveFloor
}

// HalfEmpty reports whether the request uses at most half of the bytes that it may use.
func (a *Allocation) HalfEmpty() bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	share := a.floor + min(max(b.PerRequest-a.floor, 0), b.freeAboveFloor()+max(a.held-a.floor, 0))
	return a.held <= share/2
}

// setHeld sets the bytes in use and adjusts the budget's totals; the budget must be locked.
func (a *Allocation) setHeld(held int64) {
	b := a.budget
	growth := max(held, a.floor) - max(a.held, a.floor)
	b.reserved += growth
	b.aboveFloor += growth
	b.held += held - a.held
	b.peak = max(b.peak, b.held)
	a.held = held
}
