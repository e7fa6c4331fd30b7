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

// steppingClock advances by itself whenever a timer is started.
type steppingClock struct{ *clock.Manual }

// Timer advances the clock by d and returns an expired timer.
func (c steppingClock) Timer(d clock.Millis) (<-chan struct{}, func()) {
	c.Advance(d)
	done := make(chan struct{})
	close(done)
	return done, func() {}
}

// instance applies changes; it reads the log only when its state is asked for.
type instance struct {
	*Applier
	fixture *fixture
	replica *ConfigReplica
	view    *fake.LogView
	peers   []*instance
}

func newInstance(f *fixture, name string) *instance {
	in := &instance{fixture: f, replica: f.replica(name), view: &fake.LogView{Log: f.log}}
	in.Applier = &Applier{
		Common: settings.Common{Clock: steppingClock{f.clock}},
		Log:    in.view,
		State:  in.state,
		Wait:   in.wait,
		Holders: func(r catalogue.Revision) (have int, missing []string) {
			for _, o := range in.peers {
				if o.replica.State().Revision >= r {
					have++
				} else {
					missing = append(missing, o.replica.Name)
				}
			}
			return have, missing
		},
		Ready: func() bool { return in.replica.Ready() || in.replica.Empty() },
	}
	return in
}

func (in *instance) read() {
	from := in.replica.Next()
	batch, err := in.view.Read(context.Background(), catalogue.StreamName, from, 100, 0)
	_ = in.replica.HandleRead(in.fixture.clock.Now(), batch, err)
}

func (in *instance) state() *catalogue.State {
	in.read()
	return in.replica.State()
}

func (in *instance) wait(_ context.Context, r catalogue.Revision) error {
	for range 3 {
		if in.state().Revision >= r {
			return nil
		}
		in.fixture.clock.Advance(100)
	}
	return context.DeadlineExceeded
}

// newInstances returns n instances that are peers of one another; the log has one change, which all of them have read.
func newInstances(f *fixture, n int) []*instance {
	f.changes(1)
	instances := make([]*instance, n)
	for i := range instances {
		instances[i] = newInstance(f, fmt.Sprintf("entry-%d", i))
		instances[i].read()
	}
	for _, in := range instances {
		in.peers = instances
	}
	f.clock.Advance(peerWait)
	return instances
}

func TestP12Apply(t *testing.T) {
	type outcome struct {
		State   catalogue.ReceiptState
		Missing []string
		// Records is the number of records in the log after the first one.
		Records int64
		// Out reports whether the change is in effect in the end.
		Out                      bool
		UnknownOutcome, NotReady bool
	}
	tests := []struct {
		name string
		base catalogue.Revision
		// setup injects faults; holders is how many other instances read the log while the change is applied.
		setup   func(f *fixture, in *instance)
		holders int
		want    outcome
	}{
		{name: "held by all", holders: 4, want: outcome{State: catalogue.ChangeAccepted, Records: 1, Out: true}},
		{name: "held by a majority", holders: 2, want: outcome{State: catalogue.ChangeAccepted, Missing: []string{"entry-3", "entry-4"}, Records: 1, Out: true}},
		{name: "held by a minority", holders: 1, want: outcome{State: catalogue.ChangeRecorded, Missing: []string{"entry-2", "entry-3", "entry-4"}, Records: 1, Out: true}},
		{name: "stale base", base: 7, holders: 4, want: outcome{State: catalogue.ChangeRefused}},
		{
			name:    "conflicting change of another operator is appended first",
			setup:   func(f *fixture, in *instance) { in.view.Log = f.log; in.Log = &racingLog{Log: in.view, fixture: f} },
			holders: 4,
			want:    outcome{State: catalogue.ChangeRefused, Records: 2},
		},
		{
			name:    "reply lost after the append",
			setup:   func(f *fixture, _ *instance) { f.log.SetFaults(fake.Faults{LoseAnswers: 1}) },
			holders: 4,
			want:    outcome{State: catalogue.ChangeAccepted, Records: 1, Out: true},
		},
		{
			name:    "reply lost and the log not readable for a while",
			setup:   func(_ *fixture, in *instance) { in.Log = &lossyLog{LogView: in.view, lost: 1} },
			holders: 4,
			want:    outcome{State: catalogue.ChangeAccepted, Records: 2, Out: true},
		},
		{
			name:  "log down",
			setup: func(f *fixture, _ *instance) { f.log.SetFaults(fake.Faults{Down: true}) },
			want:  outcome{},
		},
		{
			name:  "reply lost and the log unreachable until the request is canceled",
			setup: func(_ *fixture, in *instance) { in.Log = &lossyLog{LogView: in.view, lost: 1000} },
			want:  outcome{UnknownOutcome: true, Records: 1, Out: true},
		},
		{
			name:  "configuration not fully loaded",
			setup: func(_ *fixture, in *instance) { in.replica.complete = false; in.view.SetPartition(true, true) },
			want:  outcome{NotReady: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			instances := newInstances(f, 5)
			in := instances[0]
			if tt.setup != nil {
				tt.setup(f, in)
			}
			holders := in.Holders
			in.Holders = func(r catalogue.Revision) (int, []string) {
				for _, o := range instances[1 : 1+tt.holders] {
					o.read()
				}
				return holders(r)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if l, ok := in.Log.(*lossyLog); ok {
				l.cancel = cancel
			}
			rec, err := in.Apply(ctx, zoneChange(t, "mine", "mine", true, tt.base))
			var unknownOutcome *UnknownOutcomeError
			var notReady *NotReadyError
			f.log.SetFaults(fake.Faults{})
			in.view.SetPartition(false, false)
			all, _ := f.log.Read(t.Context(), catalogue.StreamName, 0, 100, 0)
			got := outcome{
				State: rec.State, Missing: rec.Missing, Records: all.End - 1, Out: in.state().ZoneOut("mine"),
				UnknownOutcome: errors.As(err, &unknownOutcome), NotReady: errors.As(err, &notReady),
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("Apply() (-want +got), error %v:\n%s", err, diff)
			}
		})
	}
}

// racingLog appends another operator's change just before each append.
type racingLog struct {
	Log
	fixture *fixture
}

// Append appends the conflicting change first.
func (l *racingLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	l.fixture.change(zoneChange(l.fixture.t, "theirs", "mine", false, 0))
	return l.Log.Append(ctx, stream, records)
}

// lossyLog loses the replies of its first lost appends and makes the log unreadable after each of them.
type lossyLog struct {
	*fake.LogView
	lost   int
	calls  int
	cancel func()
}

// Append fails on a lost call; the first such call still reaches the log, and later ones cancel the request.
func (l *lossyLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	l.calls++
	lose := l.calls <= l.lost
	if l.calls > 1 && lose {
		l.cancel()
	}
	l.SetPartition(false, false)
	if l.calls > 1 && lose {
		l.SetPartition(true, true)
	}
	first, err := l.LogView.Append(ctx, stream, records)
	l.SetPartition(lose, lose)
	if lose {
		return 0, &backoffice.UnavailableError{Service: "log", OutcomeUnknown: true, Cause: context.DeadlineExceeded}
	}
	return first, err
}

func TestP12ApplySameChangeTwice(t *testing.T) {
	f := newFixture(t)
	in := newInstances(f, 1)[0]
	ch := zoneChange(t, "mine", "mine", true, 0)
	first, err := in.Apply(t.Context(), ch)
	if err != nil {
		t.Fatal(err)
	}
	f.changes(5)
	second, err := in.Apply(t.Context(), ch)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("receipt of the repeated change (-first +second):\n%s", diff)
	}
}

// TestP12OperatorsRace lets operators change the same zones at several instances, with lost replies and duplicate records:
// all instances replay the log to the same state, only one change per base revision succeeds, and receipts agree with the log.
func TestP12OperatorsRace(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 3))
		f := newFixture(t)
		instances := newInstances(f, 3)
		receipts := map[string]catalogue.Receipt{}
		for i := range 30 {
			in := instances[r.IntN(len(instances))]
			state := in.replica.State()
			zone := fmt.Sprintf("z%d", r.IntN(2))
			ch := zoneChange(t, fmt.Sprintf("op%d", i), zone, r.IntN(2) == 0, state.ObjectRevision(catalogue.ObjectKey{Kind: catalogue.KindZone, Name: zone}))
			ch.AsOf = state.Revision
			if r.IntN(4) == 0 {
				f.change(ch)
			}
			if r.IntN(3) == 0 {
				f.log.SetFaults(fake.Faults{LoseAnswers: 1})
			}
			rec, err := in.Apply(t.Context(), ch)
			f.log.SetFaults(fake.Faults{})
			if err != nil {
				t.Fatalf("seed %d: Apply() = %v", seed, err)
			}
			receipts[ch.ID] = rec
		}
		checkRace(t, seed, instances, receipts)
	}
}

func checkRace(t *testing.T, seed uint64, instances []*instance, receipts map[string]catalogue.Receipt) {
	t.Helper()
	final := instances[0].state()
	for i, in := range instances {
		if diff := cmp.Diff(final, in.state()); diff != "" {
			t.Fatalf("seed %d: instance %d has a state that differs from instance 0 (-instance 0 +instance):\n%s", seed, i, diff)
		}
	}
	for id, rec := range receipts {
		res, found := final.Result(id)
		refused := rec.State == catalogue.ChangeRefused
		switch {
		case !found && !refused:
			t.Fatalf("seed %d: change %s has receipt %s, but is not in the log", seed, id, rec.State)
		case found && (res.Refused != "") != refused:
			t.Fatalf("seed %d: change %s has receipt %s, but the log has the refusal %q", seed, id, rec.State, res.Refused)
		}
	}
}
