package trace

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Trace is a recorded stretch of the work of one deployment; times are in milliseconds from its start.
type Trace struct {
	Name string
	// Note tells in words what happens.
	Note     string
	Seed     uint64
	Duration clock.Millis
	// Stated are the outcomes that a replay must show.
	Stated []Outcome
	// Members are the entry instances.
	Members   []Member
	Upstreams []Upstream
	// Configuration is what operators had put in force at the start.
	Configuration Configuration
	// Truths are what the versions really give.
	Truths []Truth
	Speeds []Speed
	// Ratings tells how answers are rated.
	Ratings  Ratings
	Events   []Event
	Requests []Request
}

// Outcome bounds one measure of a replay.
type Outcome struct {
	Measure string
	AtMost  float64
}

// Member is an entry instance.
type Member struct {
	Name string
	Zone string
}

// Upstream is a model engine or a replica of a plain service.
type Upstream struct {
	Name     string
	Zone     string
	Versions []catalogue.VersionID `json:",omitempty"`
	Service  string                `json:",omitempty"`
	// Bearable and ColdLimit are how many requests it bears at once when warm and in cold start.
	Bearable  int
	ColdLimit int
}

// Configuration is the configuration at the start of a trace.
type Configuration struct {
	Workspaces []catalogue.Workspace
	Profiles   []catalogue.Profile
	Versions   []catalogue.Version
	Services   []catalogue.Service
	Rollouts   []catalogue.Rollout `json:",omitempty"`
}

// Truth is the distribution of the ratings of a version for a task: a bell, cut at 0 and 1.
type Truth struct {
	Version   catalogue.VersionID
	Task      string
	Mean      float64
	Deviation float64
	// History is the number of ratings that were in before the trace starts.
	History int `json:",omitempty"`
}

// Speed is how fast a version answers on a warm engine that is not full, in milliseconds.
type Speed struct {
	Version    catalogue.VersionID
	FirstToken float64
	TokenTime  float64
}

// Ratings tells which share of answers is rated, and how late.
type Ratings struct {
	Share    float64
	MinDelay clock.Millis
	MaxDelay clock.Millis
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	// EventZoneOut and EventZoneIn are operators taking a zone out and in.
	EventZoneOut EventKind = "ZoneOut"
	EventZoneIn  EventKind = "ZoneIn"
	// EventZoneStop is the end of all processes in the zone, and EventZoneStart their start, cold.
	EventZoneStop  EventKind = "ZoneStop"
	EventZoneStart EventKind = "ZoneStart"
	// EventRollout puts a roll-out, EventWithdraw withdraws a version.
	EventRollout  EventKind = "Rollout"
	EventWithdraw EventKind = "Withdraw"
	// EventLoad and EventUnload change the versions of an upstream.
	EventLoad   EventKind = "Load"
	EventUnload EventKind = "Unload"
	// EventTurn changes the true mean rating of a version for all tasks by Change.
	EventTurn EventKind = "Turn"
	// EventCold makes an upstream cold without any announcement.
	EventCold EventKind = "Cold"
	// EventFail makes every upstream refuse its work, EventHeal ends that.
	EventFail EventKind = "Fail"
	EventHeal EventKind = "Heal"
)

// Event is what happens at a time; which of the fields are set depends on the kind.
type Event struct {
	At       clock.Millis
	Kind     EventKind
	Zone     string              `json:",omitempty"`
	Upstream string              `json:",omitempty"`
	Version  catalogue.VersionID `json:",omitempty"`
	Change   float64             `json:",omitempty"`
	Rollout  *catalogue.Rollout  `json:",omitempty"`
}

// Request is one request of a caller.
type Request struct {
	At        clock.Millis
	ID        string
	Workspace string
	// Profile is set for a chat completion, Service for a call of a plain service.
	Profile string `json:",omitempty"`
	Service string `json:",omitempty"`
	// Once marks a call that must not be repeated.
	Once    bool   `json:",omitempty"`
	Session string `json:",omitempty"`
	// Prompt names the prefix that prompts share.
	Prompt       string `json:",omitempty"`
	InputTokens  int    `json:",omitempty"`
	OutputTokens int    `json:",omitempty"`
	// Deadline is the time the caller gives, in milliseconds.
	Deadline clock.Millis
}
