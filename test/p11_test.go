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

// slowEngines returns engines whose answers take tokens times perToken milliseconds.
func slowEngines(tokens int, perToken int) []proctest.Upstream {
	engines := proctest.DefaultEngines()
	for i := range engines {
		f := engines[i].Faults.(standin.EngineFaults)
		f.Tokens, f.TokenMillis = tokens, clock.Millis(perToken)
		engines[i].Faults = f
	}
	return engines
}

// bills returns the bills of the log by request id.
func bills(t *testing.T, s *proctest.System) map[string][]*ledger.Bill {
	t.Helper()
	out := map[string][]*ledger.Bill{}
	for _, e := range s.Records(ledger.BillingStream) {
		b, err := ledger.DecodeBill(e.Data)
		if err != nil {
			t.Errorf("offset %d of the billing stream: %v", e.Offset, err)
			continue
		}
		out[b.RequestID] = append(out[b.RequestID], b)
	}
	return out
}

// billTime bounds the time until a bill is in the log; a peer appends the bills of an instance that was silent for 6 s.
const billTime = 16 * time.Second

// awaitBill waits until the log has a bill of the request.
func awaitBill(t *testing.T, s *proctest.System, id string) {
	t.Helper()
	proctest.Eventually(t, billTime, "the log has a bill of request "+id, func() bool { return len(bills(t, s)[id]) > 0 })
}

func TestP11ShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	const tokens = 150
	s := proctest.NewSystem(t, proctest.Options{Instances: 2, Engines: slowEngines(tokens, 20)})
	s.Upstreams[service].SetFaults(map[string]any{"RunMillis": 2000})
	d := s.Daemons[0]
	key := proctest.NewKey("shutdown")
	b1 := proctest.Booking{ID: "b1", Key: key, Body: "table 4"}
	booking := background(func() proctest.Reply {
		return d.Book(t.Context(), b1)
	})
	var chats []<-chan proctest.Reply
	for i := range 6 {
		chats = append(chats, background(func() proctest.Reply {
			return d.Chat(t.Context(), proctest.Chat{ID: fmt.Sprintf("c%d", i), Content: fmt.Sprintf("chat %d", i), Stream: i%2 == 0})
		}))
	}
	proctest.Eventually(t, settle, "all requests are in flight", func() bool {
		return s.Upstreams[service].Runs().Active+inFlight(s) == 7
	})
	d.Terminate()
	proctest.Eventually(t, settle, "the instance is not ready any more", func() bool { return !d.Ready() })
	late := d.Chat(t.Context(), proctest.Chat{Content: "late"})
	if late.Err == nil && late.Status != 200 && late.Outcome() != request.NotRun {
		t.Errorf("a request during shutdown: status %d, outcome %q", late.Status, late.Outcome())
	}
	r := <-booking
	wantRan(t, r)
	checkBooking(t, s, b1, r)
	for i, c := range chats {
		wantChat(t, <-c, fmt.Sprintf("chat %d", i), tokens)
	}
	if err := d.AwaitExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
	for _, id := range []string{"b1", "c0", "c1", "c2", "c3", "c4", "c5"} {
		awaitBill(t, s, id)
	}
	// The other instance knows what became of the booking.
	again := ask(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4"})
	if again.Outcome() != request.Ran {
		t.Errorf("outcome %s, want Ran: %+v", again.Outcome(), again.Error)
	}
}

func TestP11ShutdownWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3, Engines: slowEngines(50, 20)})
	d := s.Daemons[0]
	chat := background(func() proctest.Reply { return d.Chat(t.Context(), proctest.Chat{ID: "c1", Content: "hello"}) })
	proctest.Eventually(t, settle, "the chat is in flight", func() bool { return inFlight(s) == 1 })
	s.Log.SetFaults(map[string]any{"Down": true})
	d.Terminate()
	wantChat(t, <-chat, "hello", 50)
	if err := d.AwaitExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
	pass(time.Second)
	s.Log.SetFaults(map[string]any{"Down": false})
	awaitBill(t, s, "c1")
}

func TestKillOneStillServes(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	for round, dead := range []int{0, 1} {
		leave(s, s.Daemons[dead])
		for i := range 10 {
			for _, d := range s.Daemons[dead+1:] {
				content := fmt.Sprintf("hello %d %d", round, i)
				wantChat(t, d.Chat(t.Context(), proctest.Chat{Content: content, Stream: i%2 == 0}), content, 8)
				key := proctest.NewKey(fmt.Sprintf("%s-%d-%d", d.Settings.Name, round, i))
				wantRan(t, ask(t.Context(), t, s, d, proctest.Booking{Key: key}))
			}
		}
		// Longer than any view stays fresh, so that what still serves has a new proof.
		pass(horizon + time.Second)
		for _, d := range s.Daemons[dead+1:] {
			wantChat(t, d.Chat(t.Context(), proctest.Chat{Content: "after"}), "after", 8)
			// Of three members, one is no majority until the others have been gone for long.
			got := d.MustApply(t, price(catalogue.Micros(round+1)))
			if round == 0 && got.State != catalogue.ChangeAccepted {
				t.Errorf("receipt %+v, want Accepted", got)
			}
			if cost := inForce(d); cost != catalogue.Micros(round+1) {
				t.Errorf("price %d in force at %s, want %d", cost, d.Settings.Name, round+1)
			}
		}
	}
}
