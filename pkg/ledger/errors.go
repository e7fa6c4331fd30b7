package ledger

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// QueueFullError is returned when the queue already has Limit records; the record was not appended.
type QueueFullError struct {
	Stream string
	Limit  int
}

// Error names the stream and its limit in records.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("log stream %s: queue is full with %d records", e.Stream, e.Limit)
}

// BackOffError is returned while the Batcher backs off after a failed append, for RetryAfter more milliseconds.
type BackOffError struct {
	Stream     string
	RetryAfter clock.Millis
}

// Error names the stream and the time until the next attempt.
func (e *BackOffError) Error() string {
	return fmt.Sprintf("log stream %s: last append failed, next attempt in %d ms", e.Stream, e.RetryAfter)
}

// ClosedError is returned when the Batcher no longer runs; the record was not appended.
type ClosedError struct {
	Stream string
}

// Error names the stream whose batcher is closed.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("log stream %s: batcher is closed", e.Stream)
}

// OutcomeUnknown reports whether a record whose append failed with err may nevertheless be in the log.
func OutcomeUnknown(err error) bool {
	if err == nil {
		return false
	}
	var (
		full        *QueueFullError
		backOff     *BackOffError
		closed      *ClosedError
		unavailable *backoffice.UnavailableError
		status      *backoffice.StatusError
	)
	if errors.As(err, &full) || errors.As(err, &backOff) || errors.As(err, &closed) {
		return false
	}
	if errors.As(err, &unavailable) {
		return unavailable.OutcomeUnknown
	}
	// The log rejected the request with an error status, so nothing was appended.
	return !errors.As(err, &status)
}
