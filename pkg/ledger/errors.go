package ledger

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// FullError says that a bounded queue has no room; nothing was appended.
type FullError struct {
	Stream string
	Limit  int
}

// Error tells the stream and the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("log stream %s: %d records wait already", e.Stream, e.Limit)
}

// DownError says that the log did not serve the last append, and that the next try is RetryAfter milliseconds away.
type DownError struct {
	Stream     string
	RetryAfter clock.Millis
}

// Error tells the stream and the time to wait.
func (e *DownError) Error() string {
	return fmt.Sprintf("log stream %s is down, next try in %d ms", e.Stream, e.RetryAfter)
}

// ClosedError says that the batcher no longer runs; nothing was appended.
type ClosedError struct {
	Stream string
}

// Error names the stream.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("log stream %s: the batcher has ended", e.Stream)
}

// Unknown tells whether a record whose append failed with err may be in the log all the same.
func Unknown(err error) bool {
	if err == nil {
		return false
	}
	var (
		full        *FullError
		down        *DownError
		closed      *ClosedError
		unavailable *backoffice.UnavailableError
		status      *backoffice.StatusError
	)
	if errors.As(err, &full) || errors.As(err, &down) || errors.As(err, &closed) {
		return false
	}
	if errors.As(err, &unavailable) {
		return unavailable.Unknown
	}
	// A status that refuses the call as wrong had no effect.
	return !errors.As(err, &status)
}
