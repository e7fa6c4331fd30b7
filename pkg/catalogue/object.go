package catalogue

import (
	"strings"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Micros is an amount of money in millionths of the operator's currency unit.
type Micros int64

// VersionID identifies a version of a model, in the form model@version.
type VersionID string

// Model returns the part of the id before the at sign, or the whole id when there is none.
func (id VersionID) Model() string {
	model, _, _ := strings.Cut(string(id), "@")
	return model
}

// Workspace is a group of callers that share a key, permissions and limits.
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
	// MaxInFlight bounds the workspace's requests in flight over all instances; 0 means no bound.
	MaxInFlight int
	// RequestsPerSecond bounds the workspace's request rate over all instances; 0 means no bound.
	RequestsPerSecond float64
}

// Profile has the quality, cost and time requirements of one kind of request.
type Profile struct {
	Name string
	// Task is the kind of work; the quality of a version is rated separately for each task.
	Task string
	// Quality is the lowest acceptable expected rating of an answer, from 0 to 1.
	Quality float64
	// MaxCost bounds the cost of one request; 0 means no bound.
	MaxCost Micros
	// Deadline is the default for requests that state none, in milliseconds.
	Deadline clock.Millis
	// Priority ranks requests under overload: those of lower priority are refused first.
	Priority int
	// Versions restricts the versions of the workspace; empty means all of them.
	Versions []VersionID
	// Cascade allows trying a cheap version first and rating its answer before a better version is used.
	Cascade bool
	// Explore is the fraction of requests that may try a version whose quality is not established yet, from 0 to 1.
	Explore float64
}

// Version has the prices and the expected quality of one version of a model.
type Version struct {
	ID VersionID
	// InputCost is the price of one million input tokens.
	InputCost Micros
	// OutputCost is the price of one million output tokens.
	OutputCost Micros
	// Quality is the operator's estimate by task, used until there are ratings.
	Quality map[string]float64
	// Withdrawn excludes the version from all new work.
	Withdrawn bool
}

// Rollout is the gradual move of a model's new sessions from one version to another.
type Rollout struct {
	// Model names the model, and also the rollout, of which a model has at most one.
	Model string
	From  VersionID
	To    VersionID
	// Share is the fraction of new sessions that get To, from 0 to 1.
	Share float64
	// Held stops new sessions from getting To.
	Held bool
	// Evidence is the reason for which the rollout was held.
	Evidence string
}

// Zone is an availability zone, which operators can take out of service.
type Zone struct {
	Name string
	// Out excludes the zone from all new work.
	Out bool
}

// UpstreamRule has the operators' settings for one upstream; a limit of 0 means that none is set.
type UpstreamRule struct {
	Name string
	// Drained excludes the upstream from new work.
	Drained bool
	// ColdLimit is the upstream's concurrency limit in cold start, over all instances.
	ColdLimit int
	// WarmLimit is the upstream's concurrency limit when warm, over all instances.
	WarmLimit int
	// ChecksFence is true when the engine refuses orders with an outdated fencing token.
	ChecksFence bool
	// RefusalIsNotRun is true when a 429 or 503 of the upstream proves that the request did not run.
	RefusalIsNotRun bool
}

// Service is a plain service to which the router forwards calls.
type Service struct {
	Name string
	// RepeatableMethods are the methods that may be retried; calls of any other need an idempotency key.
	RepeatableMethods []string
	// Priority ranks calls under overload: those of lower priority are refused first.
	Priority int
	// Deadline is the default for calls that state none, in milliseconds.
	Deadline clock.Millis
}

// Repeatable reports whether calls of the method may be sent to upstreams more than once.
func (s *Service) Repeatable(method string) bool {
	for _, m := range s.RepeatableMethods {
		if m == method {
			return true
		}
	}
	return false
}
