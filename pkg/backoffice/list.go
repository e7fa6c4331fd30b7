package backoffice

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Instance is one process in the instance list.
type Instance struct {
	Name string
	Role catalogue.Role
	// Address serves requests, as host:port.
	Address string
	// PeerAddress serves RPCs from other entry instances, as host:port.
	PeerAddress string `json:",omitempty"`
	Zone        string
	// Incarnation increases with each restart under the same name.
	Incarnation int64
	// Leaving is true while the instance shuts down.
	Leaving  bool                  `json:",omitempty"`
	Versions []catalogue.VersionID `json:",omitempty"`
	Service  string                `json:",omitempty"`
}

// Listing is a snapshot of the instance list, as of some time ago.
type Listing struct {
	// AsOf is the wall time of the snapshot, in milliseconds.
	AsOf      clock.Millis
	Instances []Instance
}
