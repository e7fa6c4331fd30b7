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

// claims is the log stream of the claims.
const claims = "claims"

func TestP09ClaimAnswerLost(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	for i := range 5 {
		key := proctest.NewKey(fmt.Sprintf("lost-%d", i))
		s.Log.SetFaults(map[string]any{"LoseAnswers": 4})
		askEach(t, s, s.Daemons, proctest.Booking{Key: key, Body: "table 4"})
		s.Log.SetFaults(map[string]any{"LoseAnswers": 0})
		for _, d := range s.Daemons {
			wantRan(t, ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"}))
		}
	}
}

// heldClaim makes the first daemon claim a key without hearing of it.
func heldClaim(t *testing.T, s *proctest.System, b proctest.Booking) <-chan proctest.Reply {
	t.Helper()
	d := s.Daemons[0]
	d.Log.Cut(false, true)
	reply := background(func() proctest.Reply {
		return d.Book(context.WithoutCancel(t.Context()), b)
	})
	proctest.Eventually(t, settle, "the claim is in the log", func() bool { return s.CountRecords(claims, d.Settings.Name) > 0 })
	return reply
}

func TestP09HolderKilledBetweenClaimAndSend(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	key := proctest.NewKey("killed")
	reply := heldClaim(t, s, proctest.Booking{ID: "killed", Key: key, Body: "table 4", Deadline: 30_000})
	s.Daemons[0].Kill()
	if r := <-reply; r.Err == nil {
		t.Errorf("a killed daemon answered: %+v", r)
	}
	for _, d := range s.Daemons[1:] {
		r := ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4", Deadline: 3000})
		if r.Outcome() != request.MayHaveRun {
			t.Errorf("outcome %s, want MayHaveRun for a claim whose holder is gone: %+v", r.Outcome(), r.Error)
		}
	}
	s.Daemons[0].Log.Cut(false, false)
	s.Daemons[0].Start()
	s.Daemons[0].AwaitReady()
	ask(t.Context(), t, s, s.Daemons[0], proctest.Booking{Key: key, Body: "table 4", Deadline: 3000})
	if n := s.Upstreams[service].Runs().ByKey[key]; n != 0 {
		t.Errorf("the booking ran %d times, nobody could know that it had not run before", n)
	}
}

func TestP09HolderFrozenBetweenClaimAndSend(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	key := proctest.NewKey("frozen")
	booking := proctest.Booking{ID: "frozen", Key: key, Body: "table 4", Deadline: 30_000}
	reply := heldClaim(t, s, booking)
	holder := s.Daemons[0]
	holder.Freeze()
	holder.Log.Cut(false, false)
	pass(claimPast)
	second := ask(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4", Deadline: 3000})
	holder.Thaw()
	first := <-reply
	checkBooking(t, s, booking, first)
	t.Logf("second asker: %+v, holder after it woke: %+v", second.Error, first.Error)
	if n := s.Upstreams[service].Runs().ByKey[key]; n > 0 {
		t.Errorf("the woken holder ran a claim that was %v old", claimPast)
	}
	// The service has time to run whatever is still under way.
	pass(2 * time.Second)
	checkBooking(t, s, booking, first)
	if first.Outcome() == request.NotRun || second.Outcome() == request.NotRun {
		ask(t.Context(), t, s, s.Daemons[2], proctest.Booking{Key: key, Body: "table 4"})
	}
}

func TestP09HolderFrozenWhileItRuns(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	s.Upstreams[service].SetFaults(map[string]any{"RunMillis": 2000})
	key := proctest.NewKey("frozen-running")
	booking := proctest.Booking{ID: "frozen-running", Key: key, Body: "table 4"}
	holder := s.Daemons[0]
	reply := background(func() proctest.Reply {
		return holder.Book(context.WithoutCancel(t.Context()), booking)
	})
	proctest.Eventually(t, settle, "the booking runs", func() bool { return s.Upstreams[service].Runs().ByKey[key] > 0 })
	holder.Freeze()
	pass(claimPast)
	ask(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4", Deadline: 3000})
	holder.Thaw()
	checkBooking(t, s, booking, <-reply)
	askEach(t, s, s.Daemons, proctest.Booking{Key: key, Body: "table 4"})
}

func TestP09SameKeyAtAllInstancesAtOnce(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3})
	s.Upstreams[service].SetFaults(map[string]any{"RunMillis": 100})
	for i := range 20 {
		key := proctest.NewKey(fmt.Sprintf("race-%d", i))
		replies := make([]proctest.Reply, len(s.Daemons)*2)
		booking := func(j int) proctest.Booking {
			return proctest.Booking{ID: fmt.Sprintf("race-%d-%d", i, j), Key: key, Body: "table 4"}
		}
		var all sync.WaitGroup
		for j := range replies {
			all.Go(func() { replies[j] = s.Daemons[j%len(s.Daemons)].Book(t.Context(), booking(j)) })
		}
		all.Wait()
		ran := 0
		for j, r := range replies {
			checkBooking(t, s, booking(j), r)
			if r.Outcome() == request.Ran {
				ran++
			}
		}
		if ran == 0 {
			t.Errorf("nobody was told that key %s ran: %+v", key, replies)
		}
		if n := s.Upstreams[service].Runs().ByKey[key]; n != 1 {
			t.Errorf("key %s ran %d times, want 1", key, n)
		}
	}
}

func TestP09LogDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	key := proctest.NewKey("log-down")
	s.Log.SetFaults(map[string]any{"Down": true})
	for _, d := range s.Daemons {
		r := ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
		if r.Outcome() != request.NotRun || r.Error.Reason != request.ReasonLogUnavailable || r.Error.RetryAfter <= 0 {
			t.Errorf("outcome %s, %+v; want NotRun for LogUnavailable with RetryAfter", r.Outcome(), r.Error)
		}
	}
	s.Log.SetFaults(map[string]any{"Down": false})
	proctest.Eventually(t, settle, "the booking runs once the log is back", func() bool {
		return ask(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4"}).Outcome() == request.Ran
	})
	ask(t.Context(), t, s, s.Daemons[0], proctest.Booking{Key: key, Body: "table 4"})
}

func TestP09LogCutWhileClaiming(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name        string
		there, back bool
	}{{"there", true, false}, {"back", false, true}, {"both", true, true}}
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	for _, c := range cases {
		key := proctest.NewKey("cut-" + c.name)
		d := s.Daemons[0]
		d.Log.Cut(c.there, c.back)
		ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
		ask(t.Context(), t, s, s.Daemons[1], proctest.Booking{Key: key, Body: "table 4", Deadline: 2000})
		// What was held back on the way reaches the log now, late.
		d.Log.Cut(false, false)
		d.AwaitReady()
		askEach(t, s, s.Daemons, proctest.Booking{Key: key, Body: "table 4", Deadline: 5000})
	}
}

func TestP09LogTrimmed(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	key := proctest.NewKey("trimmed")
	wantRan(t, ask(t.Context(), t, s, s.Daemons[0], proctest.Booking{Key: key, Body: "table 4"}))
	s.Log.Trim(claims, 1<<40)
	askEach(t, s, s.Daemons, proctest.Booking{Key: key, Body: "table 4"})
	// A new process can't know the key from the log.
	d := s.AddDaemon("entry-new", proctest.Zones[2])
	awaitKnown(s, d)
	r := ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
	if r.Status == 200 {
		t.Logf("the new process knew the answer: %q", r.Body)
	}
}

func TestP09CallerGone(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	s.Upstreams[service].SetFaults(map[string]any{"RunMillis": 1000})
	key := proctest.NewKey("gone")
	ctx, leave := context.WithCancel(t.Context())
	reply := background(func() proctest.Reply { return s.Daemons[0].Book(ctx, proctest.Booking{Key: key, Body: "table 4"}) })
	proctest.Eventually(t, settle, "the booking runs", func() bool { return s.Upstreams[service].Runs().ByKey[key] > 0 })
	leave()
	<-reply
	for _, d := range []*proctest.Daemon{s.Daemons[1], s.Daemons[0]} {
		r := ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
		if r.Outcome() != request.Ran {
			t.Errorf("outcome %s at %s, want Ran: a call that was sent is seen to its end: %+v", r.Outcome(), d.Settings.Name, r.Error)
		}
	}
}

func TestP09ServiceAnswerLost(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	for i, place := range []standin.Place{standin.PlaceAfterBody, standin.PlaceAfterRun, standin.PlaceInAnswer} {
		key := proctest.NewKey(fmt.Sprintf("service-%d", i))
		s.Upstreams[service].SetFaults(map[string]any{"Break": place, "Breaks": 1})
		for _, d := range s.Daemons {
			r := ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4"})
			if place != standin.PlaceInAnswer && r.Outcome() != request.MayHaveRun {
				t.Errorf("%s at %s: outcome %s, want MayHaveRun: %+v", place, d.Settings.Name, r.Outcome(), r.Error)
			}
		}
	}
}
