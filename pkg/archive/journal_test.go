package archive

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// bench is a log, a clock and some journals.
type bench struct {
	t     *testing.T
	clock *clock.Manual
	log   *fakeLog
}

func newBench(t *testing.T) *bench {
	c := clock.NewManual(10_000)
	return &bench{t: t, clock: c, log: &fakeLog{clock: c}}
}

func (b *bench) journal(name string) *Journal { return &Journal{Clock: b.clock, Name: name} }

// readAll reads until nothing changes, with time between the reads.
func (b *bench) readAll(j *Journal) error {
	var err error
	for range 50 {
		b.clock.Advance(100)
		before := j.Next()
		err = b.log.read(j, 7)
		if err == nil && j.Next() == before {
			break
		}
	}
	return err
}

func (b *bench) changes(n int) {
	base := map[string]catalogue.Revision{}
	for i := range n {
		zone := fmt.Sprintf("z%d", i%3)
		base[zone] = b.log.change(b.t, zoneChange(b.t, fmt.Sprintf("c%d", b.log.end()), zone, i%2 == 0, base[zone]))
	}
}

func TestP12JournalStart(t *testing.T) {
	tests := []struct {
		name string
		log  func(b *bench)
		peer catalogue.Revision
		// want is the state after reading; ready and needs are those of the journal.
		want  catalogue.Revision
		ready bool
		needs bool
	}{
		{name: "whole log", log: func(b *bench) { b.changes(20) }, want: 20, ready: true},
		{name: "empty log", log: func(*bench) {}, needs: true},
		{name: "log down", log: func(b *bench) { b.changes(5); b.log.down = true }, needs: true},
		{name: "log down, peer knows", log: func(b *bench) { b.changes(5); b.log.down = true }, peer: 5, want: 5, needs: true},
		{name: "head dropped without checkpoint", log: func(b *bench) { b.changes(20); b.log.trim(8) }, needs: true},
		{name: "head dropped, peer knows", log: func(b *bench) { b.changes(20); b.log.trim(8) }, peer: 15, want: 20, ready: true},
		{name: "head dropped, peer is too old", log: func(b *bench) { b.changes(20); b.log.trim(8) }, peer: 6, want: 6, needs: true},
		{name: "all records dropped", log: func(b *bench) { b.changes(20); b.log.trim(20) }, needs: true},
		{name: "all records dropped, peer knows", log: func(b *bench) { b.changes(20); b.log.trim(20) }, peer: 20, want: 20, ready: true},
		{name: "checkpoint after the head", log: func(b *bench) { b.changes(20); b.checkpoint(20); b.changes(3); b.log.trim(15) }, want: 24, ready: true},
		{name: "checkpoint of a dropped revision", log: func(b *bench) { b.changes(20); b.checkpoint(10); b.changes(3); b.log.trim(15) }, needs: true},
		{name: "emptied log, peer knows", log: func(*bench) {}, peer: 9, want: 9, needs: true},
		{name: "replaced log, peer knows", log: func(b *bench) { b.changes(3) }, peer: 9, want: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			tt.log(b)
			j := b.journal("new")
			_ = b.readAll(j)
			if tt.peer > 0 {
				j.TakePeer(stateAt(t, tt.peer))
				b.clock.Advance(10)
				_ = b.readAll(j)
			}
			b.clock.Advance(peerWait)
			got := []any{j.State().Revision, j.Ready(), j.NeedsPeer()}
			if tt.name == "replaced log, peer knows" {
				got = got[:1]
				if !j.Replaced() {
					t.Error("the replaced log was not noticed")
				}
			}
			if diff := cmp.Diff([]any{tt.want, tt.ready, tt.needs}[:len(got)], got); diff != "" {
				t.Errorf("revision, ready, needs peer (-want +got):\n%s", diff)
			}
		})
	}
}

// stateAt returns the state that a bench's log gives at a revision.
func stateAt(t *testing.T, r catalogue.Revision) *catalogue.State {
	b := newBench(t)
	b.changes(int(r))
	j := b.journal("peer")
	if err := b.readAll(j); err != nil {
		t.Fatal(err)
	}
	return j.State()
}

// checkpoint appends a checkpoint of a revision of the whole log.
func (b *bench) checkpoint(r catalogue.Revision) {
	f := catalogue.NewState().Folder()
	for _, e := range b.log.entries[:r] {
		f.FoldData(catalogue.Revision(e.Offset)+1, e.Data)
	}
	data, err := catalogue.EncodeCheckpoint(f.State())
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.log.Append(b.t.Context(), catalogue.StreamName, [][]byte{data}); err != nil {
		b.t.Fatal(err)
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
		{name: "garbage", fault: func(b *bench) { _, _ = b.log.Append(b.t.Context(), "", [][]byte{[]byte("{}"), {0xff}, nil}) }},
		{name: "head dropped", fault: func(b *bench) { b.log.trim(9) }},
		{name: "all dropped", fault: func(b *bench) { b.log.trim(b.log.end()) }},
		{name: "emptied", fault: func(b *bench) { b.log.entries = nil }, replaced: true},
		{name: "tail lost", fault: func(b *bench) { b.log.entries = b.log.entries[:7] }, replaced: true},
		{name: "replaced by a shorter one", fault: func(b *bench) { b.log.entries = nil; b.changes(2) }, replaced: true},
		{name: "replaced by a longer one", fault: func(b *bench) { b.log.entries = nil; b.clock.Advance(verifyAfter); b.other(30) }, replaced: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.changes(10)
			j := b.journal("a")
			if err := b.readAll(j); err != nil {
				t.Fatal(err)
			}
			before := j.State()
			tt.fault(b)
			provedBefore := j.ProvedAt()
			b.clock.Advance(1)
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

// other appends records that differ from those of changes.
func (b *bench) other(n int) {
	for i := range n {
		b.log.change(b.t, zoneChange(b.t, fmt.Sprintf("other%d", i), fmt.Sprintf("y%d", i), true, 0))
	}
}

func TestP12LogComesBack(t *testing.T) {
	b := newBench(t)
	b.changes(10)
	j := b.journal("a")
	if err := b.readAll(j); err != nil {
		t.Fatal(err)
	}
	kept := b.log.entries
	b.log.entries = nil
	b.clock.Advance(1)
	var replaced *ReplacedError
	if err := b.readAll(j); !j.Replaced() {
		t.Fatalf("the emptied log was not noticed: %v", err)
	}
	b.log.entries = kept
	b.changes(1)
	if err := b.readAll(j); errors.As(err, &replaced) || j.State().Revision != 11 {
		t.Errorf("revision %d after the log came back, error %v", j.State().Revision, err)
	}
}
