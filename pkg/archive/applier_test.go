package archive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// steppingClock moves on by itself when somebody waits.
type steppingClock struct{ *clock.Manual }

// Timer moves the clock on and returns a timer that is due.
func (c steppingClock) Timer(d clock.Millis) (<-chan struct{}, func()) {
	c.Advance(d)
	done := make(chan struct{})
	close(done)
	return done, func() {}
}

// desk is an instance that takes changes; it reads the log only when it waits.
type desk struct {
	*Applier
	bench   *bench
	journal *Journal
	view    *fake.LogView
	others  []*desk
}

func newDesk(b *bench, name string) *desk {
	d := &desk{bench: b, journal: b.journal(name), view: &fake.LogView{Log: b.log}}
	d.Applier = &Applier{
		Common: settings.Common{Clock: steppingClock{b.clock}},
		Log:    d.view,
		State:  d.state,
		Wait:   d.wait,
		Holders: func(r catalogue.Revision) (have int, missing []string) {
			for _, o := range d.others {
				if o.journal.State().Revision >= r {
					have++
				} else {
					missing = append(missing, o.journal.Name)
				}
			}
			return have, missing
		},
		Ready: func() bool { return d.journal.Ready() || d.journal.Empty() },
	}
	return d
}

func (d *desk) read() {
	from := d.journal.Next()
	b, err := d.view.Read(context.Background(), catalogue.StreamName, from, 100, 0)
	_ = d.journal.TakeRead(d.bench.clock.Now(), b, err)
}

func (d *desk) state() *catalogue.State {
	d.read()
	return d.journal.State()
}

func (d *desk) wait(_ context.Context, r catalogue.Revision) error {
	for range 3 {
		if d.state().Revision >= r {
			return nil
		}
		d.bench.clock.Advance(100)
	}
	return context.DeadlineExceeded
}

// newDesks returns desks that know one another, with one change in the log that all but the first few hold.
func newDesks(b *bench, n int) []*desk {
	b.changes(1)
	desks := make([]*desk, n)
	for i := range desks {
		desks[i] = newDesk(b, fmt.Sprintf("entry-%d", i))
		desks[i].read()
	}
	for _, d := range desks {
		d.others = desks
	}
	b.clock.Advance(peerWait)
	return desks
}

func TestP12Apply(t *testing.T) {
	type outcome struct {
		State   catalogue.ReceiptState
		Missing []string
		// Records counts the records in the log after the first one.
		Records int64
		// Out tells whether the change is in force in the end.
		Out                bool
		Unsettled, Unready bool
	}
	tests := []struct {
		name string
		base catalogue.Revision
		// setup prepares the faults; holders is how many other desks read the log while the change is applied.
		setup   func(b *bench, d *desk)
		holders int
		want    outcome
	}{
		{name: "held by all", holders: 4, want: outcome{State: catalogue.ChangeAccepted, Records: 1, Out: true}},
		{name: "held by a majority", holders: 2, want: outcome{State: catalogue.ChangeAccepted, Missing: []string{"entry-3", "entry-4"}, Records: 1, Out: true}},
		{name: "held by too few", holders: 1, want: outcome{State: catalogue.ChangeRecorded, Missing: []string{"entry-2", "entry-3", "entry-4"}, Records: 1, Out: true}},
		{name: "stale base", base: 7, holders: 4, want: outcome{State: catalogue.ChangeRefused}},
		{
			name:    "overtaken by another operator",
			setup:   func(b *bench, d *desk) { d.view.Log = b.log; d.Log = &overtaken{Log: d.view, bench: b} },
			holders: 4,
			want:    outcome{State: catalogue.ChangeRefused, Records: 2},
		},
		{
			name:    "answer lost after the effect",
			setup:   func(b *bench, _ *desk) { b.log.SetFaults(fake.Faults{LoseAnswers: 1}) },
			holders: 4,
			want:    outcome{State: catalogue.ChangeAccepted, Records: 1, Out: true},
		},
		{
			name:    "answer lost and the log not readable for a while",
			setup:   func(_ *bench, d *desk) { d.Log = &blind{LogView: d.view, lost: 1} },
			holders: 4,
			want:    outcome{State: catalogue.ChangeAccepted, Records: 2, Out: true},
		},
		{
			name:  "log down",
			setup: func(b *bench, _ *desk) { b.log.SetFaults(fake.Faults{Down: true}) },
			want:  outcome{},
		},
		{
			name:  "answer lost, then cut off",
			setup: func(_ *bench, d *desk) { d.Log = &blind{LogView: d.view, lost: 1000} },
			want:  outcome{Unsettled: true, Records: 1, Out: true},
		},
		{
			name:  "not read to its end yet",
			setup: func(_ *bench, d *desk) { d.journal.whole = false; d.view.Cut(true, true) },
			want:  outcome{Unready: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			desks := newDesks(b, 5)
			d := desks[0]
			if tt.setup != nil {
				tt.setup(b, d)
			}
			holders := d.Holders
			d.Holders = func(r catalogue.Revision) (int, []string) {
				for _, o := range desks[1 : 1+tt.holders] {
					o.read()
				}
				return holders(r)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if l, ok := d.Log.(*blind); ok {
				l.giveUp = cancel
			}
			rec, err := d.Apply(ctx, zoneChange(t, "mine", "mine", true, tt.base))
			var unsettled *UnsettledError
			var unready *UnreadyError
			b.log.SetFaults(fake.Faults{})
			d.view.Cut(false, false)
			all, _ := b.log.Read(t.Context(), catalogue.StreamName, 0, 100, 0)
			got := outcome{
				State: rec.State, Missing: rec.Missing, Records: all.End - 1, Out: d.state().ZoneOut("mine"),
				Unsettled: errors.As(err, &unsettled), Unready: errors.As(err, &unready),
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("apply (-want +got), error %v:\n%s", err, diff)
			}
		})
	}
}

// overtaken lets another operator's change into the log just before each append.
type overtaken struct {
	Log
	bench *bench
}

// Append appends the other change first.
func (l *overtaken) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	l.bench.change(zoneChange(l.bench.t, "theirs", "mine", false, 0))
	return l.Log.Append(ctx, stream, records)
}

// blind loses answers and hides the records until the next append.
type blind struct {
	*fake.LogView
	lost   int
	calls  int
	giveUp func()
}

// Append takes effect, loses its answer, and cuts the view off until the next one.
func (l *blind) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	l.calls++
	lose := l.calls <= l.lost
	if l.calls > 1 && lose {
		l.giveUp()
	}
	l.Cut(false, false)
	if l.calls > 1 && lose {
		l.Cut(true, true)
	}
	first, err := l.LogView.Append(ctx, stream, records)
	l.Cut(lose, lose)
	if lose {
		return 0, &backoffice.UnavailableError{Service: "log", Unknown: true, Cause: context.DeadlineExceeded}
	}
	return first, err
}

func TestP12ApplyAgain(t *testing.T) {
	b := newBench(t)
	d := newDesks(b, 1)[0]
	ch := zoneChange(t, "mine", "mine", true, 0)
	first, err := d.Apply(t.Context(), ch)
	if err != nil {
		t.Fatal(err)
	}
	b.changes(5)
	again, err := d.Apply(t.Context(), ch)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, again); diff != "" {
		t.Errorf("receipt of the same change (-first +again):\n%s", diff)
	}
}

// TestP12OperatorsRace lets operators change the same zones at several instances, with answers lost and records appended twice:
// all instances fold alike, each base has one winner, and each receipt says what the log says.
func TestP12OperatorsRace(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 3))
		b := newBench(t)
		desks := newDesks(b, 3)
		receipts := map[string]catalogue.Receipt{}
		for i := range 30 {
			d := desks[r.IntN(len(desks))]
			seen := d.journal.State()
			zone := fmt.Sprintf("z%d", r.IntN(2))
			ch := zoneChange(t, fmt.Sprintf("op%d", i), zone, r.IntN(2) == 0, seen.ObjectRevision(catalogue.ObjectKey{Kind: catalogue.KindZone, Name: zone}))
			ch.AsOf = seen.Revision
			if r.IntN(4) == 0 {
				b.change(ch)
			}
			if r.IntN(3) == 0 {
				b.log.SetFaults(fake.Faults{LoseAnswers: 1})
			}
			rec, err := d.Apply(t.Context(), ch)
			b.log.SetFaults(fake.Faults{})
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			receipts[ch.ID] = rec
		}
		checkRace(t, seed, desks, receipts)
	}
}

func checkRace(t *testing.T, seed uint64, desks []*desk, receipts map[string]catalogue.Receipt) {
	t.Helper()
	final := desks[0].state()
	for i, d := range desks {
		if diff := cmp.Diff(final, d.state()); diff != "" {
			t.Fatalf("seed %d: desk %d folds differently:\n%s", seed, i, diff)
		}
	}
	for id, rec := range receipts {
		res, known := final.Result(id)
		refused := rec.State == catalogue.ChangeRefused
		switch {
		case !known && !refused:
			t.Fatalf("seed %d: %s was told %s and is not in the log", seed, id, rec.State)
		case known && (res.Refused != "") != refused:
			t.Fatalf("seed %d: %s was told %s, the fold says %q", seed, id, rec.State, res.Refused)
		}
	}
}
