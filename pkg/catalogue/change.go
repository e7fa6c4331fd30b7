package catalogue

import (
	"encoding/json"
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// StreamName is the log stream of the configuration, whose records are of type Record.
const StreamName = "configuration"

// Kind is the kind of a configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindWorkspace Kind = "Workspace"
	KindProfile   Kind = "Profile"
	KindVersion   Kind = "Version"
	KindRollout   Kind = "Rollout"
	KindZone      Kind = "Zone"
	KindUpstream  Kind = "Upstream"
	KindService   Kind = "Service"
)

// ObjectKey identifies one configuration object.
type ObjectKey struct {
	Kind Kind
	Name string
}

// Revision is the number of a record of the configuration stream, counted from 1; 0 means before the first record.
type Revision int64

// Change is an atomic set of edits: it takes effect as a whole or is refused as a whole.
type Change struct {
	// ID is the idempotency key of the change: one that was appended twice takes effect once.
	ID     string
	Author string
	At     clock.Millis
	Note   string
	// AsOf is the sender's revision. A change from before the retained history might be a duplicate and is refused.
	AsOf  Revision `json:",omitempty"`
	Edits []Edit
}

// Edit creates, replaces or removes one object.
type Edit struct {
	Kind Kind
	Name string
	// Base is the object's revision on which the edit is based; 0 when the object did not exist.
	Base Revision
	// AnyBase disables the check of Base.
	AnyBase bool `json:",omitempty"`
	Remove  bool `json:",omitempty"`
	// Object is the complete new object as JSON.
	Object json.RawMessage `json:",omitempty"`
}

// Record is one record of the configuration stream; exactly one of its fields is set.
type Record struct {
	Change     *Change     `json:",omitempty"`
	Checkpoint *Checkpoint `json:",omitempty"`
}

// Checkpoint carries the state as of a revision, so that older records can be trimmed from the log.
type Checkpoint struct {
	State *State
}

// ChangeResult is the recorded outcome of a change, whether it took effect or was refused.
type ChangeResult struct {
	ID       string
	Revision Revision
	Author   string
	At       clock.Millis
	Note     string
	// Refused is the reason of a refusal; it is empty for a change that took effect.
	Refused string `json:",omitempty"`
}

// ExpiredError means that a change is older than the retained history, so that it can't be distinguished from a duplicate.
type ExpiredError struct {
	AsOf  Revision
	Floor Revision
}

// Error includes both revisions.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the change was sent at revision %d, the history up to %d is no longer kept", e.AsOf, e.Floor)
}

// ConflictError means that an object has changed since the revision on which a change is based.
type ConflictError struct {
	Key  ObjectKey
	Base Revision
	Now  Revision
}

// Error includes the object and both of its revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s is at revision %d, the change is based on %d", e.Key.Kind, e.Key.Name, e.Now, e.Base)
}

// InvalidError means that a field of a change or an object has an invalid value; Want says which values are valid.
type InvalidError struct {
	Key   ObjectKey
	Field string
	Want  string
}

// Error includes the object, the field and what it should be.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %s: field %s: want %s", e.Key.Kind, e.Key.Name, e.Field, e.Want)
}
