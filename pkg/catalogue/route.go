package catalogue

import (
	"strings"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Route tells how requests for a host and a path are served; times are in milliseconds.
type Route struct {
	Name string
	Host string
	// Prefix begins the paths of the route; it ends with a slash.
	Prefix string
	// Repeatable is true for requests that may run more than once.
	Repeatable bool
	// Streaming is true when the answer is a stream of events.
	Streaming bool
	// Resumable is true when a stream may go on at another upstream behind the last event that was passed on.
	Resumable bool
	// Affinity is true when requests carry the parts of their prompt.
	Affinity bool
	// Anonymous is true when requests need no key.
	Anonymous bool
	// TimeLimit bounds the time to the end of the answer.
	TimeLimit clock.Millis
	// Target is the time to the answer, or to the first event of a stream, that earns the full benefit.
	Target clock.Millis
	// GapTarget is the longest pause between events that callers accept.
	GapTarget clock.Millis
	// Priority ranks requests, 0 is the highest.
	Priority int
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Sizes are the models to choose from, the smallest first; it is empty when the caller names the model.
	Sizes []string
	// Split has the services that share the route's requests.
	Split []Split
}

// MayRepeat tells whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool { return r.Repeatable || r.Resumable }

// Split is a service's part of the requests of a route.
type Split struct {
	Service string
	Weight  float64
}

// Pool describes the upstreams of a service.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of one upstream from all callers.
	MaxConnections int
	// ColdTime is how long an upstream is cold after its start, in milliseconds.
	ColdTime clock.Millis
	// ColdRate is how many requests a second a cold upstream bears.
	ColdRate float64
	// Slots is how many requests an engine runs at once; 0 when it is not known.
	Slots int
	// CacheTokens is the memory of an engine, in tokens.
	CacheTokens int
	// ModelCosts has the cost of each model for 1,000 generated tokens.
	ModelCosts map[string]float64
}

// KeyHolder is the workspace that a key belongs to.
type KeyHolder struct {
	Workspace string
	// Priority goes before that of the route; it is nil where the workspace has none.
	Priority *int
}

// RouteTable is a configuration as a whole; it is never changed once published.
type RouteTable struct {
	Version int64
	// Routes are by host, the longest prefix first.
	Routes map[string][]*Route
	Pools  map[string]*Pool
	// Keys are the keys of workspaces; it is nil where the configuration has no workspaces.
	Keys map[string]KeyHolder
	// MaxHeaderBytes and MaxBodyBytes bound a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout and IdleTimeout bound what a connection may take, in milliseconds.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Find returns the route with the longest prefix of the path, or nil.
func (t *RouteTable) Find(host, path string) *Route {
	for _, r := range t.Routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ReleaseState tells how far the move of a service to a new release is.
type ReleaseState string

// The states of a move.
const (
	ReleaseRunning   ReleaseState = "Running"
	ReleaseCompleted ReleaseState = "Completed"
	ReleaseReverted  ReleaseState = "Reverted"
)

// ReleaseOrder asks that a service moves to a release of its software within Span milliseconds.
type ReleaseOrder struct {
	Service string
	Target  string
	Span    clock.Millis
}

// ReleaseMove is an order under way, with the monotonic time at which it was first seen.
type ReleaseMove struct {
	ReleaseOrder
	State     ReleaseState
	StartedAt clock.Millis
	// Canary is the part of the sessions on the new release while it is judged.
	Canary float64
}

// Parts of the span of a move.
const (
	// settlePart is the part of the span in which instances tell each other the sessions that stay on the old release; none
	// is on the new one before its end.
	settlePart = 0.12
	// canaryPart is the part of the span during which sessions keep the release they had.
	canaryPart = 0.52
	// shiftedPart is the part of the span after which all sessions are on the new release.
	shiftedPart = 0.68
)

// CanaryOf returns the part of the sessions that a new release gets while it is judged, for a service of so many upstreams. It
// falls with the number, since the requests that are seen are what counts, and since sessions that other instances served
// before the move may change their release when it begins. The steps keep it the same on all instances.
func CanaryOf(upstreams int) float64 {
	switch {
	case upstreams == 0:
		// The list is not known yet: the least share changes the fewest sessions.
		return 0.012
	case upstreams <= 12:
		return 0.06
	case upstreams <= 24:
		return 0.03
	case upstreams <= 48:
		return 0.018
	}
	return 0.012
}

// ShiftedAt returns the monotonic time from which on nothing new is sent to the old release.
func (m *ReleaseMove) ShiftedAt() clock.Millis {
	return m.StartedAt + clock.Millis(shiftedPart*float64(m.Span))
}

// Keeping tells whether sessions keep the release that they had.
func (m *ReleaseMove) Keeping(now clock.Millis) bool {
	return m.State == ReleaseRunning && float64(now-m.StartedAt) < canaryPart*float64(m.Span)
}

// Settling tells whether no session may be on the new release yet.
func (m *ReleaseMove) Settling(now clock.Millis) bool {
	return m.State == ReleaseRunning && float64(now-m.StartedAt) < settlePart*float64(m.Span)
}

// Share returns the part of the sessions that belong to the new release; it never falls while the move goes on.
func (m *ReleaseMove) Share(now clock.Millis) float64 {
	switch m.State {
	case ReleaseCompleted:
		return 1
	case ReleaseReverted:
		return 0
	}
	if m.Settling(now) {
		return 0
	}
	part := float64(now-m.StartedAt) / float64(max(1, m.Span))
	if part <= canaryPart {
		return m.Canary
	}
	return min(1, m.Canary+(1-m.Canary)*(part-canaryPart)/(shiftedPart-canaryPart))
}
