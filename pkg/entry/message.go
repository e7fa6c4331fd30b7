package entry

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// funcCall asks the control thread to call F, and to close Done after that.
type funcCall struct {
	F    func()
	Done chan struct{}
}

// listRead carries an instance list; SentAt is the monotonic time just before the read was sent.
type listRead struct {
	SentAt  clock.Millis
	Listing backoffice.Listing
}

// loadRead carries the load report of an upstream; At is the monotonic time at which it was received.
type loadRead struct {
	Name        string
	Incarnation int64
	Report      backoffice.LoadReport
	At          clock.Millis
}

// ratingsRead carries late ratings, which the platform publishes some time after the answers.
type ratingsRead struct {
	Ratings []backoffice.Rating
}

// ratingReceived carries a rating that was requested at once, for the answer of a cascade or of a new version.
type ratingReceived struct {
	Rating backoffice.Rating
}

// sampleObserved carries the result of one attempt at an upstream.
type sampleObserved struct {
	Sample request.Sample
	// Probe is true for a probe, which says nothing about the health of the version.
	Probe bool
}

// drainStarted makes the snapshot say that this instance is shutting down.
type drainStarted struct{}

// tick triggers the periodic work of the control thread.
type tick struct{}
