package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/cockroachdb/errors"
)

// Position is the end of the lease's topic in an era of the store.
type Position struct {
	Era    int64
	Offset int64
}

// Store keeps the lease's topic, whose newest record is the lease.
type Store interface {
	// Load returns the newest record, nil if there is none, and the end of the topic.
	Load(ctx context.Context) (end Position, value []byte, err error)
	// Append appends a record if the topic ends at the offset of at, and returns its new end. A *ConflictError means that nothing was
	// appended; after any other error the record may be appended later, if the condition holds then.
	Append(ctx context.Context, at Position, value []byte) (end Position, err error)
}

// ConflictError means that the topic doesn't end where an append expected it to.
type ConflictError struct{ At Position }

// Error states the expected end.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the topic doesn't end at offset %d", e.At.Offset)
}

// EraError means that a response of the store named an earlier era than the record in it.
type EraError struct{ Era, Want int64 }

// Error states both eras.
func (e *EraError) Error() string {
	return fmt.Sprintf("the store names era %d, its record is of era %d", e.Era, e.Want)
}

// Record is the lease as the store keeps it.
type Record struct {
	// Holder is the name of the holder, and ID that of its process.
	Holder string
	ID     string
	// Era is the era of the store for which the record was written, and Token the fencing token of the holder.
	Era   int64
	Token int64
	// Released is true if the holder has given the lease up.
	Released bool
	// State is what each duty keeps for the next holder, by duty.
	State map[string]json.RawMessage `json:",omitempty"`
}

// decodeRecord decodes a record; nil stands for none.
func decodeRecord(b []byte) (*Record, error) {
	if len(b) == 0 {
		return nil, nil
	}
	r := &Record{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, errors.Wrap(err, "decode lease record")
	}
	return r, nil
}

// with returns a copy of the record with the state of one duty replaced.
func (r *Record) with(name string, state json.RawMessage) *Record {
	next := *r
	next.State = maps.Clone(r.State)
	if next.State == nil {
		next.State = map[string]json.RawMessage{}
	}
	next.State[name] = state
	return &next
}

// offsetBits is the size of the offset in a fencing token; the whole token stays exact in a float64.
const offsetBits = 36

// tokenAt returns the fencing token of a holder that acquires the lease by the record at a position.
func tokenAt(p Position) int64 { return p.Era<<offsetBits | (p.Offset + 1) }
