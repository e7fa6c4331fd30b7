package proctest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// The model versions of the base configuration; VersionLarge has a higher quality and a higher price than the others.
const (
	VersionOne   catalogue.VersionID = "leaf@1"
	VersionTwo   catalogue.VersionID = "leaf@2"
	VersionLarge catalogue.VersionID = "estate@3"
)

// Config holds the objects of the configuration that a system starts with.
type Config struct {
	Workspaces []*catalogue.Workspace
	Profiles   []*catalogue.Profile
	Versions   []*catalogue.Version
	Zones      []*catalogue.Zone
	Upstreams  []*catalogue.UpstreamRule
	Services   []*catalogue.Service
}

// Base returns the default configuration, with profile "reply" for short answers and profile "dossier" with a cascade.
func (s *System) Base() *Config {
	digest := sha256.Sum256([]byte(WorkspaceKey))
	cfg := &Config{
		Workspaces: []*catalogue.Workspace{{
			Name: Workspace, KeyDigest: hex.EncodeToString(digest[:]),
			Profiles: []string{"reply", "dossier"}, Services: []string{ServiceName},
			Versions: []catalogue.VersionID{VersionOne, VersionTwo, VersionLarge},
		}},
		Profiles: []*catalogue.Profile{
			{Name: "reply", Task: "chat", Quality: 0.5, Deadline: 30 * clock.Second, Priority: 8},
			{Name: "dossier", Task: "dossier", Quality: 0.7, Deadline: 30 * clock.Second, Priority: 3, Cascade: true},
		},
		Versions: []*catalogue.Version{
			{ID: VersionOne, InputCost: 100_000, OutputCost: 400_000, Quality: map[string]float64{"chat": 0.8, "dossier": 0.5}},
			{ID: VersionTwo, InputCost: 120_000, OutputCost: 500_000, Quality: map[string]float64{"chat": 0.8, "dossier": 0.5}},
			{ID: VersionLarge, InputCost: 1_000_000, OutputCost: 4_000_000, Quality: map[string]float64{"chat": 0.95, "dossier": 0.95}},
		},
		Services: []*catalogue.Service{
			{Name: ServiceName, RepeatableMethods: []string{http.MethodGet}, Priority: 10, Deadline: 30 * clock.Second},
		},
	}
	for _, zone := range Zones {
		cfg.Zones = append(cfg.Zones, &catalogue.Zone{Name: zone})
	}
	for _, u := range append(append([]Upstream{}, s.options.Engines...), s.options.Services...) {
		cfg.Upstreams = append(cfg.Upstreams, &catalogue.UpstreamRule{Name: u.Name, ColdLimit: 2, WarmLimit: 32, RefusalIsNotRun: true})
	}
	return cfg
}

// Change returns one change that puts all objects of c, regardless of their current revisions.
func (c *Config) Change() *catalogue.Change {
	ch := &catalogue.Change{ID: uuid.NewString(), Author: "test"}
	for _, v := range c.Versions {
		ch.Edits = append(ch.Edits, unconditionalEdit(catalogue.KindVersion, string(v.ID), v))
	}
	for _, v := range c.Profiles {
		ch.Edits = append(ch.Edits, unconditionalEdit(catalogue.KindProfile, v.Name, v))
	}
	for _, v := range c.Services {
		ch.Edits = append(ch.Edits, unconditionalEdit(catalogue.KindService, v.Name, v))
	}
	for _, v := range c.Zones {
		ch.Edits = append(ch.Edits, unconditionalEdit(catalogue.KindZone, v.Name, v))
	}
	for _, v := range c.Upstreams {
		ch.Edits = append(ch.Edits, unconditionalEdit(catalogue.KindUpstream, v.Name, v))
	}
	for _, v := range c.Workspaces {
		ch.Edits = append(ch.Edits, unconditionalEdit(catalogue.KindWorkspace, v.Name, v))
	}
	return ch
}

// Put returns a change that puts one object regardless of its current revision.
func Put(kind catalogue.Kind, name string, object any) *catalogue.Change {
	return &catalogue.Change{ID: uuid.NewString(), Author: "test", Edits: []catalogue.Edit{unconditionalEdit(kind, name, object)}}
}

func unconditionalEdit(kind catalogue.Kind, name string, object any) catalogue.Edit {
	raw, err := json.Marshal(object)
	if err != nil {
		panic(err)
	}
	return catalogue.Edit{Kind: kind, Name: name, AnyBase: true, Object: raw}
}

// Configure applies the base configuration through the first daemon and waits until all daemons are ready with it.
func (s *System) Configure() {
	s.T.Helper()
	cfg := s.Base()
	if s.options.Config != nil {
		s.options.Config(cfg)
	}
	receipt := s.Daemons[0].MustApply(s.T, cfg.Change())
	for _, d := range s.Daemons {
		d.AwaitReady()
		d.AwaitRevision(receipt.Revision)
		d.AwaitUpstreams(len(s.Upstreams))
	}
	if !s.options.Cold {
		s.WarmUp()
	}
}

// WarmUp sends requests until no daemon reports an upstream as being in cold start.
func (s *System) WarmUp() {
	s.T.Helper()
	Eventually(s.T, readyTimeout, "all daemons report all upstreams as warm", func() bool {
		cold := false
		for i, d := range s.Daemons {
			for range d.coldUpstreams() {
				cold = true
				d.Chat(s.T.Context(), Chat{Content: "warm up", Deadline: warmUpDeadlineMillis})
				d.Book(s.T.Context(), Booking{Method: http.MethodGet, ID: fmt.Sprintf("warm-up-%d", i), Deadline: warmUpDeadlineMillis})
			}
		}
		return !cold
	})
}

// warmUpDeadlineMillis is the deadline of one warm-up request.
const warmUpDeadlineMillis clock.Millis = 2000

// coldUpstreams returns the names of the upstreams that the daemon reports as being in cold start.
func (d *Daemon) coldUpstreams() []string {
	var out []string
	for _, u := range d.Upstreams() {
		if u.Cold {
			out = append(out, u.Name)
		}
	}
	return out
}

// MustApply applies a change and retries it under the same id until the daemon accepts it, and fails the test after a timeout.
func (d *Daemon) MustApply(t testing.TB, ch *catalogue.Change) catalogue.Receipt {
	t.Helper()
	var receipt catalogue.Receipt
	Eventually(t, readyTimeout, "change is accepted by "+d.Settings.Name, func() bool {
		if d.Exited() {
			t.Fatalf("%s exited early: %v", d.Name, d.err)
		}
		status, got, err := d.Apply(ch)
		if err == nil && (status == http.StatusOK || status == http.StatusAccepted) {
			receipt = got
			return true
		}
		time.Sleep(pollInterval)
		return false
	})
	return receipt
}
