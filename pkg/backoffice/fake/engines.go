package fake

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// OrderBook is how an engine takes orders; it is safe for concurrent use.
type OrderBook struct {
	mu     sync.Mutex
	newest int64
	orders []backoffice.Order
}

// Take takes an order and returns true when it is a new one.
// Unless the book ignores fencing numbers, an old one gets a *backoffice.FencedError.
func (b *OrderBook) Take(o backoffice.Order, ignoreFence bool) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Fence < b.newest && !ignoreFence {
		return false, &backoffice.FencedError{Fence: o.Fence, Newest: b.newest}
	}
	b.newest = max(b.newest, o.Fence)
	known := slices.ContainsFunc(b.orders, func(old backoffice.Order) bool { return old.ID == o.ID })
	if !known {
		b.orders = append(b.orders, o)
	}
	return !known, nil
}

// Orders returns the orders that were taken, each once.
func (b *OrderBook) Orders() []backoffice.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.orders)
}

// Engine is the control side of one engine.
type Engine struct {
	gate
	Orders OrderBook

	mu          sync.Mutex
	report      backoffice.LoadReport
	events      []backoffice.CacheEvent
	next        int64
	ignoreFence bool
	requests    map[string]bool
}

// SetReport sets what the engine reports of itself.
func (e *Engine) SetReport(r backoffice.LoadReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = r
}

// IgnoreFence makes the engine obey orders with old fencing numbers.
func (e *Engine) IgnoreFence(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignoreFence = on
}

// Publish adds a cache event; the next one has a number above its own.
func (e *Engine) Publish(ev backoffice.CacheEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events, e.next = append(e.events, ev), ev.Seq+1
}

// Hold lets the engine hold a request.
func (e *Engine) Hold(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requests == nil {
		e.requests = map[string]bool{}
	}
	e.requests[requestID] = true
}

// Holds tells whether the engine holds the request.
func (e *Engine) Holds(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[requestID]
}

// Engines is a fake of the control side of engines, by address.
type Engines struct {
	Clock clock.Clock

	mu      sync.Mutex
	engines map[string]*Engine
}

// Add puts an engine at an address.
func (s *Engines) Add(address string) *Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines == nil {
		s.engines = map[string]*Engine{}
	}
	e := &Engine{}
	s.engines[address] = e
	return e
}

// enter returns the engine at an address, unless it is down.
func (s *Engines) enter(ctx context.Context, address string) (*Engine, error) {
	s.mu.Lock()
	e := s.engines[address]
	s.mu.Unlock()
	if e == nil {
		return nil, &backoffice.UnavailableError{Service: "engine " + address, Cause: errors.New("connection refused")}
	}
	return e, e.gate.enter(ctx, s.Clock, "engine "+address)
}

// Load returns what the engine reports of itself; its error is *backoffice.UnavailableError.
func (s *Engines) Load(ctx context.Context, address string) (backoffice.LoadReport, error) {
	e, err := s.enter(ctx, address)
	if err != nil {
		return backoffice.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, nil
}

// CacheEvents returns the cache events from a number on; its error is *backoffice.UnavailableError.
func (s *Engines) CacheEvents(ctx context.Context, address string, from int64) (backoffice.CacheEvents, error) {
	e, err := s.enter(ctx, address)
	if err != nil {
		return backoffice.CacheEvents{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := backoffice.CacheEvents{Next: max(from, e.next)}
	for _, ev := range e.events {
		if ev.Seq >= from {
			out.Events = append(out.Events, ev)
		}
	}
	return out, nil
}

// Order gives the engine an order; its errors are *backoffice.FencedError and *backoffice.UnavailableError.
func (s *Engines) Order(ctx context.Context, address string, o backoffice.Order) error {
	e, err := s.enter(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	ignore := e.ignoreFence
	e.mu.Unlock()
	_, err = e.Orders.Take(o, ignore)
	var fenced *backoffice.FencedError
	if errors.As(err, &fenced) {
		fenced.Engine = address
	}
	if lost := e.leave("engine " + address); lost != nil {
		return lost
	}
	return err
}

// Cancel makes the engine let go of a request, or only stop it with keep; its error is *backoffice.UnavailableError.
func (s *Engines) Cancel(ctx context.Context, address, requestID string, keep bool) error {
	e, err := s.enter(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	if !keep {
		delete(e.requests, requestID)
	}
	e.mu.Unlock()
	return e.leave("engine " + address)
}
