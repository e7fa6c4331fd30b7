package catalogue

import (
	"strings"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Route says how requests for a host and a path prefix are handled; its times are in milliseconds.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix of the route, which ends with a slash.
	Prefix string
	// Repeatable is true when requests are idempotent, so that they may run more than once.
	Repeatable bool
	// Streaming is true when the response is an event stream.
	Streaming bool
	// Resumable is true when another upstream can continue a broken stream after the last event that was forwarded. It says nothing of
	// routes that aren't streaming.
	Resumable bool
	// Affinity is true when requests list the parts of their prompt, by which an upstream is chosen that may have a prefix cached.
	Affinity bool
	// Anonymous is true when requests need no API key.
	Anonymous bool
	// TimeLimit bounds the time to the end of the response.
	TimeLimit clock.Millis
	// Target is the target latency: the time to the response, or to the first event of a stream, up to which it has its full
	// value for the caller.
	Target clock.Millis
	// GapTarget is the longest pause between two events that callers accept.
	GapTarget clock.Millis
	// Priority ranks requests; 0 is the highest priority.
	Priority int
	// MaxAttempts bounds the number of upstreams to which one request may be sent.
	MaxAttempts int
	// Sizes has the models to choose from, the smallest first; it is empty when the caller names the model.
	Sizes []string
	// Split has the services among which the requests of the route are divided.
	Split []Split
}

// MayRepeat reports whether a request may be retried even though it may have run already.
func (r *Route) MayRepeat() bool { return r.Repeatable || r.MayResume() }

// MayResume reports whether an answer that has begun may be continued by another upstream.
func (r *Route) MayResume() bool { return r.Streaming && r.Resumable }

// MinPatience is how long callers wait for the next event of any stream, in milliseconds.
const MinPatience = 2 * clock.Second

// Callers wait at least for these multiples of the target latency and of the target gap.
const (
	patiencePerTarget    = 4
	patiencePerGapTarget = 8
)

// Patience returns how long callers wait for the next event of a stream before they abandon it, in milliseconds.
func (r *Route) Patience() clock.Millis {
	return max(MinPatience, patiencePerTarget*r.Target, patiencePerGapTarget*r.GapTarget)
}

// Split is the relative weight with which a service gets requests of a route.
type Split struct {
	Service string
	Weight  float64
}

// Pool has the settings that all upstreams of a service share.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one upstream, over all its clients.
	MaxConnections int
	// ColdTime is the duration of the cold start of an upstream, in milliseconds.
	ColdTime clock.Millis
	// ColdRate bounds the requests per second of an upstream in cold start.
	ColdRate float64
	// Slots is the number of requests that an engine runs concurrently; 0 when unknown.
	Slots int
	// CacheTokens is the capacity of an engine's key-value cache, in tokens.
	CacheTokens int
	// ModelCosts has the cost per 1,000 generated tokens of each model.
	ModelCosts map[string]float64
	// Scaling bounds the number of upstreams that may be ordered; it is nil if their number is fixed.
	Scaling *ScaleLimits
}

// ScaleLimits bounds the number of upstreams of a service that may be ordered in each availability zone.
type ScaleLimits struct {
	Min int
	Max int
	// StartTime is the time from an order until a new upstream serves, without its cold start, in milliseconds.
	StartTime clock.Millis
}

// RelativeCost returns the cost of a model relative to that of the largest; the work of a model per token is proportional to its cost.
func (p *Pool) RelativeCost(model string) float64 {
	largest := 0.0
	for _, cost := range p.ModelCosts {
		largest = max(largest, cost)
	}
	if largest <= 0 {
		return 1
	}
	return p.ModelCosts[model] / largest
}

// KeyHolder is the workspace that owns an API key.
type KeyHolder struct {
	Workspace string
	// Priority overrides that of the route; it is nil when the workspace has none.
	Priority *int
}

// RouteTable is a complete configuration of routes, pools and keys; it is immutable once published.
type RouteTable struct {
	Version int64
	// Routes has the routes by lower-case host, the longest prefix first.
	Routes map[string][]*Route
	Pools  map[string]*Pool
	// Keys has the owner of each API key; it is nil when the configuration has no workspaces.
	Keys map[string]KeyHolder
	// MaxHeaderBytes and MaxBodyBytes bound a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to receive a request header, and IdleTimeout the idle time of a connection, in milliseconds.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Find returns the route of the host with the longest matching path prefix, or nil.
func (t *RouteTable) Find(host, path string) *Route {
	for _, r := range t.Routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ReleaseState is the state of a release rollout.
type ReleaseState string

// The states of a release rollout.
const (
	ReleaseRunning   ReleaseState = "Running"
	ReleaseCompleted ReleaseState = "Completed"
	ReleaseReverted  ReleaseState = "Reverted"
)

// ReleaseOrder is an operator's request to roll out a release of a service's software within Span milliseconds.
type ReleaseOrder struct {
	Service string
	Target  string
	Span    clock.Millis
}

// ReleaseRollout is the rollout of a release to a service: an order, its state, and the monotonic time at which it was first seen.
type ReleaseRollout struct {
	ReleaseOrder
	State     ReleaseState
	StartedAt clock.Millis
	// Canary is the fraction of sessions on the new release during the canary phase.
	Canary float64
}

// The ends of the phases of a release rollout, as fractions of its span.
const (
	// prepareFraction ends the phase in which instances exchange the sessions that stay on the old release; no session is on the
	// new release before that.
	prepareFraction = 0.12
	// canaryFraction ends the canary phase; until then sessions keep the release that they had.
	canaryFraction = 0.52
)

// CanaryFraction returns the fraction of sessions on the new release during the canary phase, by the service's number of upstreams.
func CanaryFraction(upstreams int) float64 {
	// The fraction falls with the number of upstreams: the canary analysis needs a certain number of requests, and a larger
	// service has more of them; besides, sessions that other instances served before the rollout may change release when it
	// starts. The fraction has steps so that instances with slightly different lists use the same one.
	switch {
	case upstreams == 0:
		// The list has not been read yet: the smallest fraction changes the release of the fewest sessions.
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

// KeepsSessions reports whether sessions must keep the release that they had, which is until the end of the canary phase.
func (r *ReleaseRollout) KeepsSessions(now clock.Millis) bool {
	return r.State == ReleaseRunning && float64(now-r.StartedAt) < canaryFraction*float64(r.Span)
}

// Preparing reports whether the rollout is in its first phase, in which no session may be on the new release yet.
func (r *ReleaseRollout) Preparing(now clock.Millis) bool {
	return r.State == ReleaseRunning && float64(now-r.StartedAt) < prepareFraction*float64(r.Span)
}

// Share returns the fraction of sessions that belong to the new release, if shifted is the fraction to which the shift has come; it
// never falls while the rollout is running and shifted doesn't.
func (r *ReleaseRollout) Share(now clock.Millis, shifted float64) float64 {
	switch r.State {
	case ReleaseCompleted:
		return 1
	case ReleaseReverted:
		return 0
	}
	if r.Preparing(now) {
		return 0
	}
	if r.KeepsSessions(now) {
		return r.Canary
	}
	return max(r.Canary, shifted)
}

// Left returns the time left of the rollout's span.
func (r *ReleaseRollout) Left(now clock.Millis) clock.Millis { return r.StartedAt + r.Span - now }
