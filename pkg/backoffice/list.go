package backoffice

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Instance is one process as the list shows it.
type Instance struct {
	Name string
	Role catalogue.Role
	// Address takes requests, as host:port.
	Address string
	// PeerAddress takes calls of other entry instances, as host:port.
	PeerAddress string `json:",omitempty"`
	Zone        string
	// Incarnation grows with each restart under the same name.
	Incarnation int64
	Leaving     bool                  `json:",omitempty"`
	Versions    []catalogue.VersionID `json:",omitempty"`
	Service     string                `json:",omitempty"`
}

// Listing is the list as of a time; it lags behind.
type Listing struct {
	// AsOf is the wall time of the list, in milliseconds.
	AsOf      clock.Millis
	Instances []Instance
}
