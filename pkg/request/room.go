package request

// Room is what an answer says of the room at its upstream.
type Room struct {
	// Read is false if the answer says nothing of rejections that can be read, which changes nothing.
	Read bool
	// Fragile is true if the upstream fails when it rejects more than MaxRejections requests a second.
	Fragile       bool
	MaxRejections float64
	// Rejected is true if the upstream had no room for the request.
	Rejected bool
	// Load is the load that the upstream reports; it may be nil.
	Load *LoadReport
}
