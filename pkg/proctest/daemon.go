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

// Daemon is an entry instance. It reaches the log, the list and its peers through relays of its own.
type Daemon struct {
	*Process
	Settings settings.Settings
	// Log and List are the ways to the platform.
	Log  *Relay
	List *Relay

	set         *Set
	incarnation int64
	mu          sync.Mutex
	peers       map[string]*Relay
}

// addDaemon prepares the settings of a daemon, and does not start it.
func (s *Set) addDaemon(name, zone string) *Daemon {
	s.T.Helper()
	d := &Daemon{set: s, peers: map[string]*Relay{}, Log: NewRelay(s.T, s.Log.Address)}
	view := httptest.NewServer(http.HandlerFunc(d.serveList))
	s.T.Cleanup(view.Close)
	d.List = NewRelay(s.T, strings.TrimPrefix(view.URL, "http://"))
	cfg := settings.Default()
	cfg.Name, cfg.Zone = name, zone
	cfg.CallerAddress, cfg.AdminAddress, cfg.PeerAddress = freeAddress(s.T), freeAddress(s.T), freeAddress(s.T)
	cfg.Platform = settings.Platform{
		Log:     "http://" + d.Log.Address,
		List:    "http://" + d.List.Address,
		Ratings: s.Ratings.URL(),
		Weights: s.Weights.URL(),
	}
	cfg.Keys = s.keys
	cfg.Times.Drain = 60 * clock.Second
	cfg.Times.ListPoll, cfg.Times.LoadPoll, cfg.Times.PeerTick, cfg.Times.RatingPoll = 200, 200, 200, 500
	// A cold upstream gets work once an instance has seen the list for ListLag + 3 ColdLease + ColdHold.
	cfg.Times.ListLag, cfg.Times.ColdLease, cfg.Times.ColdHold = 300, 1000, 500
	if s.options.Settings != nil {
		s.options.Settings(&cfg)
	}
	d.Settings = cfg
	s.Daemons = append(s.Daemons, d)
	return d
}

// Start starts the daemon and puts it on the list.
func (d *Daemon) Start() {
	t := d.set.T
	t.Helper()
	raw, err := json.MarshalIndent(d.Settings, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(d.set.dir, d.Settings.Name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	d.incarnation++
	d.Process = start(t, d.Settings.Name, "carawayknotd", nil, "--settings", file)
	d.Enlist(false)
}

// Enlist puts the daemon on the list, leaving or not.
func (d *Daemon) Enlist(leaving bool) {
	d.set.T.Helper()
	d.set.List.List(backoffice.Instance{
		Name:        d.Settings.Name,
		Role:        catalogue.RoleEntry,
		Address:     d.Settings.CallerAddress,
		PeerAddress: d.Settings.PeerAddress,
		Zone:        d.Settings.Zone,
		Incarnation: d.incarnation,
		Leaving:     leaving,
	})
}

// AwaitReady waits until the daemon calls itself ready.
func (d *Daemon) AwaitReady() {
	d.set.T.Helper()
	Eventually(d.set.T, readyTime, d.Settings.Name+" is ready", func() bool {
		if d.Ended() {
			d.set.T.Fatalf("%s has ended: %v", d.Name, d.err)
		}
		return d.Ready()
	})
}

// Ready tells whether the daemon calls itself ready.
func (d *Daemon) Ready() bool {
	resp, err := control.Get("http://" + d.Settings.CallerAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Isolate cuts the daemon off from log, list and peers in both directions, or heals that.
func (d *Daemon) Isolate(cut bool) {
	d.Log.Cut(cut, cut)
	d.List.Cut(cut, cut)
	for _, other := range d.set.Daemons {
		if other != d {
			d.CutPeer(other, cut)
			other.CutPeer(d, cut)
		}
	}
}

// CutPeer cuts the way on which the daemon calls another one, or heals it.
func (d *Daemon) CutPeer(other *Daemon, cut bool) {
	d.peerRelay(other.Settings.PeerAddress).Cut(cut, cut)
}

// peerRelay returns the relay through which the daemon reaches a peer address.
func (d *Daemon) peerRelay(address string) *Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.peers[address]
	if r == nil {
		r = NewRelay(d.set.T, address)
		d.peers[address] = r
	}
	return r
}

// serveList shows the daemon the list, with its own relays as the addresses of its peers.
func (d *Daemon) serveList(w http.ResponseWriter, r *http.Request) {
	listing, err := (&backoffice.List{BaseURL: d.set.List.URL()}).Instances(r.Context())
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

// The ports of daemons are below those that the kernel hands out, so that no other socket takes one before its daemon.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// nextPort counts the ports that were tried; where it starts differs between test binaries that run at the same time.
var nextPort = func() *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(int64(os.Getpid()) * 100)
	return n
}()

// freeAddress returns a loopback address on which nothing listens; none is returned twice.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = ln.Close()
		return ln.Addr().String()
	}
	t.Fatal("no port is free")
	return ""
}

// settleTime is how long facts may take to come into force everywhere.
const settleTime = 16 * time.Second
