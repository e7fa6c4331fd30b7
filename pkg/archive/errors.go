package archive

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// GapError says that a batch left out records.
type GapError struct {
	Want int64
	Got  int64
}

// Error tells the offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("configuration stream: offset %d where %d is due", e.Got, e.Want)
}

// ReplacedError says that the log no longer has records that were folded; its state is kept and no change is taken.
type ReplacedError struct {
	Revision catalogue.Revision
	End      int64
}

// Error tells the revision held and the end of the log.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("configuration stream was replaced: revision %d is held, the log ends at offset %d", e.Revision, e.End)
}

// UnsettledError says that it is not known whether a change will take effect; sending it again with its id is safe.
type UnsettledError struct {
	ID    string
	Cause error
}

// Error names the change.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("change %s may take effect or not, send it again with its id: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// UnreadyError says that this instance doesn't hold the whole configuration, so that it takes no change.
type UnreadyError struct{}

// Error tells the condition.
func (*UnreadyError) Error() string {
	return "the configuration is not read to its end yet; nothing was appended"
}
