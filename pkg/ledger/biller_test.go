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

// cluster is a log and three instances in two availability zones that are keepers of each other's bills.
type cluster struct {
	log       *fake.Log
	members   []catalogue.Member
	instances map[string]*instance
	// partitioned is set while calls between instances fail.
	partitioned atomic.Bool
}

// instance is one instance of a cluster; calls from and to a dead one fail.
type instance struct {
	cluster *cluster
	view    *fake.LogView
	biller  *Biller
	keeper  *BillKeeper
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	dead    atomic.Bool
}

func newCluster() *cluster {
	cl := &cluster{log: &fake.Log{Clock: clock.NewReal()}, instances: map[string]*instance{}}
	for _, m := range []catalogue.Member{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: "z2"}} {
		cl.members = append(cl.members, m)
		cl.instances[m.Name] = cl.start(m)
	}
	return cl
}

func (cl *cluster) start(m catalogue.Member) *instance {
	common := testCommon(m.Name, m.Zone)
	inst := &instance{cluster: cl, view: &fake.LogView{Log: cl.log}}
	batcher := &Batcher{Common: common, Log: inst.view, Stream: BillingStream}
	inst.keeper = &BillKeeper{Common: common, Log: batcher}
	inst.biller = &Biller{Common: common, Log: batcher, Peers: inst, Keeper: inst.keeper,
		Members: func() []catalogue.Member { return cl.members }}
	ctx, cancel := context.WithCancel(context.Background())
	inst.cancel = cancel
	for _, run := range []func(context.Context) error{batcher.Run, inst.keeper.Run, inst.biller.Run} {
		inst.wg.Go(func() { _ = run(ctx) })
	}
	return inst
}

// kill crashes an instance: its appends and calls in flight have no effect.
func (cl *cluster) kill(name string) {
	inst := cl.instances[name]
	inst.dead.Store(true)
	inst.view.SetPartition(true, true)
	inst.cancel()
	inst.wg.Wait()
}

// killAndWait kills an instance and gives the others a minute to notice.
func (cl *cluster) killAndWait(name string) {
	cl.kill(name)
	time.Sleep(time.Minute)
}

// withCluster runs f with a new cluster in a synctest bubble and closes the cluster afterwards.
func withCluster(t *testing.T, f func(t *testing.T, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.close()
		f(t, cl)
	})
}

func (cl *cluster) close() {
	for name := range cl.instances {
		cl.kill(name)
	}
}

// Call implements Peers with direct calls to the other instance's keeper.
func (inst *instance) Call(ctx context.Context, member, method string, args, reply any) error {
	time.Sleep(time.Millisecond)
	to := inst.cluster.instances[member]
	if inst.dead.Load() || to.dead.Load() || inst.cluster.partitioned.Load() {
		return errors.New("instance unreachable")
	}
	switch method {
	case "BillKeeper.Hold":
		return to.keeper.Hold(args.(*HoldArgs), reply.(*HoldReply))
	case "BillKeeper.Drop":
		return to.keeper.Drop(args.(*DropArgs), reply.(*DropReply))
	}
	return errors.Newf("unknown method %s", method)
}

// answerWriter records whether the caller received the end of an answer.
type answerWriter struct {
	request.Writer
	ended bool
}

func (w *answerWriter) WriteEnd(context.Context, *request.Call, request.End) error {
	w.ended = true
	return nil
}

// result is how an upstream responds to a call.
type result int

const (
	upstreamAnswers result = iota
	upstreamRefuses
	upstreamBreaks
	upstreamStops
)

// serve sends one request with two cascade steps through the biller, and reports whether the caller received the end of the
// answer.
func (inst *instance) serve(id string, r result) (ended bool, err error) {
	w := &answerWriter{}
	call := &request.Call{Request: &request.Request{ID: id, Workspace: "chai", Profile: "notes"}, Writer: w}
	err = inst.biller.Filter(context.Background(), call, request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		if r == upstreamRefuses {
			return request.Refuse(request.ReasonOverloaded, 0, "full")
		}
		c.Usage = append(c.Usage, request.Usage{Upstream: "u1", Cost: 3}, request.Usage{Upstream: "u2", Cost: 7})
		if r == upstreamStops {
			return nil
		}
		if r == upstreamBreaks {
			return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed}
		}
		return c.Writer.WriteEnd(ctx, c, request.End{})
	}))
	return w.ended && !inst.dead.Load(), err
}

// readBills folds the whole billing stream and counts the billed requests by request id.
func (cl *cluster) readBills(t *testing.T) (*Fold, map[string]int) {
	t.Helper()
	f, billed := &Fold{}, map[string]int{}
	for {
		b, err := cl.log.Read(context.Background(), BillingStream, f.Next(), maxReadEntries, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range b.Entries {
			if f.Add(e) {
				bill, _ := DecodeBill(e.Data)
				billed[bill.RequestID]++
			}
		}
		if f.Next() >= b.End {
			return f, billed
		}
	}
}

func TestP04BillsUnderFaults(t *testing.T) {
	total := func(requests int64) map[string]Total {
		return map[string]Total{"chai": {Requests: requests, Cost: catalogue.Micros(10 * requests)}}
	}
	down := fake.Faults{Down: true}
	scenarios := []struct {
		name string
		// before, faults and partitioned apply while instance a serves request r1. A log that is down recovers once after has
		// returned.
		before      func(cl *cluster)
		faults      fake.Faults
		partitioned bool
		result      result
		after       func(cl *cluster)
		want        map[string]Total
	}{
		{name: "cascade makes one bill", want: total(1)},
		{name: "call that did not run", result: upstreamRefuses},
		{name: "call that may have run", result: upstreamBreaks, want: total(1)},
		{name: "call that ends without the end of an answer", result: upstreamStops, want: total(1)},
		{name: "append applied but its response lost", faults: fake.Faults{LoseAnswers: 3}, want: total(1)},
		{
			name:        "append request lost",
			before:      func(cl *cluster) { cl.instances["a"].view.SetPartition(true, false) },
			partitioned: true,
			after: func(cl *cluster) {
				time.Sleep(time.Minute)
				cl.instances["a"].view.SetPartition(false, false)
			},
			want: total(1),
		},
		{
			name:   "log down, origin killed",
			faults: down,
			after:  func(cl *cluster) { cl.killAndWait("a") },
			want:   total(1),
		},
		{
			name:   "log down, keeper killed",
			faults: down,
			after:  func(cl *cluster) { cl.killAndWait("c") },
			want:   total(1),
		},
		{
			name:   "log slow, origin killed",
			faults: fake.Faults{Delay: 4000},
			after:  func(cl *cluster) { cl.kill("a") },
			want:   total(1),
		},
		{name: "log down and peers partitioned, both recover", faults: down, partitioned: true, want: total(1)},
		{
			name:   "log down, keeper killed, origin shut down",
			faults: down,
			after: func(cl *cluster) {
				cl.killAndWait("c")
				_ = cl.instances["a"].biller.Handover(context.Background())
				cl.kill("a")
			},
			want: total(1),
		},
		{
			name:        "shut down while the log is down",
			faults:      down,
			partitioned: true,
			after: func(cl *cluster) {
				cl.partitioned.Store(false)
				_, _ = cl.instances["b"].serve("r2", upstreamAnswers)
				_ = cl.instances["a"].biller.Handover(context.Background())
				_ = cl.instances["c"].biller.Handover(context.Background())
				cl.kill("a")
				cl.kill("c")
			},
			want: total(2),
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl *cluster) {
				if sc.before != nil {
					sc.before(cl)
				}
				cl.log.SetFaults(sc.faults)
				cl.partitioned.Store(sc.partitioned)
				_, _ = cl.instances["a"].serve("r1", sc.result)
				if sc.after != nil {
					sc.after(cl)
				}
				if sc.faults.Down {
					cl.log.SetFaults(fake.Faults{})
				}
				time.Sleep(3 * time.Minute)
				f, _ := cl.readBills(t)
				if diff := cmp.Diff(sc.want, f.Totals); diff != "" {
					t.Errorf("totals (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestP04InterleavingsBillEachRequestOnce injects all kinds of log faults and kills at most one of three instances, in an order
// derived from the seed. A request whose complete answer reached its caller is billed once, and one that did not run never.
func TestP04InterleavingsBillEachRequestOnce(t *testing.T) {
	for seed := range uint64(300) {
		withCluster(t, func(t *testing.T, cl *cluster) {
			rng := rand.New(rand.NewPCG(seed, 20261203))
			var (
				mu       sync.Mutex
				complete = map[string]bool{}
				notRun   = map[string]bool{}
				wg       sync.WaitGroup
			)
			for n := range 12 {
				id, inst := fmt.Sprintf("r%d", n), cl.instances[[]string{"a", "b", "c"}[rng.IntN(3)]]
				wait, res := rng.IntN(4000), result(rng.IntN(3))
				wg.Go(func() {
					time.Sleep(time.Duration(wait) * time.Millisecond)
					ended, err := inst.serve(id, res)
					mu.Lock()
					defer mu.Unlock()
					var r *request.Refusal
					complete[id] = ended
					notRun[id] = errors.As(err, &r) && r.Outcome == request.NotRun
				})
			}
			for range 3 {
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				cl.log.SetFaults([]fake.Faults{{}, {Down: true}, {Delay: 3000}, {LoseAnswers: 2}, {Delay: 100, LoseAnswers: 1}}[rng.IntN(5)])
			}
			killed := []string{"a", "b", "c", ""}[rng.IntN(4)]
			if killed != "" {
				cl.kill(killed)
			}
			time.Sleep(time.Duration(rng.IntN(60000)) * time.Millisecond)
			cl.log.SetFaults(fake.Faults{})
			wg.Wait()
			time.Sleep(3 * time.Minute)
			_, billed := cl.readBills(t)
			for id := range complete {
				switch {
				case billed[id] > 1:
					t.Errorf("seed %d: %s is billed %d times, want at most 1", seed, id, billed[id])
				case complete[id] && billed[id] != 1:
					t.Errorf("seed %d: %s is not billed although its caller got the complete answer", seed, id)
				case notRun[id] && billed[id] != 0:
					t.Errorf("seed %d: %s is billed although it did not run", seed, id)
				}
			}
			for name, inst := range cl.instances {
				if _, pending := inst.biller.Backlog(); pending > 0 && !inst.dead.Load() {
					t.Errorf("seed %d: %s has %d bills that are not in the log, want 0", seed, name, pending)
				}
				if held := inst.keeper.Bills(); len(held) > 0 && !inst.dead.Load() {
					t.Errorf("seed %d: %s holds %d bills of other instances, want 0", seed, name, len(held))
				}
			}
		})
	}
}

func TestP04KeeperLeavesBillsToLiveOrigin(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.log.SetFaults(fake.Faults{Down: true})
		_, _ = cl.instances["a"].serve("r1", upstreamAnswers)
		time.Sleep(time.Minute)
		cl.log.SetFaults(fake.Faults{})
		time.Sleep(time.Minute)
		f, _ := cl.readBills(t)
		if diff := cmp.Diff([]int64{1, 0}, []int64{f.Totals["chai"].Requests, f.Duplicates}); diff != "" {
			t.Errorf("billed requests, duplicates (-want +got):\n%s", diff)
		}
	})
}

func TestP04KeeperDropsAppendedBills(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.log.SetFaults(fake.Faults{Delay: 1000})
		_, _ = cl.instances["a"].serve("r1", upstreamAnswers)
		heldFirst := len(cl.instances["c"].keeper.Bills())
		time.Sleep(10 * time.Second)
		heldLater := len(cl.instances["c"].keeper.Bills())
		cl.log.SetFaults(fake.Faults{})
		time.Sleep(time.Minute)
		f, _ := cl.readBills(t)
		if diff := cmp.Diff([]int64{1, 0, 0}, []int64{int64(heldFirst), int64(heldLater), f.Duplicates}); diff != "" {
			t.Errorf("bills held at first, bills held later, duplicates (-want +got):\n%s", diff)
		}
	})
}

func TestP04CallsAreRefusedWhileTooManyBillsAreUnreplicated(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		a := cl.instances["a"]
		a.biller.MaxUnreplicated = 3
		cl.log.SetFaults(fake.Faults{Down: true})
		cl.partitioned.Store(true)
		var got []string
		for n := range 5 {
			ended, err := a.serve(fmt.Sprintf("r%d", n), upstreamAnswers)
			got = append(got, fmt.Sprint(ended, " ", err != nil))
		}
		want := []string{"true false", "true false", "true false", "false true", "false true"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("answer ended, call failed (-want +got):\n%s", diff)
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
		t.Errorf("bills held (-want +got):\n%s", diff)
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
		{Offset: 1, At: 105 * minute, Data: bill("r2", 105*minute)}, // repeated offset
		{Offset: 2, At: 106 * minute, Data: []byte("no bill")},
		{Offset: 3, At: 112 * minute, Data: bill("r1", 100*minute)}, // after the window
		{Offset: 4, At: 112 * minute, Data: bill("r3", 150*minute)}, // in the future
		{Offset: 5, At: 130 * minute, Data: bill("r4", 121*minute)},
	}
	for _, e := range entries {
		f.Add(e)
	}
	got := map[string]int64{"Duplicates": f.Duplicates, "Late": f.Late, "LateCost": int64(f.LateCost), "Malformed": f.Malformed, "Remembered": int64(f.Remembered())}
	want := map[string]int64{"Duplicates": 1, "Late": 2, "LateCost": 10, "Malformed": 1, "Remembered": 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]Total{"chai": {Requests: 2, Cost: 10}}, f.Totals); diff != "" {
		t.Errorf("totals (-want +got):\n%s", diff)
	}
}
