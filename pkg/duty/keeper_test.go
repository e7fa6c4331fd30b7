package duty

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
)

// scripted is a store with one record whose appends take some time.
type scripted struct {
	clock  *clock.Manual
	end    Position
	value  []byte
	slow   clock.Millis
	writes int
}

func (s *scripted) Load(context.Context) (Position, []byte, error) { return s.end, s.value, nil }

func (s *scripted) Append(_ context.Context, at Position, value []byte) (Position, error) {
	if at.Offset != s.end.Offset {
		return Position{}, &ConflictError{At: at}
	}
	s.writes++
	s.end.Offset++
	s.value = value
	s.clock.Advance(s.slow)
	return s.end, nil
}

func newKeeper(s *scripted) *Keeper {
	return &Keeper{
		Clock: s.clock, Log: logr.Discard(), Store: s, Self: "n", ID: "n-1", Lease: testLease, FencingRequired: true,
		Candidate: func(clock.Millis) bool { return true },
	}
}

// acquire steps until the keeper holds the lease.
func acquire(t *testing.T, k *Keeper, c *clock.Manual) Lease {
	t.Helper()
	for range 100 {
		wait := k.step(context.Background())
		if lease, held := k.Held(c.Now()); held {
			return lease
		}
		c.Advance(wait)
	}
	t.Fatal("the lease was not acquired")
	return Lease{}
}

func TestFreeLease(t *testing.T) {
	for _, c := range []struct {
		name, record string
		era          int64
		// want is whether the lease is acquired at once.
		want bool
	}{
		{"released", `{"Holder":"m","ID":"m-1","Era":2,"Token":5,"Released":true}`, 2, true},
		{"held", `{"Holder":"m","ID":"m-1","Era":2,"Token":5}`, 2, false},
		{"released before the store came back", `{"Holder":"m","ID":"m-1","Era":1,"Token":5,"Released":true}`, 2, false},
		{"own one of a process before", `{"Holder":"n","ID":"n-0","Era":2,"Token":5}`, 2, false},
		{"own one", `{"Holder":"n","ID":"n-1","Era":2,"Token":5}`, 2, true},
		{"own one before the store came back", `{"Holder":"n","ID":"n-1","Era":1,"Token":5}`, 2, false},
		{"an era that is missing", `{"Holder":"m","ID":"m-1","Era":3,"Token":5,"Released":true}`, 2, false},
		{"a record that can't be read", `[]`, 2, false},
		{"none", ``, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scripted{clock: clock.NewManual(1000), end: Position{Era: c.era, Offset: 7}, value: []byte(c.record)}
			k := newKeeper(s)
			k.step(context.Background())
			_, held := k.Held(s.clock.Now())
			if diff := cmp.Diff(c.want, held); diff != "" {
				t.Errorf("held (-want +got):\n%s", diff)
			}
		})
	}
}

// A holder that counted its lease from the answer would act after a candidate that read the record early has acquired the lease.
func TestLeaseBeginsWhenTheRenewalIsSent(t *testing.T) {
	s := &scripted{clock: clock.NewManual(1000), slow: 1200}
	k := newKeeper(s)
	lease := acquire(t, k, s.clock)
	if diff := cmp.Diff(s.clock.Now()-s.slow+testLease, lease.Until); diff != "" {
		t.Errorf("end of the lease (-want +got):\n%s", diff)
	}
}

// Holders that hand over faster than a lease could act in the order A, B, A within one.
func TestReleaseWaitsForAWholeLease(t *testing.T) {
	for _, c := range []struct {
		name string
		held clock.Millis
		want bool
	}{
		{"soon", testLease / 2, false},
		{"after a lease", testLease, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scripted{clock: clock.NewManual(1000)}
			k := newKeeper(s)
			acquire(t, k, s.clock)
			for end := s.clock.Now() + c.held; s.clock.Now() < end; {
				s.clock.Advance(100)
				k.step(context.Background())
			}
			if err := k.release(context.Background()); err != nil {
				t.Fatal(err)
			}
			r, err := decodeRecord(s.value)
			if err != nil {
				t.Fatal(err)
			}
			_, held := k.Held(s.clock.Now())
			if diff := cmp.Diff([]bool{c.want, false}, []bool{r.Released, held}); diff != "" {
				t.Errorf("released and held (-want +got):\n%s", diff)
			}
		})
	}
}

// answering is a Caller that returns an error and counts the calls by token.
type answering struct {
	err   error
	calls map[int64]int
}

func (a *answering) Usage(_ context.Context, lease Lease, _ UsageReport) error {
	a.calls[lease.Token]++
	return a.err
}

func (a *answering) Scale(_ context.Context, lease Lease, _ ScaleOrder) error {
	a.calls[lease.Token]++
	return a.err
}

func TestGuard(t *testing.T) {
	unknown := errors.New("no answer")
	for _, c := range []struct {
		name string
		err  error
		// wait passes before the calls, and pause after each of them.
		wait, pause clock.Millis
		calls       int
		// sent is how many of the calls are sent, and held whether the lease is held after them.
		sent int
		held bool
	}{
		{"accepted", nil, 0, 0, 3, 3, true},
		{"throttled", &ThrottledError{}, 0, 0, 3, 3, true},
		{"superseded", &FencedError{}, 0, 0, 3, 1, false},
		{"lapsed", nil, testLease, 0, 3, 0, true},
		{"failing for a moment", unknown, 0, 0, maxFailures, maxFailures, true},
		{"failing", unknown, 0, testLease / renewals, maxFailures + 2, maxFailures, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scripted{clock: clock.NewManual(1000)}
			k := newKeeper(s)
			lease := acquire(t, k, s.clock)
			s.clock.Advance(c.wait)
			a := &answering{err: c.err, calls: map[int64]int{}}
			g := &Guard{Keeper: k, Caller: a}
			for range c.calls {
				_ = g.Scale(context.Background(), lease, ScaleOrder{})
				s.clock.Advance(c.pause)
				if c.pause > 0 {
					k.step(context.Background())
				}
			}
			k.step(context.Background())
			_, held := k.Held(s.clock.Now())
			if diff := cmp.Diff([]any{c.sent, c.held}, []any{a.calls[lease.Token], held}); diff != "" {
				t.Errorf("calls sent and lease held (-want +got):\n%s", diff)
			}
		})
	}
}

// A token that was refused must not be sent again, and the next one is higher.
func TestNextTokenAfterARefusal(t *testing.T) {
	s := &scripted{clock: clock.NewManual(1000)}
	k := newKeeper(s)
	first := acquire(t, k, s.clock)
	g := &Guard{Keeper: k, Caller: &answering{err: &FencedError{Token: first.Token}, calls: map[int64]int{}}}
	var fenced *FencedError
	if err := g.Usage(context.Background(), first, UsageReport{}); !errors.As(err, &fenced) {
		t.Fatalf("got %v, want a refusal of the token", err)
	}
	refusedAt := s.clock.Now()
	next := acquire(t, k, s.clock)
	if diff := cmp.Diff([]bool{true, true}, []bool{next.Token > first.Token, s.clock.Now()-refusedAt >= testLease}); diff != "" {
		t.Errorf("higher token, after a lease (-want +got):\n%s", diff)
	}
}
