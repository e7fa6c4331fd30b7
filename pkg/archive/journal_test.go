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

// bench is a log with a clock that journals read.
type bench struct {
	t     testing.TB
	clock *clock.Manual
	log   *fake.Log
	n     int
	bases map[string]catalogue.Revision
}

func newBench(t testing.TB) *bench {
	c := clock.NewManual(10_000)
	return &bench{t: t, clock: c, log: &fake.Log{Clock: c}, bases: map[string]catalogue.Revision{}}
}

func (b *bench) journal(name string) *Journal { return &Journal{Clock: b.clock, Name: name} }

// readAll reads until nothing changes, with time between the reads.
func (b *bench) readAll(j *Journal) error {
	var err error
	for range 50 {
		b.clock.Advance(100)
		from := j.Next()
		batch, readErr := b.log.Read(b.t.Context(), catalogue.StreamName, from, 7, 0)
		err = j.TakeRead(b.clock.Now(), batch, readErr)
		if j.Next() == from {
			break
		}
	}
	return err
}

// reader returns a journal that has read the whole log.
func (b *bench) reader(name string) *Journal {
	b.t.Helper()
	j := b.journal(name)
	if err := b.readAll(j); err != nil {
		b.t.Fatal(err)
	}
	return j
}

func (b *bench) append(data []byte) catalogue.Revision {
	b.t.Helper()
	first, err := b.log.Append(b.t.Context(), catalogue.StreamName, [][]byte{data})
	if err != nil {
		b.t.Fatal(err)
	}
	return catalogue.Revision(first) + 1
}

func (b *bench) change(ch *catalogue.Change) catalogue.Revision {
	b.t.Helper()
	data, err := catalogue.EncodeChange(ch)
	if err != nil {
		b.t.Fatal(err)
	}
	return b.append(data)
}

// changes appends n changes of zones, each based on the one before.
func (b *bench) changes(n int) {
	for range n {
		zone := fmt.Sprintf("z%d", b.n%3)
		b.bases[zone] = b.change(zoneChange(b.t, fmt.Sprintf("c%d", b.n), zone, b.n%2 == 0, b.bases[zone]))
		b.n++
	}
}

// other appends changes that differ from those of changes.
func (b *bench) other(n int) {
	for i := range n {
		b.change(zoneChange(b.t, fmt.Sprintf("other%d", i), fmt.Sprintf("y%d", i), true, 0))
	}
}

// replace empties the stream, as a log does that was set up anew.
func (b *bench) replace() { b.log.Truncate(catalogue.StreamName, 0) }

// checkpoint appends a checkpoint of a revision of the whole log.
func (b *bench) checkpoint(r catalogue.Revision) {
	data, err := catalogue.EncodeCheckpoint(stateAt(b.t, r))
	if err != nil {
		b.t.Fatal(err)
	}
	b.append(data)
}

// stateAt returns the state after that many changes.
func stateAt(t testing.TB, r catalogue.Revision) *catalogue.State {
	b := newBench(t)
	b.changes(int(r))
	return b.reader("peer").State()
}

func zoneChange(t testing.TB, id, zone string, out bool, base catalogue.Revision) *catalogue.Change {
	t.Helper()
	raw, err := json.Marshal(catalogue.Zone{Name: zone, Out: out})
	if err != nil {
		t.Fatal(err)
	}
	return &catalogue.Change{ID: id, Author: "op", Edits: []catalogue.Edit{{Kind: catalogue.KindZone, Name: zone, Base: base, Object: raw}}}
}

func TestP12JournalStart(t *testing.T) {
	const stream = catalogue.StreamName
	down := func(b *bench) { b.changes(5); b.log.SetFaults(fake.Faults{Down: true}) }
	type view struct {
		Revision               catalogue.Revision
		Ready, Needs, Replaced bool
	}
	tests := []struct {
		name string
		log  func(b *bench)
		peer catalogue.Revision
		want view
	}{
		{name: "whole log", log: func(b *bench) { b.changes(20) }, want: view{20, true, false, false}},
		{name: "empty log", log: func(*bench) {}, want: view{0, false, true, false}},
		{name: "log down", log: down, want: view{0, false, true, false}},
		{name: "log down, peer knows", log: down, peer: 5, want: view{5, false, true, false}},
		{name: "head dropped without checkpoint", log: func(b *bench) { b.changes(20); b.log.Trim(stream, 8) }, want: view{0, false, true, false}},
		{name: "head dropped, peer knows", log: func(b *bench) { b.changes(20); b.log.Trim(stream, 8) }, peer: 15, want: view{20, true, false, false}},
		{name: "head dropped, peer is too old", log: func(b *bench) { b.changes(20); b.log.Trim(stream, 8) }, peer: 6, want: view{6, false, true, false}},
		{name: "all records dropped", log: func(b *bench) { b.changes(20); b.log.Trim(stream, 20) }, want: view{0, false, true, false}},
		{name: "all records dropped, peer knows", log: func(b *bench) { b.changes(20); b.log.Trim(stream, 20) }, peer: 20, want: view{20, true, false, false}},
		{
			name: "checkpoint after the head",
			log:  func(b *bench) { b.changes(20); b.checkpoint(20); b.changes(3); b.log.Trim(stream, 15) },
			want: view{24, true, false, false},
		},
		{
			name: "checkpoint of a dropped revision",
			log:  func(b *bench) { b.changes(20); b.checkpoint(10); b.changes(3); b.log.Trim(stream, 15) },
			want: view{0, false, true, false},
		},
		{name: "emptied log, peer knows", log: func(*bench) {}, peer: 9, want: view{9, false, true, true}},
		{name: "replaced log, peer knows", log: func(b *bench) { b.changes(3) }, peer: 9, want: view{9, true, false, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			tt.log(b)
			j := b.journal("new")
			_ = b.readAll(j)
			if tt.peer > 0 {
				j.TakePeer(stateAt(t, tt.peer))
				_ = b.readAll(j)
			}
			b.clock.Advance(peerWait)
			got := view{j.State().Revision, j.Ready(), j.NeedsPeer(), j.Replaced()}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("journal (-want +got):\n%s", diff)
			}
		})
	}
}

func TestP12JournalNeverReverts(t *testing.T) {
	tests := []struct {
		name  string
		fault func(b *bench)
		// replaced tells whether the journal must notice that the log is another one.
		replaced bool
	}{
		{name: "late checkpoint", fault: func(b *bench) { b.checkpoint(3) }},
		{name: "garbage", fault: func(b *bench) { b.append([]byte("{}")); b.append([]byte{0xff}); b.append(nil) }},
		{name: "head dropped", fault: func(b *bench) { b.log.Trim(catalogue.StreamName, 9) }},
		{name: "all dropped", fault: func(b *bench) { b.log.Trim(catalogue.StreamName, 10) }},
		{name: "emptied", fault: func(b *bench) { b.replace() }, replaced: true},
		{name: "tail lost", fault: func(b *bench) { b.log.Truncate(catalogue.StreamName, 7) }, replaced: true},
		{name: "replaced by a shorter one", fault: func(b *bench) { b.replace(); b.other(2) }, replaced: true},
		{name: "replaced by a longer one", fault: func(b *bench) { b.replace(); b.clock.Advance(verifyAfter); b.other(30) }, replaced: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.changes(10)
			j := b.reader("a")
			before, provedBefore := j.State(), j.ProvedAt()
			tt.fault(b)
			err := b.readAll(j)
			if after := j.State(); after.Revision < before.Revision || len(after.History) < len(before.History) {
				t.Errorf("state went from revision %d to %d", before.Revision, after.Revision)
			}
			if got := j.Replaced(); got != tt.replaced {
				t.Errorf("replaced is %t, want %t (%v)", got, tt.replaced, err)
			}
			if tt.replaced && j.ProvedAt() != provedBefore {
				t.Error("a replaced log proved the state to be current")
			}
		})
	}
}

func TestP12LogComesBack(t *testing.T) {
	b := newBench(t)
	b.changes(10)
	j := b.reader("a")
	b.replace()
	if err := b.readAll(j); !j.Replaced() {
		t.Fatalf("the emptied log was not noticed: %v", err)
	}
	b.n, b.bases = 0, map[string]catalogue.Revision{}
	b.changes(11)
	if err := b.readAll(j); err != nil || j.Replaced() || j.State().Revision != 11 {
		t.Errorf("revision %d after the log came back, error %v", j.State().Revision, err)
	}
}

func TestP12CheckpointTurns(t *testing.T) {
	b := newBench(t)
	b.changes(20)
	journals := make([]*Journal, 330)
	for i := range journals {
		journals[i] = b.journal(fmt.Sprintf("entry-%03d", i))
	}
	appended := 0
	const step = 2 * clock.Second
	for range 4 * checkpointPeriod / step {
		b.clock.Advance(step)
		for _, j := range journals {
			batch, err := b.log.Read(t.Context(), catalogue.StreamName, j.Next(), 100, 0)
			if err := j.TakeRead(b.clock.Now(), batch, err); err != nil {
				t.Fatal(err)
			}
		}
		for _, j := range journals {
			if record, due := j.Checkpoint(); due {
				b.append(record)
				appended++
			}
		}
	}
	if appended < 3 || appended > 20 {
		t.Errorf("330 instances appended %d checkpoints in four periods", appended)
	}
	b.log.Trim(catalogue.StreamName, 21)
	late := b.reader("late")
	if got, want := late.State().Zones, journals[0].State().Zones; !cmp.Equal(got, want) {
		t.Errorf("state from the checkpoint (-want +got):\n%s", cmp.Diff(want, got))
	}
}
