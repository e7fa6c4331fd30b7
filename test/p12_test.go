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

// watchRevisions fails the test when a daemon ever shows a lower revision than before, until the test ends.
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
					t.Errorf("%s went back from revision %d to %d", d.Settings.Name, last[d.Settings.Name], r)
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

// price returns a change that puts the cheap version, with a price by which a test tells changes apart.
func price(cost catalogue.Micros) *catalogue.Change {
	return proctest.Put(catalogue.KindVersion, string(proctest.VersionOne), &catalogue.Version{
		ID: proctest.VersionOne, InputCost: cost, OutputCost: cost, Quality: map[string]float64{"chat": 0.8, "dossier": 0.5},
	})
}

// inForce returns the price that the daemon has in force.
func inForce(d *proctest.Daemon) catalogue.Micros {
	c := d.Config()
	if c == nil || c.Versions[proctest.VersionOne] == nil {
		return -1
	}
	return c.Versions[proctest.VersionOne].InputCost
}

// wantHello fails the test when the daemon does not answer a chat whole.
func wantHello(t *testing.T, d *proctest.Daemon) {
	t.Helper()
	wantChat(t, d.Chat(t.Context(), proctest.Chat{Content: "hello"}), "hello", 8)
}

func TestP12OneInstanceCutOffWhileAChangeIsAccepted(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	lone := s.Daemons[2]
	lone.Isolate(true)
	receipt := s.Daemons[0].MustApply(t, price(7))
	if receipt.State != catalogue.ChangeAccepted {
		t.Errorf("receipt %+v, want Accepted: two of three instances can hold it", receipt)
	}
	for _, d := range s.Daemons[:2] {
		if got := inForce(d); receipt.State == catalogue.ChangeAccepted && got != 7 {
			t.Errorf("price %d at %s after the change was accepted, want 7", got, d.Settings.Name)
		}
	}
	proctest.Eventually(t, settle, "the instance that is cut off refuses", func() bool {
		r := lone.Chat(t.Context(), proctest.Chat{Content: "hello", Deadline: 3000})
		return r.Status >= 400
	})
	for range 20 {
		r := lone.Chat(t.Context(), proctest.Chat{Content: "hello"})
		if r.Outcome() != request.NotRun || r.Error.RetryAfter <= 0 {
			t.Errorf("cut off: outcome %q, status %d, %+v; want NotRun with RetryAfter", r.Outcome(), r.Status, r.Error)
		}
	}
	if lone.Ready() {
		t.Error("the instance that is cut off calls itself ready")
	}
	lone.Isolate(false)
	proctest.Eventually(t, settle, "the change is in force where it was cut off", func() bool { return inForce(lone) == 7 })
	lone.AwaitReady()
	wantHello(t, lone)
}

func TestP12CutOffFromTheLogOnly(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	lone := s.Daemons[2]
	lone.Log.Cut(true, true)
	receipt := s.Daemons[0].MustApply(t, price(8))
	proctest.Eventually(t, settle, "the change comes by way of a peer", func() bool { return inForce(lone) == 8 })
	wantHello(t, lone)
	t.Logf("receipt %+v", receipt)
}

func TestP12MajorityCutOffIsNotAccepted(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	s.Daemons[1].Isolate(true)
	s.Daemons[2].Isolate(true)
	_, receipt, err := s.Daemons[0].Apply(price(9))
	if err != nil {
		t.Fatal(err)
	}
	if receipt.State != catalogue.ChangeRecorded {
		t.Errorf("receipt %+v, want Recorded while two of three instances are cut off", receipt)
	}
	s.Daemons[1].Isolate(false)
	s.Daemons[2].Isolate(false)
	for _, d := range s.Daemons {
		proctest.Eventually(t, settle, "the change is in force everywhere", func() bool { return inForce(d) == 9 })
	}
}

func TestP12StartedWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	awaitRevision(s, s.Daemons[0].MustApply(t, price(10)).Revision)
	s.Log.SetFaults(map[string]any{"Down": true})
	d := s.AddDaemon("entry-new", proctest.Zones[0])
	proctest.Eventually(t, settle, "the new instance has the configuration of its peers", func() bool { return inForce(d) == 10 })
	awaitKnown(s, d)
	wantHello(t, d)
	s.Log.SetFaults(map[string]any{"Down": false})
	awaitRevision(s, d.MustApply(t, price(11)).Revision)
}

func TestP12StartedAloneWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	leave(s, s.Daemons...)
	s.Log.SetFaults(map[string]any{"Down": true})
	d := s.AddDaemon("entry-new", proctest.Zones[0])
	pass(3 * time.Second)
	if d.Ready() {
		t.Error("an instance without configuration calls itself ready")
	}
	r := d.Chat(t.Context(), proctest.Chat{Content: "hello"})
	if r.Err == nil && r.Outcome() != request.NotRun {
		t.Errorf("outcome %q, status %d, want NotRun", r.Outcome(), r.Status)
	}
	s.Log.SetFaults(map[string]any{"Down": false})
	awaitKnown(s, d)
	wantHello(t, d)
}

func TestP12OperatorsRacing(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	key := catalogue.ObjectKey{Kind: catalogue.KindVersion, Name: string(proctest.VersionOne)}
	for round := range 10 {
		base := s.Daemons[0].Config().ObjectRevision(key)
		receipts := make([]catalogue.Receipt, len(s.Daemons))
		changes := make([]*catalogue.Change, len(s.Daemons))
		var all sync.WaitGroup
		for i, d := range s.Daemons {
			changes[i] = price(catalogue.Micros(1000*(round+1) + i))
			changes[i].Edits[0].AnyBase, changes[i].Edits[0].Base = false, base
			all.Go(func() { _, receipts[i], _ = d.Apply(changes[i]) })
		}
		all.Wait()
		won := -1
		for i, r := range receipts {
			if r.State == catalogue.ChangeRefused || r.State == "" {
				continue
			}
			if won >= 0 {
				t.Errorf("two operators won: %+v", receipts)
			}
			won = i
		}
		if won < 0 {
			t.Fatalf("no operator won: %+v", receipts)
		}
		for _, d := range s.Daemons {
			d.AwaitRevision(receipts[won].Revision)
			if got, want := inForce(d), catalogue.Micros(1000*(round+1)+won); got != want {
				t.Errorf("price %d at %s, want that of the winner, %d", got, d.Settings.Name, want)
			}
		}
	}
	want := s.Daemons[0].Config()
	for _, d := range s.Daemons[1:] {
		if diff := cmp.Diff(want, d.Config()); diff != "" {
			t.Errorf("%s differs (-entry-0 +%s):\n%s", d.Settings.Name, d.Settings.Name, diff)
		}
	}
}

func TestP12AnswerLost(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	for i := range 5 {
		s.Log.SetFaults(map[string]any{"LoseAnswers": 2})
		ch := price(catalogue.Micros(100 + i))
		status, receipt, err := s.Daemons[i%3].Apply(ch)
		if err != nil || status >= 400 {
			t.Errorf("status %d, receipt %+v, error %v; the change is in the log", status, receipt, err)
		}
		s.Log.SetFaults(map[string]any{"LoseAnswers": 0})
		// An operator who heard nothing sends the same change again, elsewhere.
		again := s.Daemons[(i+1)%3].MustApply(t, ch)
		if again.Revision != receipt.Revision {
			t.Errorf("the change took effect at revision %d and again at %d", receipt.Revision, again.Revision)
		}
		awaitRevision(s, again.Revision)
	}
}

func TestP12RecordTwiceInTheLog(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	first, second := price(21), price(22)
	s.Daemons[0].MustApply(t, first)
	s.Daemons[1].MustApply(t, second)
	// A late copy of the first change must not bring its price back.
	s.AppendChange(first)
	last := s.Daemons[2].MustApply(t, proctest.Put(catalogue.KindZone, "zone-d", &catalogue.Zone{Name: "zone-d"}))
	for _, d := range s.Daemons {
		d.AwaitRevision(last.Revision)
		if got := inForce(d); got != 22 {
			t.Errorf("price %d at %s, want 22", got, d.Settings.Name)
		}
	}
}

// manyChanges is more than the records after which a checkpoint is due.
const manyChanges = 600

// checkpointTime is longer than the span over which instances take turns with an early checkpoint.
const checkpointTime = 75 * time.Second

func TestP12RetentionDropsTheHead(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	for i := range manyChanges {
		s.AppendChange(price(catalogue.Micros(i + 1)))
	}
	checkpoint := int64(-1)
	proctest.Eventually(t, checkpointTime, "a checkpoint is in the log", func() bool {
		for _, e := range s.Records(catalogue.StreamName) {
			if catalogue.IsCheckpoint(e.Data) {
				checkpoint = e.Offset
			}
		}
		return checkpoint >= 0
	})
	s.Log.Trim(catalogue.StreamName, checkpoint)
	d := s.AddDaemon("entry-new", proctest.Zones[0])
	proctest.Eventually(t, settle, "a new instance has the last price", func() bool { return inForce(d) == manyChanges })
	if c := d.Config(); c == nil || c.Workspaces[proctest.Workspace] == nil {
		t.Error("the workspace was dropped with the head of the stream")
	}
	// All old instances leave, so that the log alone has the configuration.
	leave(s, s.Daemons...)
	alone := s.AddDaemon("entry-alone", proctest.Zones[1])
	alone.AwaitReady()
	if got := inForce(alone); got != manyChanges {
		t.Errorf("price %d, want %d", got, manyChanges)
	}
	if c := alone.Config(); c == nil || c.Workspaces[proctest.Workspace] == nil {
		t.Error("the workspace was dropped with the head of the stream")
	}
}

// TestP12ShortRetentionDropsTheHead has a log that keeps far fewer records than those after which a checkpoint is due.
func TestP12ShortRetentionDropsTheHead(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	watchRevisions(t, s)
	s.Log.SetFaults(map[string]any{"RetainRecords": 20})
	for i := range 60 {
		s.Daemons[i%3].MustApply(t, price(catalogue.Micros(200+i)))
	}
	d := s.AddDaemon("entry-new", proctest.Zones[0])
	proctest.Eventually(t, settle, "a new instance has the whole configuration", func() bool { return inForce(d) == 259 })
	// All old instances leave, so that the log alone has the configuration.
	leave(s, s.Daemons...)
	alone := s.AddDaemon("entry-alone", proctest.Zones[1])
	alone.AwaitReady()
	if got := inForce(alone); got != 259 {
		t.Errorf("price %d, want 259", got)
	}
	if c := alone.Config(); c == nil || c.Workspaces[proctest.Workspace] == nil {
		t.Error("the workspace was dropped with the head of the stream")
	}
}

func TestP12WholeLogTrimmed(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	watchRevisions(t, s)
	s.Daemons[0].MustApply(t, price(5))
	s.Log.Trim(catalogue.StreamName, 1<<40)
	// With a peer that knows the configuration a new instance gets it, without one it must not start as if it were fresh.
	d := s.AddDaemon("entry-new", proctest.Zones[2])
	proctest.Eventually(t, settle, "the new instance has the configuration of its peers", func() bool { return inForce(d) == 5 })
	leave(s, s.Daemons...)
	alone := s.AddDaemon("entry-alone", proctest.Zones[1])
	pass(3 * time.Second)
	if alone.Ready() {
		t.Error("an instance whose configuration is lost calls itself ready")
	}
	if r := alone.Chat(t.Context(), proctest.Chat{Content: "hello"}); r.Err == nil && r.Outcome() != request.NotRun {
		t.Errorf("status %d, outcome %q, want NotRun", r.Status, r.Outcome())
	}
}
