package backoffice

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// AheadError says that a read started above the end of a stream: the log lost its tail or was replaced.
type AheadError struct {
	Stream string
	From   int64
	Oldest int64
	End    int64
}

// Error tells the offsets.
func (e *AheadError) Error() string {
	return fmt.Sprintf("log stream %s ends at offset %d, below %d: it lost its tail or was replaced", e.Stream, e.End, e.From)
}

// LimitedError says that a service refused a call because of its rate; RetryAfter is in milliseconds, 0 when the service named none.
type LimitedError struct {
	Service    string
	RetryAfter clock.Millis
}

// Error tells the service and the time to wait.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("%s is over its rate, retry after %d ms", e.Service, e.RetryAfter)
}

// StatusError says that a service answered with an HTTP status that the protocol does not name.
type StatusError struct {
	Service string
	Status  int
	// Detail is the start of the body.
	Detail string
}

// Error tells the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d: %s", e.Service, e.Status, e.Detail)
}

// ReplyError says that the body of an answer can't be used.
type ReplyError struct {
	Service string
	Cause   error
}

// Error tells the cause.
func (e *ReplyError) Error() string {
	return fmt.Sprintf("%s sent a body that can't be used: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *ReplyError) Unwrap() error { return e.Cause }
