package catalogue

import "carawayknot.example/carawayknot/pkg/clock"

// Operation is what operators ask for under one key; exactly one of the fields after Removed is set unless it is removed.
type Operation struct {
	// Key names what the operation is about.
	Key     string
	Kind    OperationKind
	Removed bool
	// Table is a new configuration.
	Table *RouteTable
	// Order asks for the move of a service to a release.
	Order *ReleaseOrder
	// Zone is an availability zone that is to get no new work.
	Zone string
}

// OperationKind tells operations apart.
type OperationKind string

// The kinds of operations.
const (
	OperationTable   OperationKind = "Table"
	OperationRelease OperationKind = "Release"
	OperationZoneOut OperationKind = "ZoneOut"
)

// Listing is an upstream's entry in the platform's list, or its removal.
type Listing struct {
	Name    string
	Removed bool
	// Upstream is nil when the entry is removed.
	Upstream *Upstream
	// ColdFor is how much longer the upstream stays cold, in milliseconds, as of the entry.
	ColdFor clock.Millis
}

// ReleaseStatus is the state of a move as it is recorded for operators.
type ReleaseStatus struct {
	Service string
	Target  string
	State   ReleaseState
	Removed bool
	// Started is true when the status tells when the move began, and StartedAt is that monotonic time; it is negative for an
	// instance that was started later.
	Started   bool
	StartedAt clock.Millis
}
