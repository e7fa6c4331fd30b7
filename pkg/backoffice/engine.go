package backoffice

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// LoadReport is the load that an upstream reports of itself, as of some time ago.
type LoadReport struct {
	InFlight int
	Queued   int
	// Bearable is the number of concurrent requests that the upstream can handle.
	Bearable int
	// Cold is true during a cold start.
	Cold bool
	// HeldBytes counts the bytes of answers that are buffered for slow readers.
	HeldBytes int64
	// FirstTokenTime is the mean time to the first token, TokenTime the mean time between tokens, both in milliseconds.
	FirstTokenTime float64
	TokenTime      float64
}

// CacheEvent reports that an engine added a prompt prefix to its cache or evicted it (Dropped).
type CacheEvent struct {
	Seq int64
	// Prefix is the xxhash of the prompt prefix.
	Prefix  uint64
	Dropped bool
}

// CacheEvents is one page of an engine's cache events, in which a jump of Seq shows that events were lost.
type CacheEvents struct {
	Events []CacheEvent
	// Next is the sequence number from which to read the following page.
	Next int64
}

// OrderKind is the action that an order asks of an engine.
type OrderKind string

// The kinds of orders that engines carry out.
const (
	OrderLoad   OrderKind = "Load"
	OrderUnload OrderKind = "Unload"
	OrderRole   OrderKind = "Role"
)

// Order instructs an engine to load or unload a version or to change its role.
type Order struct {
	// ID identifies the order, so that the engine carries out a repeated one only once.
	ID string
	// Fence is the fencing token of the lease that the sender holds.
	Fence   int64
	Kind    OrderKind
	Version catalogue.VersionID `json:",omitempty"`
	Role    string              `json:",omitempty"`
}

// FencedError reports that an engine rejected an order whose fencing token is older than the newest one it has seen.
type FencedError struct {
	Engine string
	Fence  int64
	Newest int64
}

// Error names the engine and both fencing tokens.
func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s rejected an order with fencing token %d, it has already seen %d", e.Engine, e.Fence, e.Newest)
}
