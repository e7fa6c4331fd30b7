package backoffice

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// LoadReport is what an upstream reports of itself; it lags behind.
type LoadReport struct {
	InFlight int
	Queued   int
	// Bearable is how many requests the upstream bears at once.
	Bearable int
	Cold     bool
	// HeldBytes counts the bytes of answers that were not read yet.
	HeldBytes int64
	// FirstTokenTime and TokenTime are means, in milliseconds.
	FirstTokenTime float64
	TokenTime      float64
}

// CacheEvent tells that an engine took up or dropped a prompt prefix.
type CacheEvent struct {
	Seq int64
	// Prefix is the xxhash of the prefix.
	Prefix  uint64
	Dropped bool
}

// CacheEvents is a piece of an engine's stream of cache events; a jump in Seq is a gap.
type CacheEvents struct {
	Events []CacheEvent
	Next   int64
}

// OrderKind names what an engine is told to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "Load"
	OrderUnload OrderKind = "Unload"
	OrderRole   OrderKind = "Role"
)

// Order tells an engine to load or unload a version or to change its role.
type Order struct {
	ID string
	// Fence is the fencing number of the lease under which the order is given.
	Fence   int64
	Kind    OrderKind
	Version catalogue.VersionID `json:",omitempty"`
	Role    string              `json:",omitempty"`
}

// FencedError says that an engine refused an order with an old fencing number.
type FencedError struct {
	Engine string
	Fence  int64
	Newest int64
}

// Error tells the numbers.
func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s refused order with fencing number %d, it has seen %d", e.Engine, e.Fence, e.Newest)
}
