package entry

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// run asks the control thread to call F; Done is closed after it.
type run struct {
	F    func()
	Done chan struct{}
}

// listRead carries the list of instances; SentAt is the monotonic time before the read was sent.
type listRead struct {
	SentAt  clock.Millis
	Listing backoffice.Listing
}

// loadRead carries the load report of an upstream, read at the monotonic time At.
type loadRead struct {
	Name        string
	Incarnation int64
	Report      backoffice.LoadReport
	At          clock.Millis
}

// ratingsRead carries late ratings.
type ratingsRead struct {
	Ratings []backoffice.Rating
}

// verdictGiven carries the verdict on a cascade's answer.
type verdictGiven struct {
	Rating backoffice.Rating
}

// sampleTaken carries what an attempt at an upstream showed.
type sampleTaken struct {
	Sample request.Sample
	// Probe is true when the answer says nothing of the health of the version.
	Probe bool
}

// drainBegun says that this instance is shutting down.
type drainBegun struct{}

// tick lets control state age.
type tick struct{}
