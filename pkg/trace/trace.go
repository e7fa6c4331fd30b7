package trace

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Trace is a recorded workload of one deployment, with times in milliseconds from its start.
type Trace struct {
	Name string
	// Note describes the events of the trace for a reader.
	Note     string
	Seed     uint64
	Duration clock.Millis
	// Stated has the upper bounds that the measures of a replay must meet.
	Stated []OutcomeBound
	// Members has the instances of the router.
	Members   []Member
	Upstreams []Upstream
	// Configuration is the configuration in force at the start.
	Configuration Configuration
	// Truths has the true rating distributions, which only the oracle policy knows in advance.
	Truths []GroundTruth
	Speeds []Speed
	// Ratings sets which answers are sampled for rating, and the delay of their ratings.
	Ratings  RatingSampling
	Events   []Event
	Requests []Request
}

// OutcomeBound is the upper bound of one measure of a replay, named by a Measure constant.
type OutcomeBound struct {
	Measure string
	AtMost  float64
}

// Member is an instance of the router that callers reach through the load balancer.
type Member struct {
	Name string
	Zone string
}

// Upstream is a model engine, or a replica of a plain service if Service is set.
type Upstream struct {
	Name     string
	Zone     string
	Versions []catalogue.VersionID `json:",omitempty"`
	Service  string                `json:",omitempty"`
	// Bearable and ColdLimit are the concurrent requests that the upstream sustains when warm and in cold start.
	Bearable  int
	ColdLimit int
}

// Configuration has the configuration objects in force when a trace starts.
type Configuration struct {
	Workspaces []catalogue.Workspace
	Profiles   []catalogue.Profile
	Versions   []catalogue.Version
	Services   []catalogue.Service
	Rollouts   []catalogue.Rollout `json:",omitempty"`
}

// GroundTruth is the true distribution of a version's ratings for a task, a normal distribution clamped to [0, 1].
type GroundTruth struct {
	Version   catalogue.VersionID
	Task      string
	Mean      float64
	Deviation float64
	// History is the number of ratings collected before the trace starts.
	History int `json:",omitempty"`
}

// Speed has the time to first token and the time per token of a version on an idle, warm engine, in milliseconds.
type Speed struct {
	Version    catalogue.VersionID
	FirstToken float64
	TokenTime  float64
}

// RatingSampling is the share of answers sampled for rating, and the range of the delay of their ratings in milliseconds.
type RatingSampling struct {
	Share    float64
	MinDelay clock.Millis
	MaxDelay clock.Millis
}

// EventKind selects what an Event does and which of its fields it uses.
type EventKind string

// Kinds of events.
const (
	// EventZoneOut is the change by which operators take a zone out of service.
	EventZoneOut EventKind = "ZoneOut"
	// EventZoneIn is the change by which operators return a zone to service.
	EventZoneIn EventKind = "ZoneIn"
	// EventZoneStop terminates all processes in the zone.
	EventZoneStop EventKind = "ZoneStop"
	// EventZoneStart starts the upstreams of the zone again, in cold start.
	EventZoneStart EventKind = "ZoneStart"
	// EventRollout creates a rollout or changes its share of traffic.
	EventRollout EventKind = "Rollout"
	// EventWithdraw withdraws a version.
	EventWithdraw EventKind = "Withdraw"
	// EventLoad adds a version to an upstream.
	EventLoad EventKind = "Load"
	// EventUnload removes a version from an upstream.
	EventUnload EventKind = "Unload"
	// EventQualityShift adds Change to the true mean rating of a version for all tasks.
	EventQualityShift EventKind = "Turn"
	// EventColdStart puts an upstream into cold start without announcing it.
	EventColdStart EventKind = "Cold"
	// EventFail makes every upstream refuse all requests.
	EventFail EventKind = "Fail"
	// EventHeal ends the effect of EventFail.
	EventHeal EventKind = "Heal"
)

// Event is a change of the deployment or its configuration at a time of the trace; Kind decides which other fields are set.
type Event struct {
	At       clock.Millis
	Kind     EventKind
	Zone     string              `json:",omitempty"`
	Upstream string              `json:",omitempty"`
	Version  catalogue.VersionID `json:",omitempty"`
	Change   float64             `json:",omitempty"`
	Rollout  *catalogue.Rollout  `json:",omitempty"`
}

// Request is one request of a caller, either a chat completion or a call of a plain service.
type Request struct {
	At        clock.Millis
	ID        string
	Workspace string
	// Profile is set for a chat completion, and Service for a call of a plain service.
	Profile string `json:",omitempty"`
	Service string `json:",omitempty"`
	// Once marks a call that is not idempotent and must not be retried once it may have run.
	Once    bool   `json:",omitempty"`
	Session string `json:",omitempty"`
	// Prompt is the system message, the prefix that prompts share.
	Prompt       string `json:",omitempty"`
	InputTokens  int    `json:",omitempty"`
	OutputTokens int    `json:",omitempty"`
	// Deadline is the time that the caller allows, in milliseconds from At.
	Deadline clock.Millis
}
