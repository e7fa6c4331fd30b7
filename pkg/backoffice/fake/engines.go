package fake

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// OrderLog has the orders that an engine accepted; it is safe for concurrent use.
type OrderLog struct {
	mu     sync.Mutex
	newest int64
	orders []backoffice.Order
}

// Accept records an order and returns false if it repeats the ID of an earlier one; unless ignoreFence is set, an order with an
// outdated fencing token fails with *backoffice.FencedError.
func (l *OrderLog) Accept(o backoffice.Order, ignoreFence bool) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Fence < l.newest && !ignoreFence {
		return false, &backoffice.FencedError{Fence: o.Fence, Newest: l.newest}
	}
	l.newest = max(l.newest, o.Fence)
	repeated := slices.ContainsFunc(l.orders, func(old backoffice.Order) bool { return old.ID == o.ID })
	if !repeated {
		l.orders = append(l.orders, o)
	}
	return !repeated, nil
}

// Orders returns the accepted orders in order of arrival, without repetitions.
func (l *OrderLog) Orders() []backoffice.Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.orders)
}

// Engine is a fake of the control API of one engine; it is safe for concurrent use.
type Engine struct {
	faultInjector
	Orders OrderLog

	mu          sync.Mutex
	report      backoffice.LoadReport
	events      []backoffice.CacheEvent
	next        int64
	ignoreFence bool
	requests    map[string]bool
}

// SetLoadReport sets the report that Engines.Load returns.
func (e *Engine) SetLoadReport(r backoffice.LoadReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = r
}

// IgnoreFence makes the engine accept orders with outdated fencing tokens.
func (e *Engine) IgnoreFence(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignoreFence = on
}

// AddCacheEvent appends a cache event and sets CacheEvents.Next to the sequence number after it.
func (e *Engine) AddCacheEvent(event backoffice.CacheEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events, e.next = append(e.events, event), event.Seq+1
}

// AddRequest makes the engine hold a request until it is cancelled.
func (e *Engine) AddRequest(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requests == nil {
		e.requests = map[string]bool{}
	}
	e.requests[requestID] = true
}

// HasRequest reports whether the engine holds a request.
func (e *Engine) HasRequest(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[requestID]
}

// Engines is a fake of the control API of engines at their addresses; it is safe for concurrent use.
type Engines struct {
	Clock clock.Clock

	mu      sync.Mutex
	engines map[string]*Engine
}

// Add adds an engine at an address (host:port), replacing one that was there, and returns it.
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

// reach returns the engine at an address, unless none is there or its faults prevent the call.
func (s *Engines) reach(ctx context.Context, address string) (*Engine, error) {
	s.mu.Lock()
	e := s.engines[address]
	s.mu.Unlock()
	if e == nil {
		return nil, &backoffice.UnavailableError{Service: "engine " + address, Cause: errors.New("connection refused")}
	}
	return e, e.faultInjector.before(ctx, s.Clock, "engine "+address)
}

// Load returns the load report of the engine; its error is *backoffice.UnavailableError.
func (s *Engines) Load(ctx context.Context, address string) (backoffice.LoadReport, error) {
	e, err := s.reach(ctx, address)
	if err != nil {
		return backoffice.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, nil
}

// CacheEvents returns the cache events, starting at sequence number from; its error is *backoffice.UnavailableError.
func (s *Engines) CacheEvents(ctx context.Context, address string, from int64) (backoffice.CacheEvents, error) {
	e, err := s.reach(ctx, address)
	if err != nil {
		return backoffice.CacheEvents{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := backoffice.CacheEvents{Next: max(from, e.next)}
	for _, event := range e.events {
		if event.Seq >= from {
			out.Events = append(out.Events, event)
		}
	}
	return out, nil
}

// Order sends the engine an order; its errors are *backoffice.FencedError and *backoffice.UnavailableError.
func (s *Engines) Order(ctx context.Context, address string, o backoffice.Order) error {
	e, err := s.reach(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	ignoreFence := e.ignoreFence
	e.mu.Unlock()
	_, err = e.Orders.Accept(o, ignoreFence)
	var fenced *backoffice.FencedError
	if errors.As(err, &fenced) {
		fenced.Engine = address
	}
	if lostErr := e.after("engine " + address); lostErr != nil {
		return lostErr
	}
	return err
}

// Cancel makes the engine drop a request, or retain it for resumption if keep is set; its error is *backoffice.UnavailableError.
func (s *Engines) Cancel(ctx context.Context, address, requestID string, keep bool) error {
	e, err := s.reach(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	if !keep {
		delete(e.requests, requestID)
	}
	e.mu.Unlock()
	return e.after("engine " + address)
}
