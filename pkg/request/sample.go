package request

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Result classifies the result of one attempt at an upstream.
type Result string

// The results of attempts; samples carry them under these names.
const (
	// ResultStarted means that the first token arrived and the attempt has not ended yet.
	ResultStarted  Result = "Started"
	ResultComplete Result = "Complete"
	// ResultRefused means that the upstream declined the request.
	ResultRefused Result = "Refused"
	ResultFailed  Result = "Failed"
	// ResultUnreached means that no byte of the request was sent to the upstream.
	ResultUnreached Result = "Unreached"
	// ResultCut means that the response ended before it was complete.
	ResultCut Result = "Cut"
	// ResultMismatch means that the response belongs to another request or version, or is malformed.
	ResultMismatch Result = "Mismatch"
	// ResultCancelled means that the attempt ended for a reason that does not count against the upstream.
	ResultCancelled Result = "Cancelled"
)

// Sample is the observation of one attempt at an upstream; times are in milliseconds.
type Sample struct {
	At clock.Millis
	// RequestID identifies the attempt at the upstream.
	RequestID string
	Workspace string
	Task      string
	Version   catalogue.VersionID
	Upstream  string
	Result    Result
	// Answered is true if the upstream answered, with whatever result.
	Answered   bool
	FirstToken clock.Millis
	Total      clock.Millis
	Tokens     int
	// Gap is the lower quartile of the gaps between events of a stream; it is 0 if there were too few of them.
	Gap clock.Millis
	// Load is the load of the upstream, or nil if it reported none.
	Load *LoadReport
}
