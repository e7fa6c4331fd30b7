package duty

import (
	"context"
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// The duties toward the platform.
const (
	Usage   = "Usage"
	Scaling = "Scaling"
)

// UsageReport has the requests of each workspace that upstreams began in one window; a window gets one report.
type UsageReport struct {
	// Window is the number of the window, counted from the start of 1970.
	Window int64
	// Counts has the requests by workspace.
	Counts map[string]int64
}

// ScaleOrder orders the number of upstreams of a service in a zone.
type ScaleOrder struct {
	Service string
	Zone    string
	Count   int
}

// Caller makes the calls of duties to the platform. *ExpiredError means that nothing was sent; *FencedError and *ThrottledError mean
// that the call was refused. After any other error the platform may have carried out the call, or may still do so.
type Caller interface {
	Usage(ctx context.Context, lease Lease, report UsageReport) error
	Scale(ctx context.Context, lease Lease, order ScaleOrder) error
}

// FencedError means that the platform has seen a higher fencing token; the lease must not be used any more.
type FencedError struct{ Token int64 }

// Error states the refused token.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the fencing token %d is superseded", e.Token)
}

// ThrottledError means that the platform refused the call because there were too many.
type ThrottledError struct{ Call string }

// Error states the call.
func (e *ThrottledError) Error() string { return fmt.Sprintf("the platform throttles %s", e.Call) }

// ExpiredError means that the lease had lapsed before the call was sent.
type ExpiredError struct {
	Token int64
	// Late is how long before it had lapsed, in milliseconds.
	Late clock.Millis
}

// Error states the token and since when it had lapsed.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the lease with token %d lapsed %d ms ago", e.Token, e.Late)
}
