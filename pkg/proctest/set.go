package proctest

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/settings"
	"carawayknot.example/carawayknot/pkg/standin"
)

const (
	adminKey = "admin-key-of-the-tests-0123456789"
	// WorkspaceKey is the key of the workspace that Base configures.
	WorkspaceKey = "workspace-key-of-the-tests"
	// Workspace is the name of that workspace.
	Workspace = "front-desk"
	// ServiceName is the name of the plain service.
	ServiceName = "booking"
)

// Upstream is an engine or a service of a set.
type Upstream struct {
	Name string
	Zone string
	// Faults are standin.EngineFaults or standin.ServiceFaults.
	Faults any
}

// Options say what a set is made of.
type Options struct {
	// Instances is the number of daemons; they are spread over the zones.
	Instances int
	Engines   []Upstream
	Services  []Upstream
	// Log and List are the faults that are set from the start.
	Log  standin.LogFaults
	List standin.ListFaults
	// Cold leaves the upstreams as they start, without requests that warm them up.
	Cold bool
	// Settings changes the settings of each daemon; it is optional.
	Settings func(*settings.Settings)
	// Config changes the configuration before it is applied; it is optional.
	Config func(*Config)
}

// slots bounds the sets that run at the same time.
var slots = make(chan struct{}, 6)

// Zones are the availability zones of a set.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Set is a platform of stand-ins with daemons before it.
type Set struct {
	T       testing.TB
	Log     *StandIn
	List    *StandIn
	Ratings *StandIn
	Weights *StandIn
	// Upstreams are the engines and services by name.
	Upstreams map[string]*StandIn
	Daemons   []*Daemon

	options Options
	dir     string
	keys    settings.Keys
}

// DefaultEngines returns an engine in each zone, which serves the versions of the base configuration.
func DefaultEngines() []Upstream {
	var out []Upstream
	for i, zone := range Zones {
		out = append(out, Upstream{
			Name: fmt.Sprintf("engine-%d", i),
			Zone: zone,
			Faults: standin.EngineFaults{
				Versions: []catalogue.VersionID{VersionOne, VersionTwo, VersionLarge},
				Bearable: 32, Tokens: 8, TokenMillis: 2,
			},
		})
	}
	return out
}

// DefaultServices returns one replica of the plain service.
func DefaultServices() []Upstream {
	return []Upstream{{Name: "booking-0", Zone: Zones[0], Faults: standin.ServiceFaults{Bearable: 16}}}
}

// NewSet starts the platform and the daemons, applies the base configuration and waits until all daemons serve.
func NewSet(t testing.TB, o Options) *Set {
	t.Helper()
	s := NewPlatform(t, o)
	for i := range o.Instances {
		s.addDaemon(fmt.Sprintf("entry-%d", i), Zones[i%len(Zones)]).Start()
	}
	s.Configure()
	return s
}

// NewPlatform starts the stand-ins only.
func NewPlatform(t testing.TB, o Options) *Set {
	t.Helper()
	if o.Engines == nil {
		o.Engines = DefaultEngines()
	}
	if o.Services == nil {
		o.Services = DefaultServices()
	}
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	s := &Set{T: t, options: o, dir: t.TempDir(), Upstreams: map[string]*StandIn{}}
	s.writeKeys()
	s.Log = StartStandIn(t, "log", "log", o.Log)
	s.List = StartStandIn(t, "list", "list", o.List)
	s.Ratings = StartStandIn(t, "ratings", "ratings", map[string]any{})
	s.Weights = StartStandIn(t, "weights", "weights", map[string]any{})
	for _, u := range o.Engines {
		s.AddEngine(u)
	}
	for _, u := range o.Services {
		s.addService(u)
	}
	return s
}

// AddEngine starts an engine and puts it on the list.
func (s *Set) AddEngine(u Upstream) {
	s.T.Helper()
	s.Upstreams[u.Name] = StartStandIn(s.T, "engine", u.Name, u.Faults, "--ratings", s.Ratings.URL())
	s.EnlistEngine(u, false)
}

// EnlistEngine puts an engine on the list, leaving or not.
func (s *Set) EnlistEngine(u Upstream, leaving bool) {
	s.T.Helper()
	s.List.List(backoffice.Instance{
		Name: u.Name, Role: catalogue.RoleEngine, Address: s.Upstreams[u.Name].Address, Zone: u.Zone,
		Incarnation: 1, Leaving: leaving, Versions: u.Faults.(standin.EngineFaults).Versions,
	})
}

func (s *Set) addService(u Upstream) {
	s.T.Helper()
	s.Upstreams[u.Name] = StartStandIn(s.T, "service", u.Name, u.Faults)
	s.List.List(backoffice.Instance{
		Name: u.Name, Role: catalogue.RoleService, Address: s.Upstreams[u.Name].Address, Zone: u.Zone,
		Incarnation: 1, Service: ServiceName,
	})
}

// AddDaemon starts one more daemon in a zone; the caller waits until it is ready.
func (s *Set) AddDaemon(name, zone string) *Daemon {
	s.T.Helper()
	d := s.addDaemon(name, zone)
	d.Start()
	return d
}

func (s *Set) writeKeys() {
	s.T.Helper()
	write := func(name, key string) string {
		file := filepath.Join(s.dir, name)
		if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
			s.T.Fatal(err)
		}
		return file
	}
	s.keys = settings.Keys{
		AdminFile:   write("admin.key", adminKey),
		PeerFile:    write("peer.key", "peer-key-of-the-tests-0123456789ab"),
		SessionFile: write("session.key", "session-key-of-the-tests-0123456789"),
	}
}
