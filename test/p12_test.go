//go:build process

package test

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/request"
)

// watchRevisions polls the revisions of the daemons until the test ends, and fails it when one decreases.
func watchRevisions(t *testing.T, s *proctest.System) {
	stop, done := make(chan struct{}), make(chan struct{})
	daemons := append([]*proctest.Daemon(nil), s.Daemons...)
	go func() {
		defer close(done)
		last := map[string]catalogue.Revision{}
		for {
			for _, d := range daemons {
				r := d.Revision()
				if r > 0 && r < last[d.Settings.Name] {
					t.Errorf("revision of %s decreased from %d to %d", d.Settings.Name, last[d.Settings.Name], r)
				}
				last[d.Settings.Name] = max(r, last[d.Settings.Name])
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
}

// priceChange returns a change that sets the price of the first version; tests use a different price to identify each change.
func priceChange(cost catalogue.Micros) *catalogue.Change {
	return proctest.Put(catalogue.KindVersion, string(proctest.VersionOne), &catalogue.Version{
		ID: proctest.VersionOne, InputCost: cost, OutputCost: cost, Quality: map[string]float64{"chat": 0.8, "dossier": 0.5},
	})
}

// activePrice returns the daemon's active price of the first version, or -1 when it is unknown.
func activePrice(d *proctest.Daemon) catalogue.Micros {
	c := d.Config()
	if c == nil || c.Versions[proctest.VersionOne] == nil {
		return -1
	}
	return c.Versions[proctest.VersionOne].InputCost
}

// requireHelloChat ends the test when the daemon does not answer a chat completely.
func requireHelloChat(t *testing.T, d *proctest.Daemon) {
	t.Helper()
	requireChat(t, d.Chat(t.Context(), proctest.Chat{Content: "hello"}), "hello", 8)
}

func TestP12OneInstanceIsolatedWhileAChangeIsAccepted(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	isolated := s.Daemons[2]
	isolated.Isolate(true)
	receipt := s.Daemons[0].MustApply(t, priceChange(7))
	if receipt.State != catalogue.ChangeAccepted {
		t.Errorf("got receipt %+v, want Accepted, because two of three instances are reachable", receipt)
	}
	for _, d := range s.Daemons[:2] {
		if got := activePrice(d); receipt.State == catalogue.ChangeAccepted && got != 7 {
			t.Errorf("got price %d at %s after the change was accepted, want 7", got, d.Settings.Name)
		}
	}
	proctest.Eventually(t, convergenceTimeout, "the isolated instance refuses requests", func() bool {
		r := isolated.Chat(t.Context(), proctest.Chat{Content: "hello", Deadline: 3000})
		return r.Status >= 400
	})
	for range 20 {
		r := isolated.Chat(t.Context(), proctest.Chat{Content: "hello"})
		if r.Outcome() != request.NotRun || r.Error.RetryAfter <= 0 {
			t.Errorf("isolated instance: got outcome %q, status %d, %+v; want NotRun with RetryAfter", r.Outcome(), r.Status, r.Error)
		}
	}
	if isolated.Ready() {
		t.Error("the isolated instance reports ready")
	}
	isolated.Isolate(false)
	proctest.Eventually(t, convergenceTimeout, "the change is active at the instance that was isolated", func() bool { return activePrice(isolated) == 7 })
	isolated.AwaitReady()
	requireHelloChat(t, isolated)
}

func TestP12IsolatedFromTheLogOnly(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	isolated := s.Daemons[2]
	isolated.Log.Cut(true, true)
	receipt := s.Daemons[0].MustApply(t, priceChange(8))
	proctest.Eventually(t, convergenceTimeout, "the change arrives from a peer", func() bool { return activePrice(isolated) == 8 })
	requireHelloChat(t, isolated)
	t.Logf("receipt %+v", receipt)
}

func TestP12ChangeIsNotAcceptedWhileMajorityIsIsolated(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	s.Daemons[1].Isolate(true)
	s.Daemons[2].Isolate(true)
	_, receipt, err := s.Daemons[0].Apply(priceChange(9))
	if err != nil {
		t.Fatal(err)
	}
	if receipt.State != catalogue.ChangeRecorded {
		t.Errorf("got receipt %+v, want Recorded while two of three instances are isolated", receipt)
	}
	s.Daemons[1].Isolate(false)
	s.Daemons[2].Isolate(false)
	for _, d := range s.Daemons {
		proctest.Eventually(t, convergenceTimeout, "the change is active at all instances", func() bool { return activePrice(d) == 9 })
	}
}

func TestP12StartedWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	awaitRevision(s, s.Daemons[0].MustApply(t, priceChange(10)).Revision)
	s.Log.SetFaults(map[string]any{"Down": true})
	d := s.AddDaemon("entry-new", proctest.Zones[0])
	proctest.Eventually(t, convergenceTimeout, "the new instance has the configuration of its peers", func() bool { return activePrice(d) == 10 })
	awaitReadyWithUpstreams(s, d)
	requireHelloChat(t, d)
	s.Log.SetFaults(map[string]any{"Down": false})
	awaitRevision(s, d.MustApply(t, priceChange(11)).Revision)
}

func TestP12StartedAloneWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	killAndRemove(s, s.Daemons...)
	s.Log.SetFaults(map[string]any{"Down": true})
	d := s.AddDaemon("entry-new", proctest.Zones[0])
	sleep(3 * time.Second)
	if d.Ready() {
		t.Error("an instance without a configuration reports ready")
	}
	r := d.Chat(t.Context(), proctest.Chat{Content: "hello"})
	if r.Err == nil && r.Outcome() != request.NotRun {
		t.Errorf("got outcome %q, status %d, want NotRun", r.Outcome(), r.Status)
	}
	s.Log.SetFaults(map[string]any{"Down": false})
	awaitReadyWithUpstreams(s, d)
	requireHelloChat(t, d)
}

func TestP12ConcurrentChanges(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	key := catalogue.ObjectKey{Kind: catalogue.KindVersion, Name: string(proctest.VersionOne)}
	for round := range 10 {
		base := s.Daemons[0].Config().ObjectRevision(key)
		receipts := make([]catalogue.Receipt, len(s.Daemons))
		changes := make([]*catalogue.Change, len(s.Daemons))
		var wg sync.WaitGroup
		for i, d := range s.Daemons {
			changes[i] = priceChange(catalogue.Micros(1000*(round+1) + i))
			changes[i].Edits[0].AnyBase, changes[i].Edits[0].Base = false, base
			wg.Go(func() { _, receipts[i], _ = d.Apply(changes[i]) })
		}
		wg.Wait()
		winner := -1
		for i, r := range receipts {
			if r.State == catalogue.ChangeRefused || r.State == "" {
				continue
			}
			if winner >= 0 {
				t.Errorf("more than one concurrent change succeeded: %+v", receipts)
			}
			winner = i
		}
		if winner < 0 {
			t.Fatalf("no concurrent change succeeded: %+v", receipts)
		}
		for _, d := range s.Daemons {
			d.AwaitRevision(receipts[winner].Revision)
			if got, want := activePrice(d), catalogue.Micros(1000*(round+1)+winner); got != want {
				t.Errorf("got price %d at %s, want %d of the change that succeeded", got, d.Settings.Name, want)
			}
		}
	}
	want := s.Daemons[0].Config()
	for _, d := range s.Daemons[1:] {
		if diff := cmp.Diff(want, d.Config()); diff != "" {
			t.Errorf("configuration of %s differs (-entry-0 +%s):\n%s", d.Settings.Name, d.Settings.Name, diff)
		}
	}
}

func TestP12LogResponseLost(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	for i := range 5 {
		s.Log.SetFaults(map[string]any{"LoseAnswers": 2})
		ch := priceChange(catalogue.Micros(100 + i))
		status, receipt, err := s.Daemons[i%3].Apply(ch)
		if err != nil || status >= 400 {
			t.Errorf("got status %d, receipt %+v, error %v, want success because the change is in the log", status, receipt, err)
		}
		s.Log.SetFaults(map[string]any{"LoseAnswers": 0})
		// An operator who received no response retries the same change at another instance.
		again := s.Daemons[(i+1)%3].MustApply(t, ch)
		if again.Revision != receipt.Revision {
			t.Errorf("the retried change took effect at revision %d and again at %d", receipt.Revision, again.Revision)
		}
		awaitRevision(s, again.Revision)
	}
}

func TestP12DuplicateRecordInTheLog(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	first, second := priceChange(21), priceChange(22)
	s.Daemons[0].MustApply(t, first)
	s.Daemons[1].MustApply(t, second)
	// A late duplicate of the first change must not restore its price.
	s.AppendChange(first)
	last := s.Daemons[2].MustApply(t, proctest.Put(catalogue.KindZone, "zone-d", &catalogue.Zone{Name: "zone-d"}))
	for _, d := range s.Daemons {
		d.AwaitRevision(last.Revision)
		if got := activePrice(d); got != 22 {
			t.Errorf("got price %d at %s, want 22", got, d.Settings.Name)
		}
	}
}

// changesBeyondCheckpoint is more than the number of records after which instances write a checkpoint.
const changesBeyondCheckpoint = 600

// checkpointTimeout is longer than the span over which the instances spread their early checkpoints.
const checkpointTimeout = 75 * time.Second

func TestP12RetentionDropsOldestRecords(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	for i := range changesBeyondCheckpoint {
		s.AppendChange(priceChange(catalogue.Micros(i + 1)))
	}
	checkpoint := int64(-1)
	proctest.Eventually(t, checkpointTimeout, "a checkpoint is in the log", func() bool {
		for _, e := range s.Records(catalogue.StreamName) {
			if catalogue.IsCheckpoint(e.Data) {
				checkpoint = e.Offset
			}
		}
		return checkpoint >= 0
	})
	s.Log.Trim(catalogue.StreamName, checkpoint)
	d := s.AddDaemon("entry-new", proctest.Zones[0])
	proctest.Eventually(t, convergenceTimeout, "a new instance has the latest price", func() bool { return activePrice(d) == changesBeyondCheckpoint })
	if c := d.Config(); c == nil || c.Workspaces[proctest.Workspace] == nil {
		t.Error("the configuration lacks the workspace, whose record was trimmed from the log")
	}
	// All other instances are removed, so that only the log has the configuration.
	killAndRemove(s, s.Daemons...)
	alone := s.AddDaemon("entry-alone", proctest.Zones[1])
	alone.AwaitReady()
	if got := activePrice(alone); got != changesBeyondCheckpoint {
		t.Errorf("got price %d, want %d", got, changesBeyondCheckpoint)
	}
	if c := alone.Config(); c == nil || c.Workspaces[proctest.Workspace] == nil {
		t.Error("the configuration lacks the workspace, whose record was trimmed from the log")
	}
}

// The log retains far fewer records than those after which a checkpoint is due, so that a checkpoint must be written early.
func TestP12ShortRetentionDropsOldestRecords(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	s.Log.SetFaults(map[string]any{"RetainRecords": 20})
	for i := range 60 {
		s.Daemons[i%3].MustApply(t, priceChange(catalogue.Micros(200+i)))
	}
	d := s.AddDaemon("entry-new", proctest.Zones[0])
	proctest.Eventually(t, convergenceTimeout, "a new instance has the latest configuration", func() bool { return activePrice(d) == 259 })
	// All other instances are removed, so that only the log has the configuration.
	killAndRemove(s, s.Daemons...)
	alone := s.AddDaemon("entry-alone", proctest.Zones[1])
	alone.AwaitReady()
	if got := activePrice(alone); got != 259 {
		t.Errorf("got price %d, want 259", got)
	}
	if c := alone.Config(); c == nil || c.Workspaces[proctest.Workspace] == nil {
		t.Error("the configuration lacks the workspace, whose record was trimmed from the log")
	}
}

func TestP12EntireLogTrimmed(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	watchRevisions(t, s)
	s.Daemons[0].MustApply(t, priceChange(5))
	s.Log.Trim(catalogue.StreamName, 1<<40)
	// A new instance gets the configuration from a peer; without one it must not start with an empty configuration.
	d := s.AddDaemon("entry-new", proctest.Zones[2])
	proctest.Eventually(t, convergenceTimeout, "the new instance has the configuration of its peers", func() bool { return activePrice(d) == 5 })
	killAndRemove(s, s.Daemons...)
	alone := s.AddDaemon("entry-alone", proctest.Zones[1])
	sleep(3 * time.Second)
	if alone.Ready() {
		t.Error("an instance that cannot recover the configuration reports ready")
	}
	if r := alone.Chat(t.Context(), proctest.Chat{Content: "hello"}); r.Err == nil && r.Outcome() != request.NotRun {
		t.Errorf("got status %d, outcome %q, want NotRun", r.Status, r.Outcome())
	}
}
