//go:build process

package test

import (
	"fmt"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/standin"
)

// slowEngines returns engines with answers of the given number of tokens and perToken milliseconds between tokens.
func slowEngines(tokens int, perToken int) []proctest.Upstream {
	engines := proctest.DefaultEngines()
	for i := range engines {
		f := engines[i].Faults.(standin.EngineFaults)
		f.Tokens, f.TokenMillis = tokens, clock.Millis(perToken)
		engines[i].Faults = f
	}
	return engines
}

// bills returns all bills in the billing stream by request id.
func bills(t *testing.T, s *proctest.System) map[string][]*ledger.Bill {
	t.Helper()
	out := map[string][]*ledger.Bill{}
	for _, e := range s.Records(ledger.BillingStream) {
		b, err := ledger.DecodeBill(e.Data)
		if err != nil {
			t.Errorf("decode bill at offset %d of the billing stream: %v", e.Offset, err)
			continue
		}
		out[b.RequestID] = append(out[b.RequestID], b)
	}
	return out
}

// billTimeout limits how long a bill may take to reach the log; peers append the bills of an instance after 6 s without contact.
const billTimeout = 16 * time.Second

// awaitBill waits until the log has a bill of the request.
func awaitBill(t *testing.T, s *proctest.System, id string) {
	t.Helper()
	proctest.Eventually(t, billTimeout, "the log has a bill of request "+id, func() bool { return len(bills(t, s)[id]) > 0 })
}

func TestP11ShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	const tokens = 150
	s := proctest.NewSystem(t, proctest.Options{Instances: 2, Engines: slowEngines(tokens, 20)})
	s.Upstreams[serviceReplica].SetFaults(map[string]any{"RunMillis": 2000})
	d := s.Daemons[0]
	key := proctest.NewKey("shutdown")
	b1 := proctest.Booking{ID: "b1", Key: key, Body: "table 4"}
	booking := runAsync(func() proctest.Reply {
		return d.Book(t.Context(), b1)
	})
	var chats []<-chan proctest.Reply
	for i := range 6 {
		chats = append(chats, runAsync(func() proctest.Reply {
			return d.Chat(t.Context(), proctest.Chat{ID: fmt.Sprintf("c%d", i), Content: fmt.Sprintf("chat %d", i), Stream: i%2 == 0})
		}))
	}
	proctest.Eventually(t, convergenceTimeout, "all requests are in flight", func() bool {
		return s.Upstreams[serviceReplica].Runs().Active+inFlightChats(s) == 7
	})
	d.Terminate()
	proctest.Eventually(t, convergenceTimeout, "the instance reports not ready", func() bool { return !d.Ready() })
	late := d.Chat(t.Context(), proctest.Chat{Content: "late"})
	if late.Err == nil && late.Status != 200 && late.Outcome() != request.NotRun {
		t.Errorf("request during shutdown: got status %d, outcome %q, want an answer, NotRun or a failed connection", late.Status, late.Outcome())
	}
	r := <-booking
	requireSuccess(t, r)
	checkBooking(t, s, b1, r)
	for i, c := range chats {
		requireChat(t, <-c, fmt.Sprintf("chat %d", i), tokens)
	}
	if err := d.AwaitExit(); err != nil {
		t.Errorf("got exit error %v, want none", err)
	}
	for _, id := range []string{"b1", "c0", "c1", "c2", "c3", "c4", "c5"} {
		awaitBill(t, s, id)
	}
	// The other instance must know the outcome of the booking.
	again := bookChecked(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4"})
	if again.Outcome() != request.Ran {
		t.Errorf("got outcome %s, want Ran: %+v", again.Outcome(), again.Error)
	}
}

func TestP11ShutdownWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3, Engines: slowEngines(50, 20)})
	d := s.Daemons[0]
	chat := runAsync(func() proctest.Reply { return d.Chat(t.Context(), proctest.Chat{ID: "c1", Content: "hello"}) })
	proctest.Eventually(t, convergenceTimeout, "the chat is in flight", func() bool { return inFlightChats(s) == 1 })
	s.Log.SetFaults(map[string]any{"Down": true})
	d.Terminate()
	requireChat(t, <-chat, "hello", 50)
	if err := d.AwaitExit(); err != nil {
		t.Errorf("got exit error %v, want none", err)
	}
	sleep(time.Second)
	s.Log.SetFaults(map[string]any{"Down": false})
	awaitBill(t, s, "c1")
}

func TestServesAfterInstancesAreKilled(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	for round, dead := range []int{0, 1} {
		killAndRemove(s, s.Daemons[dead])
		for i := range 10 {
			for _, d := range s.Daemons[dead+1:] {
				content := fmt.Sprintf("hello %d %d", round, i)
				requireChat(t, d.Chat(t.Context(), proctest.Chat{Content: content, Stream: i%2 == 0}), content, 8)
				key := proctest.NewKey(fmt.Sprintf("%s-%d-%d", d.Settings.Name, round, i))
				requireSuccess(t, bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key}))
			}
		}
		// After this, every view from before the kill is stale, so an instance that still serves has confirmed its view anew.
		sleep(staleViewAge + time.Second)
		for _, d := range s.Daemons[dead+1:] {
			requireChat(t, d.Chat(t.Context(), proctest.Chat{Content: "after"}), "after", 8)
			// Two of three members are a majority; one alone is not until the others have been gone for long.
			got := d.MustApply(t, priceChange(catalogue.Micros(round+1)))
			if round == 0 && got.State != catalogue.ChangeAccepted {
				t.Errorf("got receipt %+v, want Accepted", got)
			}
			if cost := activePrice(d); cost != catalogue.Micros(round+1) {
				t.Errorf("got active price %d at %s, want %d", cost, d.Settings.Name, round+1)
			}
		}
	}
}
