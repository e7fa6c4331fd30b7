package request

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Result classifies what became of one attempt at an upstream.
type Result string

// The results of attempts.
const (
	// ResultStarted is that of a sample given with the first token, before the attempt has ended.
	ResultStarted  Result = "Started"
	ResultComplete Result = "Complete"
	ResultRefused  Result = "Refused"
	ResultFailed   Result = "Failed"
	// ResultUnreached is that of an attempt of which no byte reached the upstream.
	ResultUnreached Result = "Unreached"
	ResultCut       Result = "Cut"
	ResultMismatch  Result = "Mismatch"
	ResultCancelled Result = "Cancelled"
)

// Sample is what one attempt at an upstream showed; times are in milliseconds.
type Sample struct {
	At clock.Millis
	// RequestID is the id under which the upstream knows the attempt.
	RequestID  string
	Workspace  string
	Task       string
	Version    catalogue.VersionID
	Upstream   string
	Result     Result
	FirstToken clock.Millis
	Total      clock.Millis
	Tokens     int
	// Gap is a short pause between two events of a stream, such that a quarter of them are shorter; it is 0 when there were few.
	Gap clock.Millis
	// Load is what the upstream said of its load; it is nil when it said nothing.
	Load *LoadReport
}
