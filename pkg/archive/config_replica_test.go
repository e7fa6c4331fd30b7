package archive

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// fixture is a log, a clock and the changes appended so far; its replicas read the log.
type fixture struct {
	t     testing.TB
	clock *clock.Manual
	log   *fake.Log
	n     int
	bases map[string]catalogue.Revision
}

func newFixture(t testing.TB) *fixture {
	c := clock.NewManual(10_000)
	return &fixture{t: t, clock: c, log: &fake.Log{Clock: c}, bases: map[string]catalogue.Revision{}}
}

func (f *fixture) replica(name string) *ConfigReplica {
	return &ConfigReplica{Clock: f.clock, Name: name}
}

// readAll reads until the replica makes no progress, and advances the clock before each read.
func (f *fixture) readAll(c *ConfigReplica) error {
	var err error
	for range 50 {
		f.clock.Advance(100)
		from := c.Next()
		batch, readErr := f.log.Read(f.t.Context(), catalogue.StreamName, from, 7, 0)
		err = c.HandleRead(f.clock.Now(), batch, readErr)
		if c.Next() == from {
			break
		}
	}
	return err
}

// reader returns a replica that has read the whole log.
func (f *fixture) reader(name string) *ConfigReplica {
	f.t.Helper()
	c := f.replica(name)
	if err := f.readAll(c); err != nil {
		f.t.Fatal(err)
	}
	return c
}

func (f *fixture) append(data []byte) catalogue.Revision {
	f.t.Helper()
	first, err := f.log.Append(f.t.Context(), catalogue.StreamName, [][]byte{data})
	if err != nil {
		f.t.Fatal(err)
	}
	return catalogue.Revision(first) + 1
}

func (f *fixture) change(ch *catalogue.Change) catalogue.Revision {
	f.t.Helper()
	data, err := catalogue.EncodeChange(ch)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.append(data)
}

// changes appends n changes of zones, each based on the one before.
func (f *fixture) changes(n int) {
	for range n {
		zone := fmt.Sprintf("z%d", f.n%3)
		f.bases[zone] = f.change(zoneChange(f.t, fmt.Sprintf("c%d", f.n), zone, f.n%2 == 0, f.bases[zone]))
		f.n++
	}
}

// otherChanges appends changes that differ from those of changes.
func (f *fixture) otherChanges(n int) {
	for i := range n {
		f.change(zoneChange(f.t, fmt.Sprintf("other%d", i), fmt.Sprintf("y%d", i), true, 0))
	}
}

// replace empties the stream, like a log that was set up anew.
func (f *fixture) replace() { f.log.Truncate(catalogue.StreamName, 0) }

// checkpoint appends a checkpoint of the state at revision r.
func (f *fixture) checkpoint(r catalogue.Revision) {
	data, err := catalogue.EncodeCheckpoint(stateAt(f.t, r))
	if err != nil {
		f.t.Fatal(err)
	}
	f.append(data)
}

// stateAt returns the state after r changes.
func stateAt(t testing.TB, r catalogue.Revision) *catalogue.State {
	f := newFixture(t)
	f.changes(int(r))
	return f.reader("peer").State()
}

func zoneChange(t testing.TB, id, zone string, out bool, base catalogue.Revision) *catalogue.Change {
	t.Helper()
	raw, err := json.Marshal(catalogue.Zone{Name: zone, Out: out})
	if err != nil {
		t.Fatal(err)
	}
	return &catalogue.Change{ID: id, Author: "op", Edits: []catalogue.Edit{{Kind: catalogue.KindZone, Name: zone, Base: base, Object: raw}}}
}

func TestP12ConfigReplicaStart(t *testing.T) {
	const stream = catalogue.StreamName
	down := func(f *fixture) { f.changes(5); f.log.SetFaults(fake.Faults{Down: true}) }
	type view struct {
		Revision                   catalogue.Revision
		Ready, NeedsPeer, Replaced bool
	}
	tests := []struct {
		name string
		log  func(f *fixture)
		peer catalogue.Revision
		want view
	}{
		{name: "whole log", log: func(f *fixture) { f.changes(20) }, want: view{20, true, false, false}},
		{name: "empty log", log: func(*fixture) {}, want: view{0, false, true, false}},
		{name: "log down", log: down, want: view{0, false, true, false}},
		{name: "log down, peer has the state", log: down, peer: 5, want: view{5, false, true, false}},
		{name: "head trimmed without checkpoint", log: func(f *fixture) { f.changes(20); f.log.Trim(stream, 8) }, want: view{0, false, true, false}},
		{name: "head trimmed, peer has a state", log: func(f *fixture) { f.changes(20); f.log.Trim(stream, 8) }, peer: 15, want: view{20, true, false, false}},
		{name: "head trimmed, state of peer too old", log: func(f *fixture) { f.changes(20); f.log.Trim(stream, 8) }, peer: 6, want: view{6, false, true, false}},
		{name: "all records trimmed", log: func(f *fixture) { f.changes(20); f.log.Trim(stream, 20) }, want: view{0, false, true, false}},
		{name: "all records trimmed, peer has the state", log: func(f *fixture) { f.changes(20); f.log.Trim(stream, 20) }, peer: 20, want: view{20, true, false, false}},
		{
			name: "checkpoint after the head",
			log:  func(f *fixture) { f.changes(20); f.checkpoint(20); f.changes(3); f.log.Trim(stream, 15) },
			want: view{24, true, false, false},
		},
		{
			name: "checkpoint of a trimmed revision",
			log:  func(f *fixture) { f.changes(20); f.checkpoint(10); f.changes(3); f.log.Trim(stream, 15) },
			want: view{0, false, true, false},
		},
		{name: "emptied log, peer has a state", log: func(*fixture) {}, peer: 9, want: view{9, false, true, true}},
		{name: "replaced log, peer has a state", log: func(f *fixture) { f.changes(3) }, peer: 9, want: view{9, true, false, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			tt.log(f)
			c := f.replica("new")
			_ = f.readAll(c)
			if tt.peer > 0 {
				c.AdoptPeerState(stateAt(t, tt.peer))
				_ = f.readAll(c)
			}
			f.clock.Advance(peerWait)
			got := view{c.State().Revision, c.Ready(), c.NeedsPeer(), c.Replaced()}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("replica (-want +got):\n%s", diff)
			}
		})
	}
}

func TestP12ConfigReplicaNeverReverts(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fixture)
		// replaced is whether the replica must detect that the log was replaced.
		replaced bool
	}{
		{name: "late checkpoint", fault: func(f *fixture) { f.checkpoint(3) }},
		{name: "invalid records", fault: func(f *fixture) { f.append([]byte("{}")); f.append([]byte{0xff}); f.append(nil) }},
		{name: "head trimmed", fault: func(f *fixture) { f.log.Trim(catalogue.StreamName, 9) }},
		{name: "all records trimmed", fault: func(f *fixture) { f.log.Trim(catalogue.StreamName, 10) }},
		{name: "emptied", fault: func(f *fixture) { f.replace() }, replaced: true},
		{name: "tail lost", fault: func(f *fixture) { f.log.Truncate(catalogue.StreamName, 7) }, replaced: true},
		{name: "replaced by a shorter one", fault: func(f *fixture) { f.replace(); f.otherChanges(2) }, replaced: true},
		{name: "replaced by a longer one", fault: func(f *fixture) { f.replace(); f.clock.Advance(verifyAfter); f.otherChanges(30) }, replaced: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.changes(10)
			c := f.reader("a")
			before, provedBefore := c.State(), c.ProvedAt()
			tt.fault(f)
			err := f.readAll(c)
			if after := c.State(); after.Revision < before.Revision || len(after.History) < len(before.History) {
				t.Errorf("state went back from revision %d to %d or lost history", before.Revision, after.Revision)
			}
			if got := c.Replaced(); got != tt.replaced {
				t.Errorf("Replaced() = %t, want %t; error of the last read: %v", got, tt.replaced, err)
			}
			if tt.replaced && c.ProvedAt() != provedBefore {
				t.Error("ProvedAt() advanced on a replaced log")
			}
		})
	}
}

func TestP12RestoredLogIsAccepted(t *testing.T) {
	f := newFixture(t)
	f.changes(10)
	c := f.reader("a")
	f.replace()
	if err := f.readAll(c); !c.Replaced() {
		t.Fatalf("Replaced() = false after the log was emptied; error of the last read: %v", err)
	}
	f.n, f.bases = 0, map[string]catalogue.Revision{}
	f.changes(11)
	if err := f.readAll(c); err != nil || c.Replaced() || c.State().Revision != 11 {
		t.Errorf("got revision %d and error %v after the log was restored, want 11 and none", c.State().Revision, err)
	}
}

func TestP12CheckpointsAreStaggered(t *testing.T) {
	f := newFixture(t)
	f.changes(20)
	replicas := make([]*ConfigReplica, 330)
	for i := range replicas {
		replicas[i] = f.replica(fmt.Sprintf("entry-%03d", i))
	}
	appended := 0
	const step = 2 * clock.Second
	for range 4 * checkpointPeriod / step {
		f.clock.Advance(step)
		for _, c := range replicas {
			batch, err := f.log.Read(t.Context(), catalogue.StreamName, c.Next(), 100, 0)
			if err := c.HandleRead(f.clock.Now(), batch, err); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range replicas {
			if record, due := c.Checkpoint(); due {
				f.append(record)
				appended++
			}
		}
	}
	if appended < 3 || appended > 20 {
		t.Errorf("330 instances appended %d checkpoints in four periods, want 3 to 20", appended)
	}
	f.log.Trim(catalogue.StreamName, 21)
	late := f.reader("late")
	if got, want := late.State().Zones, replicas[0].State().Zones; !cmp.Equal(got, want) {
		t.Errorf("state from the checkpoint (-want +got):\n%s", cmp.Diff(want, got))
	}
}
