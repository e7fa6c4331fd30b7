package catalogue

import (
	"fmt"
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Role tells what a listed process is.
type Role string

// The roles of listed processes.
const (
	RoleEntry   Role = "Entry"
	RoleEngine  Role = "Engine"
	RoleService Role = "Service"
)

// Upstream is a model engine or a plain service as the list shows it, with what is known of its state.
type Upstream struct {
	Name    string
	Role    Role
	Address string
	Zone    string
	// Versions are the versions an engine has loaded.
	Versions []VersionID
	// Service is the name of the plain service.
	Service string
	Leaving bool
	// Release is the version of the software that the upstream runs, where its service has releases.
	Release string
	// Incarnation grows with each restart under the same name.
	Incarnation int64
	// Slots is how many requests the upstream runs at once; 0 when it is not known.
	Slots int
	// ColdUntil is the monotonic time until which a service's upstream is cold, in milliseconds.
	ColdUntil clock.Millis
	// ZoneOut is true while operators have its availability zone taken out.
	ZoneOut bool
	// Cold is true while the upstream is taken to be in cold start.
	Cold bool
	// Share is how many requests this instance may have in flight at the upstream.
	Share int
	// Load is the upstream's last report.
	Load Load
	Rule UpstreamRule
}

// Serves tells whether the upstream has the version loaded.
func (u *Upstream) Serves(id VersionID) bool {
	for _, v := range u.Versions {
		if v == id {
			return true
		}
	}
	return false
}

// Load is what an upstream reported of itself.
type Load struct {
	// At is the monotonic time at which the report was read, in milliseconds; 0 means never.
	At clock.Millis
	// InFlight counts the requests the upstream holds.
	InFlight int
	// Bearable is how many requests the upstream says it bears.
	Bearable int
	// TokenTime is the mean time between tokens, in milliseconds.
	TokenTime float64
	// FirstTokenTime is the mean time to the first token, in milliseconds.
	FirstTokenTime float64
	Cold           bool
}

// Member is an entry instance.
type Member struct {
	Name        string
	PeerAddress string
	Zone        string
	Incarnation int64
	Leaving     bool
}

// Health is what is known of a version for a task.
type Health struct {
	Version VersionID
	Task    string
	// Rated counts the ratings, Mean is their mean, and Lower is the lower confidence bound, each from 0 to 1.
	Rated int
	Mean  float64
	Lower float64
	// Scores counts the ratings by score, in steps of equal width from 0 to 1.
	Scores [ScoreSteps]int32
	// Suspect is true when the sequential test has found the version to be bad.
	Suspect bool
	// FirstTokenTime and TokenTime are what callers saw, in milliseconds.
	FirstTokenTime float64
	TokenTime      float64
	// Tokens is the mean length of an answer.
	Tokens float64
}

// ScoreSteps is the number of steps in which scores are counted.
const ScoreSteps = 20

// HealthKey names the health of a version for a task.
type HealthKey struct {
	Version VersionID
	Task    string
}

// MarshalText returns the key as "version task", as it stands in dumps.
func (k HealthKey) MarshalText() ([]byte, error) {
	return []byte(string(k.Version) + " " + k.Task), nil
}

// Snapshot is everything traffic decides on; it is never changed once published.
type Snapshot struct {
	// At is the monotonic time at which the configuration and the list were last proved to be current.
	At     clock.Millis
	Config *State
	// SharesAt is the monotonic time at which the shares were worked out.
	SharesAt clock.Millis
	// Upstreams are sorted by name.
	Upstreams []*Upstream
	// Members are the entry instances, this one included, sorted by name.
	Members []Member
	Health  map[HealthKey]Health
	// Draining is true when this instance is shutting down.
	Draining bool
	// Routes is the configuration where requests are told apart by routes; it is nil until one was read.
	Routes *RouteTable
	// Moves are the moves to new releases, by service.
	Moves map[string]*ReleaseMove
	// Pools are the upstreams that may get new work, by service and sorted by name.
	Pools map[string][]*Upstream
}

// StaleError says that a view is too old to decide on; both times are in milliseconds.
type StaleError struct {
	Age     clock.Millis
	Horizon clock.Millis
}

// Error tells the age and the horizon.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the view is %d ms old, the horizon is %d ms", e.Age, e.Horizon)
}

// ForbiddenError says which rule stops a request from being sent.
type ForbiddenError struct {
	Rule string
	Name string
}

// Error names the rule.
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

// PermitListed is PermitUpstream for an upstream of the snapshot.
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

// ShareTime is how long a share of a cold upstream may be used after it was worked out, in milliseconds.
const ShareTime = 1 * clock.Second

// PermitShare returns a *StaleError when the upstream is cold and the shares are too old to be used at now.
func (s *Snapshot) PermitShare(name string, now clock.Millis) error {
	u := s.Upstream(name)
	if age := now - s.SharesAt; u != nil && u.Cold && age > ShareTime {
		return &StaleError{Age: age, Horizon: ShareTime}
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
