package archive

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// GapError means that a batch skipped offsets of the configuration stream.
type GapError struct {
	Want int64
	Got  int64
}

// Error states the offset found and the offset expected.
func (e *GapError) Error() string {
	return fmt.Sprintf("configuration stream: offset %d where %d is due", e.Got, e.Want)
}

// ReplacedError means that the log lost records that were replayed; the state is kept and changes are refused.
type ReplacedError struct {
	Revision catalogue.Revision
	End      int64
}

// Error states the revision of the state and the offset at the end of the log.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("configuration stream was replaced: revision %d is held, the log ends at offset %d", e.Revision, e.End)
}

// EraError means that records are of an earlier era of the store than other ones that were read before.
type EraError struct {
	Era     int64
	Current int64
}

// Error states the era of the records and the current one.
func (e *EraError) Error() string {
	return fmt.Sprintf("the records are of era %d of the store, the current one is %d", e.Era, e.Current)
}

// ConditionError means that a conditional append was refused because the topic ends at another offset.
type ConditionError struct {
	End int64
}

// Error states the offset at the end of the topic.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("conditional append refused: the topic ends at offset %d", e.End)
}

// UnknownOutcomeError means that a change may or may not take effect; it is safe to retry it with the same id.
type UnknownOutcomeError struct {
	ID    string
	Cause error
}

// Error states the id of the change and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s may take effect or not, send it again with its id: %v", e.ID, e.Cause)
}

// Unwrap returns the error that left the outcome unknown.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotReadyError means that this instance refuses changes because its configuration is incomplete.
type NotReadyError struct{}

// Error states that no change was appended.
func (*NotReadyError) Error() string {
	return "the configuration is not read to its end yet; nothing was appended"
}
