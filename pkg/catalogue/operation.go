package catalogue

import "carawayknot.example/carawayknot/pkg/clock"

// Operation is an operator's request under one key; exactly one of the fields after Removed is set, or none if it was removed.
type Operation struct {
	// Key identifies the subject of the operation.
	Key     string
	Kind    OperationKind
	Removed bool
	// Table is a new configuration of routes, and Value its encoded record, for other instances.
	Table *RouteTable
	Value []byte
	// Order requests the rollout of a release at a service.
	Order *ReleaseOrder
	// Zone is the availability zone to exclude from new work.
	Zone string
}

// OperationKind is the kind of an Operation, which says which field is set.
type OperationKind string

// The kinds of operations, which set Table, Order and Zone.
const (
	OperationTable   OperationKind = "Table"
	OperationRelease OperationKind = "Release"
	OperationZoneOut OperationKind = "ZoneOut"
)

// Listing is an update of an upstream's entry in the platform's list, or the removal of the entry.
type Listing struct {
	Name    string
	Removed bool
	// Upstream is nil when the entry is removed.
	Upstream *Upstream
	// ColdFor is the remaining duration of the cold start at the time of the entry, in milliseconds.
	ColdFor clock.Millis
	// Sequence counts the entries of one incarnation of the upstream.
	Sequence int64
}

// ReleaseStatus is the state of a release rollout as recorded for operators.
type ReleaseStatus struct {
	Service string
	Target  string
	State   ReleaseState
	Removed bool
	// Started is true when StartedAt is known. StartedAt is the monotonic time at which the rollout started, which is negative on an
	// instance that started later than the rollout.
	Started   bool
	StartedAt clock.Millis
}
