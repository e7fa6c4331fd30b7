package membership

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// wired is an instance whose exchange runs over TCP.
type wired struct {
	mu       sync.Mutex
	journal  *archive.Journal
	exchange *Exchange
	network  *Network
}

func (w *wired) do(_ context.Context, f func()) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	return nil
}

func startWired(t *testing.T, c clock.Clock, name string) (*wired, catalogue.Member) {
	n, self := startNetwork(t, name, "k")
	cfg := settings.Default()
	w := &wired{journal: &archive.Journal{Clock: c, Name: name}, network: n}
	w.exchange = &Exchange{
		Common: settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: c},
		Self:   self, Caller: n, Do: w.do,
		Knowledge: &Knowledge{
			Clock: c, Self: self, Tick: cfg.Times.PeerTick, Journal: w.journal,
			Membership: &Membership{Self: self}, Freshness: &Freshness{Self: name}, Gossip: &Gossip{Self: self},
		},
	}
	if err := n.Register(ExchangeName, &Receiver{Exchange: w.exchange}); err != nil {
		t.Fatal(err)
	}
	return w, self
}

// TestP12StartOverTCPWhileLogIsDown has an instance without a log take the configuration from the others by the real calls.
func TestP12StartOverTCPWhileLogIsDown(t *testing.T) {
	c := clock.NewManual(100_000)
	var nodes []*wired
	var members []catalogue.Member
	for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
		w, self := startWired(t, c, name)
		nodes, members = append(nodes, w), append(members, self)
	}
	m := newMesh(t, nil)
	m.clock = c
	revision := m.change(zoneOut("z", true, "c1"))
	for i, w := range nodes {
		w.exchange.Knowledge.Membership.SeeList(listing(1, members), c.Now())
		w.network.SetMembers(members)
		if i > 0 {
			b, err := m.log.Read(t.Context(), catalogue.StreamName, 0, 10, 0)
			if err := w.journal.TakeRead(c.Now(), b, err); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.Advance(10_000)
	r := rand.New(rand.NewPCG(1, 1))
	for range 4 {
		c.Advance(clock.Second)
		var wg sync.WaitGroup
		for _, w := range nodes {
			seeded := rand.New(rand.NewPCG(r.Uint64(), 1))
			wg.Go(func() {
				if err := w.exchange.Round(t.Context(), seeded); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
	late := nodes[0]
	if got := late.journal.State().Revision; got != revision || !late.journal.Ready() {
		t.Errorf("revision %d, ready %t, want revision %d and ready", got, late.journal.Ready(), revision)
	}
	if age := c.Now() - late.exchange.Knowledge.ProvedAt(); age > clock.Second {
		t.Errorf("the configuration was proved %d ms ago", age)
	}
	if have, missing := nodes[1].exchange.Knowledge.Holders(revision); have != 3 {
		t.Errorf("%d members hold the revision, missing %v", have, missing)
	}
}

// silentCaller never answers for one member, and counts the calls to the others.
type silentCaller struct {
	silent string
	calls  chan string
}

// Call returns when the silent member's caller gives up, and at once for the others.
func (s *silentCaller) Call(ctx context.Context, member, _ string, _, reply any) error {
	select {
	case s.calls <- member:
	case <-ctx.Done():
		return ctx.Err()
	}
	if member == s.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	*reply.(*Answer) = Answer{Incarnation: 1, Ready: true}
	return nil
}

// TestP12SilentMemberHoldsUpNoOther lets several periods pass while one of two other members never answers.
func TestP12SilentMemberHoldsUpNoOther(t *testing.T) {
	const periods = 5
	c := clock.NewManual(100_000)
	w, self := startWired(t, c, "entry-a")
	caller := &silentCaller{silent: "entry-b", calls: make(chan string)}
	w.exchange.Caller = caller
	w.exchange.Knowledge.Membership.SeeList(listing(1, []catalogue.Member{self, {Name: "entry-b", Incarnation: 1}, {Name: "entry-c", Incarnation: 1}}), c.Now())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.exchange.Run(ctx) }()
	calls := map[string]int{}
	for calls["entry-c"] < periods || calls["entry-b"] == 0 {
		select {
		case called := <-caller.calls:
			calls[called]++
		default:
			if c.Waiting() > 0 {
				c.Advance(2 * clock.Second)
			}
			runtime.Gosched()
		}
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned %v", err)
	}
	if calls["entry-b"] != 1 {
		t.Errorf("the silent member was asked %d times at once", calls["entry-b"])
	}
}
