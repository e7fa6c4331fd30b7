package catalogue

import (
	"fmt"
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Role is the kind of a process in the platform's list.
type Role string

// The roles of listed processes: router instance, model engine and plain service.
const (
	RoleEntry   Role = "Entry"
	RoleEngine  Role = "Engine"
	RoleService Role = "Service"
)

// Upstream is a listed model engine or plain service, with its observed state and its limits.
type Upstream struct {
	Name    string
	Role    Role
	Address string
	Zone    string
	// Versions has the versions that an engine has loaded.
	Versions []VersionID
	// Service is the name of the service to which the upstream belongs.
	Service string
	Leaving bool
	// Release is the software release that the upstream runs, if its service has releases.
	Release string
	// Incarnation grows with each restart under the same name.
	Incarnation int64
	// Slots is the number of requests that the upstream runs concurrently; 0 when unknown.
	Slots int
	// ColdUntil is the monotonic time at which the cold start of a service's upstream ends, in milliseconds.
	ColdUntil clock.Millis
	// ZoneOut is true while its availability zone is taken out of service by operators.
	ZoneOut bool
	// Cold is true while the upstream is considered to be in cold start.
	Cold bool
	// Share is this instance's share of the upstream's concurrency limit, in requests in flight.
	Share int
	// Load is the upstream's latest load report.
	Load Load
	Rule UpstreamRule
}

// Serves reports whether the upstream has the version loaded.
func (u *Upstream) Serves(id VersionID) bool {
	for _, v := range u.Versions {
		if v == id {
			return true
		}
	}
	return false
}

// Load is the load report of an upstream.
type Load struct {
	// At is the monotonic time at which the report was read, in milliseconds; 0 means never.
	At clock.Millis
	// InFlight is the number of requests that the upstream is working on.
	InFlight int
	// Bearable is the number of concurrent requests that the upstream reports it can handle.
	Bearable int
	// TokenTime is the mean time between tokens, in milliseconds.
	TokenTime float64
	// FirstTokenTime is the mean time to the first token, in milliseconds.
	FirstTokenTime float64
	Cold           bool
}

// Member is an entry instance as the instances know each other.
type Member struct {
	Name        string
	PeerAddress string
	// CallerAddress is where the instance takes requests of callers; it is empty if an older version has registered it.
	CallerAddress string
	Zone          string
	Incarnation   int64
	Leaving       bool
}

// SameMembers reports whether two slices are the same, as those of one snapshot are.
func SameMembers(a, b []Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Health has the rating and latency statistics of a version for a task.
type Health struct {
	Version VersionID
	Task    string
	// Rated is the number of ratings, Mean their mean, and Lower the lower confidence bound of the mean; both are from 0 to 1.
	Rated int
	Mean  float64
	Lower float64
	// Scores is the histogram of the ratings, with buckets of equal width from 0 to 1.
	Scores [ScoreSteps]int32
	// Suspect is true when the sequential hypothesis test has found the version to be bad.
	Suspect bool
	// FirstTokenTime is the mean time to the first token, and TokenTime the mean time between tokens, as callers saw them, in
	// milliseconds.
	FirstTokenTime float64
	TokenTime      float64
	// Tokens is the mean length of an answer, in tokens.
	Tokens float64
}

// ScoreSteps is the number of buckets in a histogram of scores.
const ScoreSteps = 20

// HealthKey identifies the health of a version for a task.
type HealthKey struct {
	Version VersionID
	Task    string
}

// MarshalText returns the key as "version task", the form used in dumps; it never fails.
func (k HealthKey) MarshalText() ([]byte, error) {
	return []byte(string(k.Version) + " " + k.Task), nil
}

// Snapshot is the state by which requests are handled; it is immutable once published.
type Snapshot struct {
	// At is the monotonic time at which the configuration and the list were last known to be current.
	At     clock.Millis
	Config *State
	// SharesAt is the monotonic time at which the shares were computed.
	SharesAt clock.Millis
	// Upstreams are sorted by name.
	Upstreams []*Upstream
	// Members has the entry instances, including this one, sorted by name.
	Members []Member
	Health  map[HealthKey]Health
	// Draining is true when this instance is shutting down.
	Draining bool
	// Routes is the configuration of a daemon that serves requests by routes; it is nil until one has been read.
	Routes *RouteTable
	// Moves has the release rollouts, by service.
	Moves map[string]*ReleaseRollout
	// Pools has the upstreams that may get new work, by service and sorted by name.
	Pools map[string][]*Upstream
}

// StaleError means that a snapshot or its shares are too old to be used; both times are in milliseconds.
type StaleError struct {
	Age     clock.Millis
	Horizon clock.Millis
}

// Error includes the age and the horizon, in milliseconds.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the view is %d ms old, the horizon is %d ms", e.Age, e.Horizon)
}

// ForbiddenError means that a request must not be sent; Rule says why, and Name is the object to which the rule applies.
type ForbiddenError struct {
	Rule string
	Name string
}

// Error includes the rule and the name of the object.
func (e *ForbiddenError) Error() string { return fmt.Sprintf("%s: %s", e.Rule, e.Name) }

// Fresh returns a *StaleError when the snapshot is older than the horizon at now.
func (s *Snapshot) Fresh(now, horizon clock.Millis) error {
	if age := now - s.At; age > horizon {
		return &StaleError{Age: age, Horizon: horizon}
	}
	return nil
}

// PermitVersion returns a *ForbiddenError when the workspace may not use the version now.
func (s *Snapshot) PermitVersion(workspace string, id VersionID) error {
	w := s.Config.Workspaces[workspace]
	if w == nil {
		return &ForbiddenError{Rule: "unknown workspace", Name: workspace}
	}
	v := s.Config.Versions[id]
	if v == nil {
		return &ForbiddenError{Rule: "unknown version", Name: string(id)}
	}
	if v.Withdrawn {
		return &ForbiddenError{Rule: "withdrawn version", Name: string(id)}
	}
	if !slices.Contains(w.Versions, id) {
		return &ForbiddenError{Rule: "version not allowed for the workspace", Name: string(id)}
	}
	return nil
}

// PermitService returns a *ForbiddenError when the workspace may not use the plain service now.
func (s *Snapshot) PermitService(workspace, name string) error {
	w := s.Config.Workspaces[workspace]
	if w == nil {
		return &ForbiddenError{Rule: "unknown workspace", Name: workspace}
	}
	if s.Config.Services[name] == nil {
		return &ForbiddenError{Rule: "unknown service", Name: name}
	}
	if !slices.Contains(w.Services, name) {
		return &ForbiddenError{Rule: "service not allowed for the workspace", Name: name}
	}
	return nil
}

// PermitUpstream returns a *ForbiddenError when the upstream may not get new work now.
func (s *Snapshot) PermitUpstream(name string) error {
	u := s.Upstream(name)
	if u == nil {
		return &ForbiddenError{Rule: "upstream not listed", Name: name}
	}
	return s.PermitListed(u)
}

// PermitListed returns a *ForbiddenError when the upstream, which must be one of the snapshot, may not get new work now.
func (s *Snapshot) PermitListed(u *Upstream) error {
	if u.Leaving {
		return &ForbiddenError{Rule: "leaving upstream", Name: u.Name}
	}
	if u.Rule.Drained {
		return &ForbiddenError{Rule: "drained upstream", Name: u.Name}
	}
	if s.Config.ZoneOut(u.Zone) {
		return &ForbiddenError{Rule: "availability zone out", Name: u.Zone}
	}
	return nil
}

// ShareLifetime is how long a share of a cold upstream may be used after it was computed, in milliseconds.
const ShareLifetime = 1 * clock.Second

// PermitShare returns a *StaleError when the upstream is cold and the shares are too old to be used at now.
func (s *Snapshot) PermitShare(name string, now clock.Millis) error {
	u := s.Upstream(name)
	if age := now - s.SharesAt; u != nil && u.Cold && age > ShareLifetime {
		return &StaleError{Age: age, Horizon: ShareLifetime}
	}
	return nil
}

// Upstream returns the upstream of that name, or nil.
func (s *Snapshot) Upstream(name string) *Upstream {
	for _, u := range s.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}
