package request

import "carawayknot.example/carawayknot/pkg/clock"

// NamedLimit is what an answer says of the requests that its upstream takes from all instances together.
type NamedLimit struct {
	// Read is false if the answer says nothing that can be read, which changes nothing.
	Read bool
	// Named is false if the upstream names no limit.
	Named bool
	// PerSecond is the limit in requests a second, at least 0.
	PerSecond float64
}

// Notice is what an upstream says of itself in an answer: that it leaves, or for how long it wants no requests from this instance, in
// milliseconds.
type Notice struct {
	Leaving  bool
	PauseFor clock.Millis
	// Upstream and Incarnation name the upstream if the answer came through another instance; Upstream is empty otherwise.
	Upstream    string
	Incarnation int64
}
