package proctest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// Daemon is an entry instance process that reaches the log, the instance list and its peers through relays of its own.
type Daemon struct {
	*Process
	Settings settings.Settings
	// Log and List are the relays to the platform's log and instance list.
	Log  *Relay
	List *Relay

	system      *System
	incarnation int64
	mu          sync.Mutex
	peers       map[string]*Relay
}

// prepareDaemon adds a daemon with its settings and relays to the system without starting it.
func (s *System) prepareDaemon(name, zone string) *Daemon {
	s.T.Helper()
	d := &Daemon{system: s, peers: map[string]*Relay{}, Log: NewRelay(s.T, s.Log.Address)}
	listServer := httptest.NewServer(http.HandlerFunc(d.serveList))
	s.T.Cleanup(listServer.Close)
	d.List = NewRelay(s.T, strings.TrimPrefix(listServer.URL, "http://"))
	cfg := settings.Default()
	cfg.Name, cfg.Zone = name, zone
	cfg.CallerAddress, cfg.AdminAddress, cfg.PeerAddress = FreeAddress(s.T), FreeAddress(s.T), FreeAddress(s.T)
	cfg.Platform = settings.Platform{
		Log:     "http://" + d.Log.Address,
		List:    "http://" + d.List.Address,
		Ratings: s.Ratings.URL(),
		Weights: s.Weights.URL(),
	}
	cfg.Keys = s.keys
	cfg.Times.Drain = 60 * clock.Second
	cfg.Times.ListPoll, cfg.Times.LoadPoll, cfg.Times.PeerTick, cfg.Times.RatingPoll = 200, 200, 200, 500
	// An instance sends requests to a cold upstream only after it has seen the list for ListLag + 3 ColdLease + ColdHold.
	cfg.Times.ListLag, cfg.Times.ColdLease, cfg.Times.ColdHold = 300, 1000, 500
	if s.options.Settings != nil {
		s.options.Settings(&cfg)
	}
	d.Settings = cfg
	s.Daemons = append(s.Daemons, d)
	return d
}

// Start writes the settings file, starts the process with a new incarnation and registers it in the instance list.
func (d *Daemon) Start() {
	t := d.system.T
	t.Helper()
	raw, err := json.MarshalIndent(d.Settings, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(d.system.dir, d.Settings.Name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	d.incarnation++
	d.Process = start(t, d.Settings.Name, "carawayknotd", nil, "--settings", file)
	d.Register(false)
}

// Register puts the daemon on the instance list, marked as leaving or not.
func (d *Daemon) Register(leaving bool) {
	d.system.T.Helper()
	d.system.List.PutInstance(backoffice.Instance{
		Name:        d.Settings.Name,
		Role:        catalogue.RoleEntry,
		Address:     d.Settings.CallerAddress,
		PeerAddress: d.Settings.PeerAddress,
		Zone:        d.Settings.Zone,
		Incarnation: d.incarnation,
		Leaving:     leaving,
	})
}

// AwaitReady waits until the daemon reports ready, and fails the test after a timeout or when the process exits.
func (d *Daemon) AwaitReady() {
	d.system.T.Helper()
	Eventually(d.system.T, readyTimeout, d.Settings.Name+" is ready", func() bool {
		if d.Exited() {
			d.system.T.Fatalf("%s exited early: %v", d.Name, d.err)
		}
		return d.Ready()
	})
}

// Ready reports whether the daemon's readiness endpoint answers with 200.
func (d *Daemon) Ready() bool {
	resp, err := controlClient.Get("http://" + d.Settings.CallerAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Isolate cuts all links between the daemon and the log, the instance list and its peers in both directions, or restores them.
func (d *Daemon) Isolate(cut bool) {
	d.Log.Cut(cut, cut)
	d.List.Cut(cut, cut)
	for _, other := range d.system.Daemons {
		if other != d {
			d.CutPeer(other, cut)
			other.CutPeer(d, cut)
		}
	}
}

// CutPeer cuts the connections that the daemon opens to another one, or restores them.
func (d *Daemon) CutPeer(other *Daemon, cut bool) {
	d.peerRelay(other.Settings.PeerAddress).Cut(cut, cut)
}

// peerRelay returns the relay between the daemon and a peer address, and creates it at first use.
func (d *Daemon) peerRelay(address string) *Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.peers[address]
	if r == nil {
		r = NewRelay(d.system.T, address)
		d.peers[address] = r
	}
	return r
}

// serveList serves the instance list to the daemon, with the peer addresses replaced by those of the daemon's relays.
func (d *Daemon) serveList(w http.ResponseWriter, r *http.Request) {
	listing, err := (&backoffice.List{BaseURL: d.system.List.URL()}).Instances(r.Context())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for i, in := range listing.Instances {
		if in.PeerAddress != "" && in.Name != d.Settings.Name {
			listing.Instances[i].PeerAddress = d.peerRelay(in.PeerAddress).Address
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listing)
}

// The daemons' ports lie below the kernel's ephemeral range, so that no outgoing connection takes one before its daemon listens.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// portCounter counts the ports that were tried; its start depends on the process id, so that concurrent test binaries differ.
var portCounter = func() *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(int64(os.Getpid()) * 100)
	return n
}()

// FreeAddress returns an unused loopback address that it has not returned before, with a port that the system gives to no other listener
// or connection by itself.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + portCounter.Add(1)%(lastPort-firstPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = ln.Close()
		return ln.Addr().String()
	}
	t.Fatal("no free port in the port range of the daemons")
	return ""
}

// convergenceTimeout limits how long a change may take to reach all daemons.
const convergenceTimeout = 16 * time.Second
