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

// tcpInstance is an instance whose exchange runs over TCP.
type tcpInstance struct {
	mu       sync.Mutex
	replica  *archive.ConfigReplica
	exchange *Exchange
	network  *Network
}

func (w *tcpInstance) runLocked(_ context.Context, f func()) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	return nil
}

func startTCPInstance(t *testing.T, c clock.Clock, name string) (*tcpInstance, catalogue.Member) {
	n, self := startNetwork(t, name, "k")
	cfg := settings.Default()
	w := &tcpInstance{replica: &archive.ConfigReplica{Clock: c, Name: name}, network: n}
	w.exchange = &Exchange{
		Common: settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: c},
		Self:   self, Client: n, RunInControl: w.runLocked,
		Cluster: &ClusterState{
			Clock: c, Self: self, Tick: cfg.Times.PeerTick, Replica: w.replica,
			Membership: &Membership{Self: self}, Freshness: &Freshness{Self: name}, Gossip: &Gossip{Self: self},
		},
	}
	if err := n.Register(ExchangeName, &Receiver{Exchange: w.exchange}); err != nil {
		t.Fatal(err)
	}
	return w, self
}

// TestP12StartOverTCPWhileLogIsDown starts an instance without a log, which takes the configuration from the others by real RPC.
func TestP12StartOverTCPWhileLogIsDown(t *testing.T) {
	c := clock.NewManual(100_000)
	var instances []*tcpInstance
	var members []catalogue.Member
	for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
		w, self := startTCPInstance(t, c, name)
		instances, members = append(instances, w), append(members, self)
	}
	m := newMesh(t, nil)
	m.clock = c
	revision := m.change(zoneOut("z", true, "c1"))
	for i, w := range instances {
		w.exchange.Cluster.Membership.ApplyList(listing(1, members), c.Now())
		w.network.SetMembers(members)
		if i > 0 {
			b, err := m.log.Read(t.Context(), catalogue.StreamName, 0, 10, 0)
			if err := w.replica.HandleRead(c.Now(), b, err); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.Advance(10_000)
	r := rand.New(rand.NewPCG(1, 1))
	for range 4 {
		c.Advance(clock.Second)
		var wg sync.WaitGroup
		for _, w := range instances {
			seeded := rand.New(rand.NewPCG(r.Uint64(), 1))
			wg.Go(func() {
				if err := w.exchange.Round(t.Context(), seeded); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
	first := instances[0]
	if got := first.replica.State().Revision; got != revision || !first.replica.Ready() {
		t.Errorf("revision %d, ready %t, want revision %d and ready", got, first.replica.Ready(), revision)
	}
	if age := c.Now() - first.exchange.Cluster.ProvedAt(); age > clock.Second {
		t.Errorf("the configuration was proved %d ms ago, want at most 1000", age)
	}
	if have, missing := instances[1].exchange.Cluster.Holders(revision); have != 3 {
		t.Errorf("%d members hold the revision, want 3, missing %v", have, missing)
	}
}

// silentClient never answers for one member, and reports each call on a channel.
type silentClient struct {
	silent string
	calls  chan string
}

// Call blocks until ctx ends for the silent member, and answers at once for the others.
func (s *silentClient) Call(ctx context.Context, member, _ string, _, reply any) error {
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

// TestP12SilentMemberDelaysNoOther runs several periods while one of two other members never answers.
func TestP12SilentMemberDelaysNoOther(t *testing.T) {
	const periods = 5
	c := clock.NewManual(100_000)
	w, self := startTCPInstance(t, c, "entry-a")
	client := &silentClient{silent: "entry-b", calls: make(chan string)}
	w.exchange.Client = client
	w.exchange.Cluster.Membership.ApplyList(listing(1, []catalogue.Member{self, {Name: "entry-b", Incarnation: 1}, {Name: "entry-c", Incarnation: 1}}), c.Now())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.exchange.Run(ctx) }()
	calls := map[string]int{}
	for calls["entry-c"] < periods || calls["entry-b"] == 0 {
		select {
		case member := <-client.calls:
			calls[member]++
		default:
			if c.PendingTimers() > 0 {
				c.Advance(2 * clock.Second)
			}
			runtime.Gosched()
		}
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("Run() = %v, want context.Canceled", err)
	}
	if calls["entry-b"] != 1 {
		t.Errorf("%d calls to the silent member were open at once, want 1", calls["entry-b"])
	}
}
