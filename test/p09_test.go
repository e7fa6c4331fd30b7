//go:build process

package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/standin"
)

// claimsStream is the log stream with the claims of idempotency keys.
const claimsStream = "claims"

func TestP09ClaimResponseLost(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	for i := range 5 {
		key := proctest.NewKey(fmt.Sprintf("lost-%d", i))
		s.Log.SetFaults(map[string]any{"LoseAnswers": 4})
		bookAtEach(t, s, s.Daemons, proctest.Booking{Key: key, Body: "table 4"})
		s.Log.SetFaults(map[string]any{"LoseAnswers": 0})
		for _, d := range s.Daemons {
			requireSuccess(t, bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"}))
		}
	}
}

// claimWithoutAck makes the first daemon append a claim to the log without receiving the response, so that it does not send yet.
func claimWithoutAck(t *testing.T, s *proctest.System, b proctest.Booking) <-chan proctest.Reply {
	t.Helper()
	d := s.Daemons[0]
	d.Log.Cut(false, true)
	reply := runAsync(func() proctest.Reply {
		return d.Book(context.WithoutCancel(t.Context()), b)
	})
	proctest.Eventually(t, convergenceTimeout, "the claim is in the log", func() bool { return s.CountRecords(claimsStream, d.Settings.Name) > 0 })
	return reply
}

func TestP09HolderKilledBetweenClaimAndSend(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	key := proctest.NewKey("killed")
	reply := claimWithoutAck(t, s, proctest.Booking{ID: "killed", Key: key, Body: "table 4", Deadline: 30_000})
	s.Daemons[0].Kill()
	if r := <-reply; r.Err == nil {
		t.Errorf("got a reply from a killed daemon: %+v", r)
	}
	for _, d := range s.Daemons[1:] {
		r := bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4", Deadline: 3000})
		if r.Outcome() != request.MayHaveRun {
			t.Errorf("got outcome %s for a claim whose holder was killed, want MayHaveRun: %+v", r.Outcome(), r.Error)
		}
	}
	s.Daemons[0].Log.Cut(false, false)
	s.Daemons[0].Start()
	s.Daemons[0].AwaitReady()
	bookChecked(t.Context(), t, s, s.Daemons[0], proctest.Booking{Key: key, Body: "table 4", Deadline: 3000})
	if n := s.Upstreams[serviceReplica].Runs().ByKey[key]; n != 0 {
		t.Errorf("booking was executed %d times, want 0: no instance can rule out that the killed holder had sent it", n)
	}
}

func TestP09HolderFrozenBetweenClaimAndSend(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	key := proctest.NewKey("frozen")
	booking := proctest.Booking{ID: "frozen", Key: key, Body: "table 4", Deadline: 30_000}
	reply := claimWithoutAck(t, s, booking)
	holder := s.Daemons[0]
	holder.Freeze()
	holder.Log.Cut(false, false)
	sleep(expiredClaimAge)
	second := bookChecked(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4", Deadline: 3000})
	holder.Resume()
	first := <-reply
	checkBooking(t, s, booking, first)
	t.Logf("reply of the second instance: %+v; reply of the holder after it resumed: %+v", second.Error, first.Error)
	if n := s.Upstreams[serviceReplica].Runs().ByKey[key]; n > 0 {
		t.Errorf("the resumed holder sent a request under a claim that was %v old", expiredClaimAge)
	}
	// The service gets time to execute requests that are still in transit.
	sleep(2 * time.Second)
	checkBooking(t, s, booking, first)
	if first.Outcome() == request.NotRun || second.Outcome() == request.NotRun {
		bookChecked(t.Context(), t, s, s.Daemons[2], proctest.Booking{Key: key, Body: "table 4"})
	}
}

func TestP09HolderFrozenDuringExecution(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	s.Upstreams[serviceReplica].SetFaults(map[string]any{"RunMillis": 2000})
	key := proctest.NewKey("frozen-running")
	booking := proctest.Booking{ID: "frozen-running", Key: key, Body: "table 4"}
	holder := s.Daemons[0]
	reply := runAsync(func() proctest.Reply {
		return holder.Book(context.WithoutCancel(t.Context()), booking)
	})
	proctest.Eventually(t, convergenceTimeout, "the service executes the booking", func() bool { return s.Upstreams[serviceReplica].Runs().ByKey[key] > 0 })
	holder.Freeze()
	sleep(expiredClaimAge)
	bookChecked(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4", Deadline: 3000})
	holder.Resume()
	checkBooking(t, s, booking, <-reply)
	bookAtEach(t, s, s.Daemons, proctest.Booking{Key: key, Body: "table 4"})
}

func TestP09SameKeyAtAllInstancesConcurrently(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	s.Upstreams[serviceReplica].SetFaults(map[string]any{"RunMillis": 100})
	for i := range 20 {
		key := proctest.NewKey(fmt.Sprintf("race-%d", i))
		replies := make([]proctest.Reply, len(s.Daemons)*2)
		booking := func(j int) proctest.Booking {
			return proctest.Booking{ID: fmt.Sprintf("race-%d-%d", i, j), Key: key, Body: "table 4"}
		}
		var wg sync.WaitGroup
		for j := range replies {
			wg.Go(func() { replies[j] = s.Daemons[j%len(s.Daemons)].Book(t.Context(), booking(j)) })
		}
		wg.Wait()
		ran := 0
		for j, r := range replies {
			checkBooking(t, s, booking(j), r)
			if r.Outcome() == request.Ran {
				ran++
			}
		}
		if ran == 0 {
			t.Errorf("no reply states that key %s ran: %+v", key, replies)
		}
		if n := s.Upstreams[serviceReplica].Runs().ByKey[key]; n != 1 {
			t.Errorf("key %s was executed %d times, want 1", key, n)
		}
	}
}

func TestP09LogDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	key := proctest.NewKey("log-down")
	s.Log.SetFaults(map[string]any{"Down": true})
	for _, d := range s.Daemons {
		r := bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
		if r.Outcome() != request.NotRun || r.Error.Reason != request.ReasonLogUnavailable || r.Error.RetryAfter <= 0 {
			t.Errorf("got outcome %s, %+v; want NotRun with reason LogUnavailable and RetryAfter", r.Outcome(), r.Error)
		}
	}
	s.Log.SetFaults(map[string]any{"Down": false})
	proctest.Eventually(t, convergenceTimeout, "the booking is executed once the log is available again", func() bool {
		return bookChecked(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4"}).Outcome() == request.Ran
	})
	bookChecked(t.Context(), t, s, s.Daemons[0], proctest.Booking{Key: key, Body: "table 4"})
}

func TestP09LogCutWhileClaiming(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name           string
		toLog, fromLog bool
	}{{"toLog", true, false}, {"fromLog", false, true}, {"both", true, true}}
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	for _, c := range cases {
		key := proctest.NewKey("cut-" + c.name)
		d := s.Daemons[0]
		d.Log.Cut(c.toLog, c.fromLog)
		bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
		bookChecked(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4", Deadline: 2000})
		// Bytes that the cut held back reach the log now, after their requests have been answered.
		d.Log.Cut(false, false)
		d.AwaitReady()
		bookAtEach(t, s, s.Daemons, proctest.Booking{Key: key, Body: "table 4", Deadline: 5000})
	}
}

func TestP09LogTrimmed(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	key := proctest.NewKey("trimmed")
	requireSuccess(t, bookChecked(t.Context(), t, s, s.Daemons[0], proctest.Booking{Key: key, Body: "table 4"}))
	s.Log.Trim(claimsStream, 1<<40)
	bookAtEach(t, s, s.Daemons, proctest.Booking{Key: key, Body: "table 4"})
	// A new process cannot learn of the key from the trimmed log.
	d := s.AddDaemon("entry-new", proctest.Zones[2])
	awaitReadyWithUpstreams(s, d)
	r := bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
	if r.Status == 200 {
		t.Logf("the new process replayed the answer: %q", r.Body)
	}
}

func TestP09CallerDisconnects(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	s.Upstreams[serviceReplica].SetFaults(map[string]any{"RunMillis": 1000})
	key := proctest.NewKey("gone")
	ctx, disconnect := context.WithCancel(t.Context())
	reply := runAsync(func() proctest.Reply { return s.Daemons[0].Book(ctx, proctest.Booking{Key: key, Body: "table 4"}) })
	proctest.Eventually(t, convergenceTimeout, "the service executes the booking", func() bool { return s.Upstreams[serviceReplica].Runs().ByKey[key] > 0 })
	disconnect()
	<-reply
	for _, d := range []*proctest.Daemon{s.Daemons[1], s.Daemons[0]} {
		r := bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
		if r.Outcome() != request.Ran {
			t.Errorf("got outcome %s at %s, want Ran: a request that was sent completes without its caller: %+v", r.Outcome(), d.Settings.Name, r.Error)
		}
	}
}

func TestP09ServiceResponseLost(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	for i, point := range []standin.BreakPoint{standin.BreakAfterBody, standin.BreakAfterRun, standin.BreakInAnswer} {
		key := proctest.NewKey(fmt.Sprintf("service-%d", i))
		s.Upstreams[serviceReplica].SetFaults(map[string]any{"Break": point, "Breaks": 1})
		for _, d := range s.Daemons {
			r := bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
			if point != standin.BreakInAnswer && r.Outcome() != request.MayHaveRun {
				t.Errorf("connection broken %s, at %s: got outcome %s, want MayHaveRun: %+v", point, d.Settings.Name, r.Outcome(), r.Error)
			}
		}
	}
}
