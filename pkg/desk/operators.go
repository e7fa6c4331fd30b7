package desk

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Operators is the part of an instance that the admin API uses.
type Operators interface {
	// Apply applies a change and returns a receipt of how far it has taken effect.
	Apply(ctx context.Context, ch *catalogue.Change) (catalogue.Receipt, error)
	// Snapshot returns the newest snapshot, or nil before the first one.
	Snapshot() *catalogue.Snapshot
	// Dump returns the state of this instance, to be encoded as JSON.
	Dump(ctx context.Context) any
	// DumpAll returns the dumps of all instances, by name.
	DumpAll(ctx context.Context) map[string]any
}

// Bills looks up the bills of requests.
type Bills interface {
	// Bill returns the bill, to be encoded as JSON, and whether there is one.
	Bill(ctx context.Context, requestID string) (bill any, found bool, err error)
}
