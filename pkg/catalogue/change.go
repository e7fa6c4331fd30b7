package catalogue

import (
	"encoding/json"
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// StreamName is the log stream that carries the configuration.
const StreamName = "configuration"

// Kind is the kind of an object.
type Kind string

// The kinds of objects.
const (
	KindWorkspace Kind = "Workspace"
	KindProfile   Kind = "Profile"
	KindVersion   Kind = "Version"
	KindRollout   Kind = "Rollout"
	KindZone      Kind = "Zone"
	KindUpstream  Kind = "Upstream"
	KindService   Kind = "Service"
)

// ObjectKey names one object.
type ObjectKey struct {
	Kind Kind
	Name string
}

// Revision counts the records of the configuration stream up to and including one of them; 0 is before the first.
type Revision int64

// Change puts or removes objects, all or none of them.
type Change struct {
	// ID is unique; a change that was appended twice counts once.
	ID     string
	Author string
	At     clock.Millis
	Note   string
	// AsOf is the revision that the sender held; a change from before the kept history can't be proved new and is refused.
	AsOf  Revision `json:",omitempty"`
	Edits []Edit
}

// Edit puts or removes one object.
type Edit struct {
	Kind Kind
	Name string
	// Base is the revision of the object that the edit was made from; 0 when the object did not exist.
	Base Revision
	// AnyBase skips the check of Base.
	AnyBase bool `json:",omitempty"`
	Remove  bool `json:",omitempty"`
	// Object is the JSON of the whole object.
	Object json.RawMessage `json:",omitempty"`
}

// Record is one record of the configuration stream; just one of its fields is set.
type Record struct {
	Change     *Change     `json:",omitempty"`
	Checkpoint *Checkpoint `json:",omitempty"`
}

// Checkpoint carries the state as of a revision, so that older records may be dropped.
type Checkpoint struct {
	State *State
}

// ChangeResult tells what the fold made of a change.
type ChangeResult struct {
	ID       string
	Revision Revision
	Author   string
	At       clock.Millis
	Note     string
	// Refused is empty for a change that took effect.
	Refused string `json:",omitempty"`
}

// ExpiredError says that a change is older than the kept history, so that it may be a duplicate.
type ExpiredError struct {
	AsOf  Revision
	Floor Revision
}

// Error tells the revisions.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the change was sent at revision %d, the history up to %d is no longer kept", e.AsOf, e.Floor)
}

// ConflictError says that an object was changed since the revision a change was based on.
type ConflictError struct {
	Key  ObjectKey
	Base Revision
	Now  Revision
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s is at revision %d, the change is based on %d", e.Key.Kind, e.Key.Name, e.Now, e.Base)
}

// InvalidError says which field of an object is wrong, and how to mend it.
type InvalidError struct {
	Key   ObjectKey
	Field string
	Want  string
}

// Error describes the wrong field.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %s: field %s: want %s", e.Key.Kind, e.Key.Name, e.Field, e.Want)
}
