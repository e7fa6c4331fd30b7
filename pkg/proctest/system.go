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
	// WorkspaceKey is the API key of the workspace that Base configures.
	WorkspaceKey = "workspace-key-of-the-tests"
	// Workspace is the name of the workspace that Base configures.
	Workspace = "front-desk"
	// ServiceName is the name of the booking service, which has no model.
	ServiceName = "booking"
)

// Upstream describes one engine or one service replica to start.
type Upstream struct {
	Name string
	Zone string
	// Faults is a standin.EngineFaults or a standin.ServiceFaults.
	Faults any
}

// Options configure a system; nil Engines and Services stand for DefaultEngines and DefaultServices.
type Options struct {
	// Instances is the number of daemons, which are spread over Zones in turn.
	Instances int
	Engines   []Upstream
	Services  []Upstream
	// Log and List are the faults of the log and of the instance list from the start.
	Log  standin.LogFaults
	List standin.ListFaults
	// Cold skips the warm-up requests, so that the upstreams are still in cold start.
	Cold bool
	// Settings changes the settings of each daemon when it is not nil.
	Settings func(*settings.Settings)
	// Config changes the base configuration before it is applied when it is not nil.
	Config func(*Config)
}

// slots is a semaphore that limits how many systems run at the same time.
var slots = make(chan struct{}, 6)

// Zones are the names of the availability zones of a system.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// System is the system under test: daemons with stand-ins for the platform's services and for the upstreams.
type System struct {
	T       testing.TB
	Log     *StandIn
	List    *StandIn
	Ratings *StandIn
	Weights *StandIn
	// Upstreams are the stand-ins for engines and services by name.
	Upstreams map[string]*StandIn
	Daemons   []*Daemon

	options Options
	dir     string
	keys    settings.KeyFiles
}

// DefaultEngines returns one engine in each zone that serves all versions of the base configuration.
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

// DefaultServices returns one replica of the booking service.
func DefaultServices() []Upstream {
	return []Upstream{{Name: "booking-0", Zone: Zones[0], Faults: standin.ServiceFaults{Bearable: 16}}}
}

// NewSystem starts the stand-ins and the daemons, applies the base configuration and waits until all daemons are ready with it.
func NewSystem(t testing.TB, o Options) *System {
	t.Helper()
	s := NewPlatform(t, o)
	for i := range o.Instances {
		s.prepareDaemon(fmt.Sprintf("entry-%d", i), Zones[i%len(Zones)]).Start()
	}
	s.Configure()
	return s
}

// NewPlatform starts a system without daemons.
func NewPlatform(t testing.TB, o Options) *System {
	t.Helper()
	if o.Engines == nil {
		o.Engines = DefaultEngines()
	}
	if o.Services == nil {
		o.Services = DefaultServices()
	}
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	s := &System{T: t, options: o, dir: t.TempDir(), Upstreams: map[string]*StandIn{}}
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

// AddEngine starts an engine and registers it in the instance list.
func (s *System) AddEngine(u Upstream) {
	s.T.Helper()
	s.Upstreams[u.Name] = StartStandIn(s.T, "engine", u.Name, u.Faults, "--ratings", s.Ratings.URL())
	s.RegisterEngine(u, false)
}

// RegisterEngine puts an engine on the instance list, marked as leaving or not.
func (s *System) RegisterEngine(u Upstream, leaving bool) {
	s.T.Helper()
	s.List.PutInstance(backoffice.Instance{
		Name: u.Name, Role: catalogue.RoleEngine, Address: s.Upstreams[u.Name].Address, Zone: u.Zone,
		Incarnation: 1, Leaving: leaving, Versions: u.Faults.(standin.EngineFaults).Versions,
	})
}

func (s *System) addService(u Upstream) {
	s.T.Helper()
	s.Upstreams[u.Name] = StartStandIn(s.T, "service", u.Name, u.Faults)
	s.List.PutInstance(backoffice.Instance{
		Name: u.Name, Role: catalogue.RoleService, Address: s.Upstreams[u.Name].Address, Zone: u.Zone,
		Incarnation: 1, Service: ServiceName,
	})
}

// AddDaemon starts one more daemon in a zone without waiting until it is ready.
func (s *System) AddDaemon(name, zone string) *Daemon {
	s.T.Helper()
	d := s.prepareDaemon(name, zone)
	d.Start()
	return d
}

func (s *System) writeKeys() {
	s.T.Helper()
	write := func(name, key string) string {
		file := filepath.Join(s.dir, name)
		if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
			s.T.Fatal(err)
		}
		return file
	}
	s.keys = settings.KeyFiles{
		AdminFile:   write("admin.key", adminKey),
		PeerFile:    write("peer.key", "peer-key-of-the-tests-0123456789ab"),
		SessionFile: write("session.key", "session-key-of-the-tests-0123456789"),
	}
}
