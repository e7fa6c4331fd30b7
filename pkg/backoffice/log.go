package backoffice

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Entry is one record of a log stream.
type Entry struct {
	// Offset starts at 0 in each stream.
	Offset int64
	// At is the wall time of the append, in milliseconds.
	At   clock.Millis
	Data []byte
}

// Batch is the result of one read of a stream.
type Batch struct {
	Entries []Entry
	// Oldest is the first offset that the log still retains.
	Oldest int64
	// End is the offset of the next append.
	End int64
}

// AppendRequest is the JSON body of an append.
type AppendRequest struct {
	Records [][]byte
}

// AppendReply is the JSON response to an append, with the offset of its first record.
type AppendReply struct {
	First int64
}

// TrimmedError reports a read of an offset that the log no longer retains.
type TrimmedError struct {
	Stream string
	From   int64
	Oldest int64
	// End is the offset of the next append.
	End int64
}

// Error names the oldest retained and the requested offset.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log stream %s starts at offset %d, %d is dropped", e.Stream, e.Oldest, e.From)
}

// UnavailableError reports that a service of the platform did not complete a call; OutcomeUnknown is true if the call may have
// taken effect.
type UnavailableError struct {
	Service        string
	OutcomeUnknown bool
	Cause          error
}

// Error names the service and the cause, and says if the call may have taken effect.
func (e *UnavailableError) Error() string {
	if e.OutcomeUnknown {
		return fmt.Sprintf("%s: answer lost, the call may have taken effect: %v", e.Service, e.Cause)
	}
	return fmt.Sprintf("%s: %v", e.Service, e.Cause)
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
