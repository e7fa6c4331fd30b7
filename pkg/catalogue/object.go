package catalogue

import (
	"strings"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Micros is an amount of money in millionths of the operator's currency.
type Micros int64

// VersionID names a version as model@version.
type VersionID string

// Model returns the part of the id before the at sign.
func (id VersionID) Model() string {
	model, _, _ := strings.Cut(string(id), "@")
	return model
}

// Workspace is a team that sends requests.
type Workspace struct {
	Name string
	// KeyDigest is the SHA-256 of the workspace key, in hexadecimal.
	KeyDigest string
	// Profiles are the names of the profiles the workspace may use.
	Profiles []string
	// Versions are the versions the workspace may use.
	Versions []VersionID
	// Services are the plain services the workspace may use.
	Services []string
	// MaxInFlight bounds the requests of the workspace in flight over all instances; 0 is no bound.
	MaxInFlight int
	// RequestsPerSecond bounds the rate of the workspace over all instances; 0 is no bound.
	RequestsPerSecond float64
}

// Profile states what a kind of request needs.
type Profile struct {
	Name string
	// Task is the kind of work, by which quality is rated.
	Task string
	// Quality is the expected rating that an answer must reach, from 0 to 1.
	Quality float64
	// MaxCost bounds the cost of one request in millionths; 0 is no bound.
	MaxCost Micros
	// Deadline is used for requests that state none, in milliseconds.
	Deadline clock.Millis
	// Priority orders requests when some must be refused; the higher one stays.
	Priority int
	// Versions narrows the versions of the workspace; empty means all of them.
	Versions []VersionID
	// Cascade allows a cheap version to be tried first and its answer to be rated.
	Cascade bool
	// Explore is the share of requests that may try an unproved version, from 0 to 1.
	Explore float64
}

// Version is a version of a model.
type Version struct {
	ID VersionID
	// InputCost is the price of one million input tokens in millionths.
	InputCost Micros
	// OutputCost is the price of one million output tokens in millionths.
	OutputCost Micros
	// Quality is the operator's estimate by task, used until ratings are in.
	Quality map[string]float64
	// Withdrawn stops all new work on the version.
	Withdrawn bool
}

// Rollout moves the new sessions of a model from one version to another.
type Rollout struct {
	// Model is the name of the model and of the roll-out.
	Model string
	From  VersionID
	To    VersionID
	// Share is the part of new sessions that get To, from 0 to 1.
	Share float64
	// Held stops new sessions from getting To.
	Held bool
	// Evidence tells why the roll-out was held.
	Evidence string
}

// Zone is an availability zone.
type Zone struct {
	Name string
	// Out stops all new work in the zone.
	Out bool
}

// UpstreamRule is what operators state of one upstream.
type UpstreamRule struct {
	Name string
	// Drained stops new work on the upstream.
	Drained bool
	// ColdLimit is how many requests the upstream bears at once in cold start, over all instances.
	ColdLimit int
	// WarmLimit is how many requests the upstream bears at once when warm, over all instances.
	WarmLimit int
	// ChecksFence is true when the engine refuses an order with an old fencing number.
	ChecksFence bool
	// RefusalIsNotRun is true when a 429 or 503 of the upstream proves that the request did not run.
	RefusalIsNotRun bool
}

// Service is a plain service that the router passes calls to.
type Service struct {
	Name string
	// RepeatableMethods are the methods that may be sent again; all others need a request key.
	RepeatableMethods []string
	// Priority orders calls when some must be refused; the higher one stays.
	Priority int
	// Deadline is used for calls that state none, in milliseconds.
	Deadline clock.Millis
}

// Repeatable tells whether calls of the method may be sent more than once.
func (s *Service) Repeatable(method string) bool {
	for _, m := range s.RepeatableMethods {
		if m == method {
			return true
		}
	}
	return false
}
