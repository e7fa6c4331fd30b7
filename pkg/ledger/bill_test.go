package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// office is a log and three instances of two availability zones that hold bills for one another.
type office struct {
	log     *fake.Log
	members []catalogue.Member
	clerks  map[string]*clerk
	// cut is true while instances don't reach one another.
	cut atomic.Bool
}

// clerk is one instance; a dead one reaches nobody.
type clerk struct {
	office *office
	view   *fake.LogView
	biller *Biller
	keeper *BillKeeper
	cancel context.CancelFunc
	wg     sync.WaitGroup
	dead   atomic.Bool
}

func newOffice() *office {
	o := &office{log: &fake.Log{Clock: clock.NewReal()}, clerks: map[string]*clerk{}}
	for _, m := range []catalogue.Member{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: "z2"}} {
		o.members = append(o.members, m)
		o.clerks[m.Name] = o.start(m)
	}
	return o
}

func (o *office) start(m catalogue.Member) *clerk {
	common := testCommon(m.Name, m.Zone)
	c := &clerk{office: o, view: &fake.LogView{Log: o.log}}
	batcher := &Batcher{Common: common, Log: c.view, Stream: BillingStream}
	c.keeper = &BillKeeper{Common: common, Log: batcher}
	c.biller = &Biller{Common: common, Log: batcher, Peers: c, Keeper: c.keeper,
		Members: func() []catalogue.Member { return o.members }}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for _, run := range []func(context.Context) error{batcher.Run, c.keeper.Run, c.biller.Run} {
		c.wg.Go(func() { _ = run(ctx) })
	}
	return c
}

// kill ends an instance, and its calls under way have no effect.
func (o *office) kill(name string) {
	c := o.clerks[name]
	c.dead.Store(true)
	c.view.Cut(true, true)
	c.cancel()
	c.wg.Wait()
}

// killForAMinute kills an instance and lets the others be without it for a minute.
func (o *office) killForAMinute(name string) {
	o.kill(name)
	time.Sleep(time.Minute)
}

// withOffice plays in a bubble of fake time and closes the office after it.
func withOffice(t *testing.T, play func(t *testing.T, o *office)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := newOffice()
		defer o.close()
		play(t, o)
	})
}

func (o *office) close() {
	for name := range o.clerks {
		o.kill(name)
	}
}

// Call is a call to another instance.
func (c *clerk) Call(ctx context.Context, member, method string, args, reply any) error {
	time.Sleep(time.Millisecond)
	to := c.office.clerks[member]
	if c.dead.Load() || to.dead.Load() || c.office.cut.Load() {
		return errors.New("no connection")
	}
	switch method {
	case "BillKeeper.Hold":
		return to.keeper.Hold(args.(*HoldArgs), reply.(*HoldReply))
	case "BillKeeper.Drop":
		return to.keeper.Drop(args.(*DropArgs), reply.(*DropReply))
	}
	return errors.Newf("no method %s", method)
}

// page is the caller's end of an answer.
type page struct {
	request.Writer
	ended bool
}

func (p *page) WriteEnd(context.Context, *request.Call, request.End) error {
	p.ended = true
	return nil
}

// result is how an upstream takes a call.
type result int

const (
	resultAnswers result = iota
	resultRefuses
	resultBreaks
	resultStops
)

// serve sends one request of two cascade steps through the biller, and tells whether its caller saw the end of the answer.
func (c *clerk) serve(id string, r result) (ended bool, err error) {
	p := &page{}
	call := &request.Call{Request: &request.Request{ID: id, Workspace: "chai", Profile: "notes"}, Writer: p}
	err = c.biller.Filter(context.Background(), call, request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		if r == resultRefuses {
			return request.Refuse(request.ReasonOverloaded, 0, "full")
		}
		c.Usage = append(c.Usage, request.Usage{Upstream: "u1", Cost: 3}, request.Usage{Upstream: "u2", Cost: 7})
		if r == resultStops {
			return nil
		}
		if r == resultBreaks {
			return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed}
		}
		return c.Writer.WriteEnd(ctx, c, request.End{})
	}))
	return p.ended && !c.dead.Load(), err
}

// folded reads the whole billing stream.
func (o *office) folded(t *testing.T) (*Fold, map[string]int) {
	t.Helper()
	f, lines := &Fold{}, map[string]int{}
	for {
		b, err := o.log.Read(context.Background(), BillingStream, f.Next(), readLimit, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range b.Entries {
			if f.Add(e) {
				l, _ := DecodeBill(e.Data)
				lines[l.RequestID]++
			}
		}
		if f.Next() >= b.End {
			return f, lines
		}
	}
}

func TestP04BillsUnderFaults(t *testing.T) {
	chai := func(requests int64) map[string]Total {
		return map[string]Total{"chai": {Requests: requests, Cost: catalogue.Micros(10 * requests)}}
	}
	down := fake.Faults{Down: true}
	scenarios := []struct {
		name string
		// before, faults and cut hold while r1 is asked of a; a log that is down heals after what comes after.
		before func(o *office)
		faults fake.Faults
		cut    bool
		result result
		after  func(o *office)
		want   map[string]Total
	}{
		{name: "cascade is one line", want: chai(1)},
		{name: "call that did not run", result: resultRefuses},
		{name: "call that may have run", result: resultBreaks, want: chai(1)},
		{name: "call that stops without an end", result: resultStops, want: chai(1)},
		{name: "answer of the log lost", faults: fake.Faults{LoseAnswers: 3}, want: chai(1)},
		{
			name:   "append lost on its way to the log",
			before: func(o *office) { o.clerks["a"].view.Cut(true, false) },
			cut:    true,
			after: func(o *office) {
				time.Sleep(time.Minute)
				o.clerks["a"].view.Cut(false, false)
			},
			want: chai(1),
		},
		{
			name:   "log down, origin killed",
			faults: down,
			after:  func(o *office) { o.killForAMinute("a") },
			want:   chai(1),
		},
		{
			name:   "log down, keeper killed",
			faults: down,
			after:  func(o *office) { o.killForAMinute("c") },
			want:   chai(1),
		},
		{
			name:   "log slow, origin killed",
			faults: fake.Faults{Delay: 4000},
			after:  func(o *office) { o.kill("a") },
			want:   chai(1),
		},
		{name: "log down, peers cut, later well again", faults: down, cut: true, want: chai(1)},
		{
			name:   "log down, keeper killed, origin shut down",
			faults: down,
			after: func(o *office) {
				o.killForAMinute("c")
				_ = o.clerks["a"].biller.Handover(context.Background())
				o.kill("a")
			},
			want: chai(1),
		},
		{
			name:   "shut down while the log is down",
			faults: down,
			cut:    true,
			after: func(o *office) {
				o.cut.Store(false)
				_, _ = o.clerks["b"].serve("r2", resultAnswers)
				_ = o.clerks["a"].biller.Handover(context.Background())
				_ = o.clerks["c"].biller.Handover(context.Background())
				o.kill("a")
				o.kill("c")
			},
			want: chai(2),
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			withOffice(t, func(t *testing.T, o *office) {
				if sc.before != nil {
					sc.before(o)
				}
				o.log.SetFaults(sc.faults)
				o.cut.Store(sc.cut)
				_, _ = o.clerks["a"].serve("r1", sc.result)
				if sc.after != nil {
					sc.after(o)
				}
				if sc.faults.Down {
					o.log.SetFaults(fake.Faults{})
				}
				time.Sleep(3 * time.Minute)
				f, _ := o.folded(t)
				if diff := cmp.Diff(sc.want, f.Totals); diff != "" {
					t.Errorf("totals (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestP04InterleavingsBillEachRequestOnce lets the log fail in all ways and kills one of three instances, in an order
// that the seed decides: what a caller saw whole is billed once, and what did not run is not billed.
func TestP04InterleavingsBillEachRequestOnce(t *testing.T) {
	for seed := range uint64(300) {
		withOffice(t, func(t *testing.T, o *office) {
			rng := rand.New(rand.NewPCG(seed, 20261203))
			var (
				mu    sync.Mutex
				whole = map[string]bool{}
				unrun = map[string]bool{}
				wg    sync.WaitGroup
			)
			for n := range 12 {
				id, at := fmt.Sprintf("r%d", n), o.clerks[[]string{"a", "b", "c"}[rng.IntN(3)]]
				wait, how := rng.IntN(4000), result(rng.IntN(3))
				wg.Go(func() {
					time.Sleep(time.Duration(wait) * time.Millisecond)
					ended, err := at.serve(id, how)
					mu.Lock()
					defer mu.Unlock()
					var r *request.Refusal
					whole[id] = ended
					unrun[id] = errors.As(err, &r) && r.Outcome == request.NotRun
				})
			}
			for range 3 {
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				o.log.SetFaults([]fake.Faults{{}, {Down: true}, {Delay: 3000}, {LoseAnswers: 2}, {Delay: 100, LoseAnswers: 1}}[rng.IntN(5)])
			}
			victim := []string{"a", "b", "c", ""}[rng.IntN(4)]
			if victim != "" {
				o.kill(victim)
			}
			time.Sleep(time.Duration(rng.IntN(60000)) * time.Millisecond)
			o.log.SetFaults(fake.Faults{})
			wg.Wait()
			time.Sleep(3 * time.Minute)
			_, lines := o.folded(t)
			for id := range whole {
				switch {
				case lines[id] > 1:
					t.Errorf("seed %d: %s is billed %d times", seed, id, lines[id])
				case whole[id] && lines[id] != 1:
					t.Errorf("seed %d: the caller saw the whole answer of %s, and it is not billed", seed, id)
				case unrun[id] && lines[id] != 0:
					t.Errorf("seed %d: %s did not run and is billed", seed, id)
				}
			}
			for name, c := range o.clerks {
				if _, owed := c.biller.Owed(); owed > 0 && !c.dead.Load() {
					t.Errorf("seed %d: %s still owes %d bills", seed, name, owed)
				}
				if held := c.keeper.Bills(); len(held) > 0 && !c.dead.Load() {
					t.Errorf("seed %d: %s still holds %d bills", seed, name, len(held))
				}
			}
		})
	}
}

func TestP04KeeperLeavesBillsToALivingOrigin(t *testing.T) {
	withOffice(t, func(t *testing.T, o *office) {
		o.log.SetFaults(fake.Faults{Down: true})
		_, _ = o.clerks["a"].serve("r1", resultAnswers)
		time.Sleep(time.Minute)
		o.log.SetFaults(fake.Faults{})
		time.Sleep(time.Minute)
		f, _ := o.folded(t)
		if diff := cmp.Diff([]int64{1, 0}, []int64{f.Totals["chai"].Requests, f.Doubles}); diff != "" {
			t.Errorf("billed, doubles (-want +got):\n%s", diff)
		}
	})
}

func TestP04KeeperDropsWhatTheLogHas(t *testing.T) {
	withOffice(t, func(t *testing.T, o *office) {
		o.log.SetFaults(fake.Faults{Delay: 1000})
		_, _ = o.clerks["a"].serve("r1", resultAnswers)
		held := len(o.clerks["c"].keeper.Bills())
		time.Sleep(10 * time.Second)
		left := len(o.clerks["c"].keeper.Bills())
		o.log.SetFaults(fake.Faults{})
		time.Sleep(time.Minute)
		f, _ := o.folded(t)
		if diff := cmp.Diff([]int64{1, 0, 0}, []int64{int64(held), int64(left), f.Doubles}); diff != "" {
			t.Errorf("held, left, doubles (-want +got):\n%s", diff)
		}
	})
}

func TestP04CallsAreRefusedWhileBillsCanNotBeKeptSafe(t *testing.T) {
	withOffice(t, func(t *testing.T, o *office) {
		a := o.clerks["a"]
		a.biller.MaxUnsafe = 3
		o.log.SetFaults(fake.Faults{Down: true})
		o.cut.Store(true)
		var got []string
		for n := range 5 {
			ended, err := a.serve(fmt.Sprintf("r%d", n), resultAnswers)
			got = append(got, fmt.Sprint(ended, " ", err != nil))
		}
		want := []string{"true false", "true false", "true false", "false true", "false true"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("ended, refused (-want +got):\n%s", diff)
		}
	})
}

func TestP04KeeperIsBounded(t *testing.T) {
	k := &BillKeeper{Common: testCommon("a", "z1"), MaxHeld: 2}
	var got []bool
	for _, id := range []string{"r1", "r2", "r3", "r1"} {
		var reply HoldReply
		if err := k.Hold(&HoldArgs{Bills: []*Bill{{RequestID: id}}}, &reply); err != nil {
			t.Fatal(err)
		}
		got = append(got, reply.Held)
		if id == "r3" {
			_ = k.Drop(&DropArgs{Bills: []BillKey{{RequestID: "r2"}, {RequestID: "r9"}}}, &DropReply{})
		}
	}
	if diff := cmp.Diff([]bool{true, true, false, true}, got); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
}

func TestP04Fold(t *testing.T) {
	const minute = 60 * clock.Second
	bill := func(id string, at clock.Millis) []byte {
		data, err := encodeBill(&Bill{RequestID: id, Workspace: "chai", Cost: 5, At: at})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	f := &Fold{Window: 10 * minute}
	entries := []backoffice.Entry{
		{Offset: 0, At: 100 * minute, Data: bill("r1", 100*minute)},
		{Offset: 1, At: 105 * minute, Data: bill("r1", 100*minute)},
		{Offset: 1, At: 105 * minute, Data: bill("r2", 105*minute)}, // an offset again
		{Offset: 2, At: 106 * minute, Data: []byte("no bill")},
		{Offset: 3, At: 112 * minute, Data: bill("r1", 100*minute)}, // after the window
		{Offset: 4, At: 112 * minute, Data: bill("r3", 150*minute)}, // in the future
		{Offset: 5, At: 130 * minute, Data: bill("r4", 121*minute)},
	}
	for _, e := range entries {
		f.Add(e)
	}
	got := map[string]int64{"Doubles": f.Doubles, "Late": f.Late, "LateCost": int64(f.LateCost), "Bad": f.Bad, "Remembered": int64(f.Remembered())}
	want := map[string]int64{"Doubles": 1, "Late": 2, "LateCost": 10, "Bad": 1, "Remembered": 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]Total{"chai": {Requests: 2, Cost: 10}}, f.Totals); diff != "" {
		t.Errorf("totals (-want +got):\n%s", diff)
	}
}
