package desk

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Operators is what the admin API needs of an instance.
type Operators interface {
	// Apply brings a change into force and tells how far it has come.
	Apply(ctx context.Context, ch *catalogue.Change) (catalogue.Receipt, error)
	// Snapshot returns the newest snapshot, nil before the first.
	Snapshot() *catalogue.Snapshot
	// Dump returns everything this instance knows, to be written as JSON.
	Dump(ctx context.Context) any
	// DumpAll returns the dumps of all instances by name.
	DumpAll(ctx context.Context) map[string]any
}

// Bills finds the bill of a request.
type Bills interface {
	// Bill returns the bill to be written as JSON, and whether there is one.
	Bill(ctx context.Context, requestID string) (bill any, found bool, err error)
}
