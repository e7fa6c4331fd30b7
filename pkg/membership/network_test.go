package membership

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// Echo is a receiver that replies with its argument.
type Echo struct{}

// Say copies its argument to the reply, or fails for "fail".
func (Echo) Say(in string, out *string) error {
	if in == "fail" {
		return errors.New("failure requested by the test")
	}
	*out = in
	return nil
}

func startNetwork(t testing.TB, name, key string) (*Network, catalogue.Member) {
	n, self, _ := startNetworkAt(t, name, key, "127.0.0.1:0")
	return n, self
}

// startNetworkAt also returns a function that stops the network before the test ends.
func startNetworkAt(t testing.TB, name, key, address string) (*Network, catalogue.Member, func()) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	cfg := settings.Default()
	self := catalogue.Member{Name: name, PeerAddress: l.Addr().String(), Zone: "a", Incarnation: 1}
	n := &Network{Common: settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewReal()}, Key: []byte(key), Self: self}
	if err := n.Register("Echo", Echo{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx, l) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return n, self, stop
}

func TestNetworkCall(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	tests := []struct {
		name string
		key  string
		say  string
		// ok is true for a call that succeeds, sent for a failed one that may have taken effect.
		ok, sent bool
	}{
		{name: "answered", key: "k", say: "hello", ok: true},
		{name: "refused by the receiver", key: "k", say: "fail", sent: true},
		{name: "different key", key: "other", say: "hello"},
		{name: "message above the size limit", key: "k", say: strings.Repeat("x", maxMessageBytes+1), sent: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, _ := startNetwork(t, "a", "k")
			_, b := startNetwork(t, "b", tt.key)
			a.SetMembers([]catalogue.Member{b})
			var out string
			err := a.Call(t.Context(), "b", "Echo.Say", tt.say, &out)
			var failed *CallError
			if got := err == nil; got != tt.ok {
				t.Fatalf("call returned %v, want success %t", err, tt.ok)
			}
			if errors.As(err, &failed) && failed.Sent != tt.sent {
				t.Errorf("sent is %t, want %t", failed.Sent, tt.sent)
			}
			if tt.ok && out != tt.say {
				t.Errorf("reply %q, want %q", out, tt.say)
			}
			if sent, received := a.Traffic(); tt.ok && (sent == 0 || received == 0) {
				t.Errorf("traffic is %d bytes sent and %d received, want more than 0", sent, received)
			}
		})
	}
}

// TestNetworkReconnects restarts a member at the same address: the first call that finds the connection closed dials again.
func TestNetworkReconnects(t *testing.T) {
	a, _ := startNetwork(t, "a", "k")
	c := clock.NewManual(1000)
	a.Common.Clock = c
	_, b, stop := startNetworkAt(t, "b", "k", "127.0.0.1:0")
	a.SetMembers([]catalogue.Member{b})
	var out string
	if err := a.Call(t.Context(), "b", "Echo.Say", "one", &out); err != nil {
		t.Fatal(err)
	}
	l := a.links["b"]
	stop()
	<-l.done
	var failed *CallError
	if err := a.Call(t.Context(), "b", "Echo.Say", "two", &out); !errors.As(err, &failed) || failed.Sent {
		t.Errorf("call to a member that is down: %v, want a *CallError with Sent false", err)
	}
	startNetworkAt(t, "b", "k", b.PeerAddress)
	c.Advance(redialDelay)
	if err := a.Call(t.Context(), "b", "Echo.Say", "three", &out); err != nil || out != "three" {
		t.Errorf("call to the restarted member: %q, %v, want three", out, err)
	}
}

// TestP12CallsEndWhileAMemberIsCutOff has a member whose connections are accepted and never answered, as in a network partition.
func TestP12CallsEndWhileAMemberIsCutOff(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	n, _ := startNetwork(t, "entry-a", "key")
	n.SetMembers([]catalogue.Member{{Name: "entry-b", PeerAddress: silent.Addr().String()}})
	ctx, cancel := context.WithCancel(t.Context())
	const calls = 8
	ended := make(chan error, calls)
	for range calls {
		go func() { ended <- n.Call(ctx, "entry-b", "Echo.Say", "hello", new(string)) }()
	}
	cancel()
	for range calls {
		var failed *CallError
		if err := <-ended; !errors.As(err, &failed) || failed.Sent {
			t.Errorf("Call() = %v, want a *CallError with Sent false", err)
		}
	}
	// All calls share one connection attempt, whose handshake has its own time limit.
	if err := n.Call(t.Context(), "entry-b", "Echo.Say", "hello", new(string)); err == nil {
		t.Error("Call() of a member that never answers succeeded, want an error")
	}
}
