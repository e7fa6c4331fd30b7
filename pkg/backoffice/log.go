package backoffice

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Entry is one record of a log stream.
type Entry struct {
	// Offset counts from 0 in each stream.
	Offset int64
	// At is the wall time of the append, in milliseconds.
	At   clock.Millis
	Data []byte
}

// Batch is what one read of a stream returned.
type Batch struct {
	Entries []Entry
	// Oldest is the first offset that the log still keeps.
	Oldest int64
	// End is the offset that the next append will get.
	End int64
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte
}

// AppendReply tells the offset of the first record of an append.
type AppendReply struct {
	First int64
}

// TrimmedError says that the log no longer keeps the offset that was asked for.
type TrimmedError struct {
	Stream string
	From   int64
	Oldest int64
	// End is the offset that the next append will get.
	End int64
}

// Error tells the offsets.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log stream %s starts at offset %d, %d is dropped", e.Stream, e.Oldest, e.From)
}

// UnavailableError says that a service of the platform did not serve a call; Unknown is true when the call may have taken effect.
type UnavailableError struct {
	Service string
	Unknown bool
	Cause   error
}

// Error tells the service and the cause.
func (e *UnavailableError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("%s: answer lost, the call may have taken effect: %v", e.Service, e.Cause)
	}
	return fmt.Sprintf("%s: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
