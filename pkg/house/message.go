package house

import (
	"carawayknot.example/carawayknot/pkg/caravan"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
	"carawayknot.example/carawayknot/pkg/platform"
)

// configRead carries a batch of the configuration stream; SentAt is the time before the read was sent.
type configRead struct {
	SentAt clock.Millis
	Batch  platform.Batch
	Reply  chan configWant
}

// configTrimmed says that the log dropped the records that were asked for.
type configTrimmed struct {
	Err   *platform.TrimmedError
	Reply chan configWant
}

// configWant tells the reader of the configuration stream what to do next.
type configWant struct {
	From       int64
	Peer       bool
	Checkpoint []byte
}

// configAsk asks for the next read without bringing news.
type configAsk struct {
	Reply chan configWant
}

// peerState carries the configuration of another instance.
type peerState struct {
	State *catalogue.State
	Reply chan configWant
}

// listRead carries the list of instances; SentAt is the time before the read was sent.
type listRead struct {
	SentAt  clock.Millis
	Listing platform.Listing
}

// loadRead carries the load report of an upstream.
type loadRead struct {
	Name        string
	Incarnation int64
	Report      platform.LoadReport
	At          clock.Millis
}

// ratingsRead carries late ratings.
type ratingsRead struct {
	Ratings []platform.Rating
}

// sampleTaken carries what an attempt at an upstream showed.
type sampleTaken struct {
	Sample enquiry.Sample
}

// digestAsk asks for the digest that an exchange with a member starts with.
type digestAsk struct {
	Reply chan caravan.Digest
}

// deltaAsk asks for what the sender of a digest lacks.
type deltaAsk struct {
	From   string
	Digest caravan.Digest
	Reply  chan caravan.Delta
}

// deltaTaken carries what another member knows; SentAt is the time before the exchange was sent, 0 when the member sent it.
type deltaTaken struct {
	From   string
	SentAt clock.Millis
	Delta  caravan.Delta
}

// holdersAsk asks who is known to hold a revision.
type holdersAsk struct {
	Revision catalogue.Revision
	Reply    chan holders
}

// holders tells how many of the members hold a revision, and who is not known to.
type holders struct {
	Have    int
	Missing []string
}

// dumpAsk asks for the control state.
type dumpAsk struct {
	Reply chan ControlDump
}

// drainBegun says that this instance is shutting down.
type drainBegun struct{}

// tick lets control state age.
type tick struct{}
