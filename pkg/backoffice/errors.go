package backoffice

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// PastEndError reports a read past the end of a stream: the log lost its tail or was replaced.
type PastEndError struct {
	Stream string
	From   int64
	Oldest int64
	End    int64
}

// Error names the requested offset and the end of the stream.
func (e *PastEndError) Error() string {
	return fmt.Sprintf("log stream %s ends at offset %d, below %d: it lost its tail or was replaced", e.Stream, e.End, e.From)
}

// RateLimitedError reports that a service rejected a call over its rate limit; RetryAfter is in milliseconds, 0 if the service
// sent none.
type RateLimitedError struct {
	Service    string
	RetryAfter clock.Millis
}

// Error names the service and the time to wait.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s is over its rate, retry after %d ms", e.Service, e.RetryAfter)
}

// StatusError reports a response with an HTTP status that the protocol does not define.
type StatusError struct {
	Service string
	Status  int
	// Detail is the start of the response body.
	Detail string
}

// Error has the status and the start of the response body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d: %s", e.Service, e.Status, e.Detail)
}

// ReplyError reports a response body that is invalid or too long.
type ReplyError struct {
	Service string
	Cause   error
}

// Error names the service and why its response body is invalid.
func (e *ReplyError) Error() string {
	return fmt.Sprintf("%s sent a body that can't be used: %v", e.Service, e.Cause)
}

// Unwrap returns Cause.
func (e *ReplyError) Unwrap() error { return e.Cause }
