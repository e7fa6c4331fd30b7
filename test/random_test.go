//go:build process

package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/standin"
)

const (
	// faultSeed determines the sequence of faults; their timing relative to the requests differs between runs.
	faultSeed = 20260112
	// faultDuration is how long faults are injected.
	faultDuration = 35 * time.Second
	// bookingWorkers is the number of workers that send bookings concurrently.
	bookingWorkers = 8
)

// callHistory records all bookings and their replies; it is safe for concurrent use.
type callHistory struct {
	mu    sync.Mutex
	keys  []string
	calls []call
}

type call struct {
	booking proctest.Booking
	reply   proctest.Reply
	daemon  string
}

func (h *callHistory) add(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// key returns a new idempotency key or, half of the time, one of the 20 latest.
func (h *callHistory) key(r *rand.Rand, text string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.keys); n > 0 && r.IntN(2) == 0 {
		return h.keys[n-1-r.IntN(min(n, 20))]
	}
	key := proctest.NewKey(text)
	h.keys = append(h.keys, key)
	return key
}

// book sends bookings to random daemons until ctx ends.
func (h *callHistory) book(ctx context.Context, s *proctest.System, worker uint64) {
	r := rand.New(rand.NewPCG(faultSeed, worker))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("b%d-%d", worker, i)
		b := proctest.Booking{ID: id, Key: h.key(r, id), Body: "table 4", Deadline: 4000}
		d := s.Daemons[r.IntN(len(s.Daemons))]
		// The caller waits for the reply even after ctx ends, because the outcome of a request in flight is checked too.
		h.add(call{b, d.Book(context.WithoutCancel(ctx), b), d.Settings.Name})
	}
}

// fault is a fault of the system or of one daemon, with the functions that begin and end it.
type fault struct {
	name  string
	begin func(s *proctest.System, d *proctest.Daemon)
	end   func(s *proctest.System, d *proctest.Daemon)
}

// logFault returns a fault of the log that begins by setting set and ends by setting reset.
func logFault(name string, set, reset map[string]any) fault {
	return fault{
		name:  name,
		begin: func(s *proctest.System, _ *proctest.Daemon) { s.Log.SetFaults(set) },
		end:   func(s *proctest.System, _ *proctest.Daemon) { s.Log.SetFaults(reset) },
	}
}

// breakAt returns a fault that makes the service break connections at the given point of a request.
func breakAt(point standin.BreakPoint) fault {
	return fault{
		name: "service breaks connections: " + string(point),
		begin: func(s *proctest.System, _ *proctest.Daemon) {
			s.Upstreams[serviceReplica].SetFaults(map[string]any{"Break": point, "Breaks": 20})
		},
		end: func(s *proctest.System, _ *proctest.Daemon) {
			s.Upstreams[serviceReplica].SetFaults(map[string]any{"Breaks": 0})
		},
	}
}

func allFaults() []fault {
	return []fault{
		{"freeze", func(_ *proctest.System, d *proctest.Daemon) { d.Freeze() }, func(_ *proctest.System, d *proctest.Daemon) { d.Resume() }},
		{"kill", func(_ *proctest.System, d *proctest.Daemon) { d.Kill() }, func(_ *proctest.System, d *proctest.Daemon) { d.Start() }},
		{"isolate", func(_ *proctest.System, d *proctest.Daemon) { d.Isolate(true) }, func(_ *proctest.System, d *proctest.Daemon) { d.Isolate(false) }},
		{"cut to the log", func(_ *proctest.System, d *proctest.Daemon) { d.Log.Cut(true, false) }, func(_ *proctest.System, d *proctest.Daemon) { d.Log.Cut(false, false) }},
		{"cut from the log", func(_ *proctest.System, d *proctest.Daemon) { d.Log.Cut(false, true) }, func(_ *proctest.System, d *proctest.Daemon) { d.Log.Cut(false, false) }},
		logFault("log down", map[string]any{"Down": true}, map[string]any{"Down": false}),
		logFault("log slow", map[string]any{"DelayMillis": 400}, map[string]any{"DelayMillis": 0}),
		logFault("log loses responses", map[string]any{"LoseAnswers": 30}, map[string]any{"LoseAnswers": 0}),
		breakAt(standin.BreakBeforeRead),
		breakAt(standin.BreakAfterBody),
		breakAt(standin.BreakAfterRun),
		breakAt(standin.BreakInAnswer),
	}
}

// injectRandomFaults injects one or two faults at a time until ctx ends, and ends all of them.
func injectRandomFaults(ctx context.Context, t *testing.T, s *proctest.System) {
	r := rand.New(rand.NewPCG(faultSeed, 0))
	all := allFaults()
	for ctx.Err() == nil {
		// Concurrent faults affect different daemons, because a daemon cannot be frozen and killed at the same time.
		first := r.IntN(len(s.Daemons))
		second := (first + 1 + r.IntN(len(s.Daemons)-1)) % len(s.Daemons)
		var ends []func()
		for _, i := range []int{first, second}[:1+r.IntN(2)] {
			f, d := all[r.IntN(len(all))], s.Daemons[i]
			t.Logf("%s: %s", f.name, d.Settings.Name)
			f.begin(s, d)
			ends = append(ends, func() { f.end(s, d) })
		}
		sleep(time.Duration(500+r.IntN(4500)) * time.Millisecond)
		for _, endFault := range ends {
			endFault()
		}
		sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}

func TestP09RandomFaults(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 4})
	s.Upstreams[serviceReplica].SetFaults(map[string]any{"RunMillis": 20})
	watchRevisions(t, s)
	ctx, stop := context.WithTimeout(t.Context(), faultDuration)
	defer stop()
	h := &callHistory{}
	var wg sync.WaitGroup
	for i := range bookingWorkers {
		wg.Go(func() { h.book(ctx, s, uint64(i+1)) })
	}
	injectRandomFaults(ctx, t, s)
	wg.Wait()
	for _, d := range s.Daemons {
		d.AwaitReady()
	}
	h.checkOutcomes(t, s)
}

// checkOutcomes checks all replies against what the service has executed, and the bills against the replies.
func (h *callHistory) checkOutcomes(t *testing.T, s *proctest.System) {
	t.Helper()
	runs := s.Upstreams[serviceReplica].Runs()
	outcomes := map[request.Outcome]int{}
	for _, c := range h.calls {
		outcomes[c.reply.Outcome()]++
		if c.reply.Outcome() == request.NotRun && runs.ByID[c.booking.ID] > 0 {
			t.Errorf("request %s was executed, but the reply of %s states NotRun: %+v", c.booking.ID, c.daemon, c.reply.Error)
		}
		if c.reply.Outcome() == request.Ran && runs.ByKey[c.booking.Key] == 0 {
			t.Errorf("key %s was not executed, but the reply of %s states Ran: %+v", c.booking.Key, c.daemon, c.reply.Error)
		}
	}
	for key, n := range runs.ByKey {
		if n > 1 && key != "" {
			t.Errorf("key %s was executed %d times, want at most once", key, n)
		}
	}
	t.Logf("%d requests with %d keys, %d executions, outcomes %v", len(h.calls), len(h.keys), len(runs.Runs), outcomes)
	if outcomes[request.Ran] == 0 || outcomes[request.NotRun] == 0 {
		t.Errorf("got outcomes %v, want both Ran and NotRun; without NotRun the faults had no effect", outcomes)
	}
	h.checkBills(t, s)
}

// checkBills waits for a bill of each request whose own execution was answered, and checks that repeated bills agree
// and that a request refused as NotRun costs nothing.
func (h *callHistory) checkBills(t *testing.T, s *proctest.System) {
	t.Helper()
	var answered []string
	refused := map[string]bool{}
	for _, c := range h.calls {
		switch {
		case c.reply.Status == 200 && c.reply.Err == nil && c.reply.Header.Get("Carawayknot-Replayed") == "":
			answered = append(answered, c.booking.ID)
		case c.reply.Outcome() == request.NotRun:
			refused[c.booking.ID] = true
		}
	}
	missing := answered
	for begin := time.Now(); len(missing) > 0 && time.Since(begin) < billTimeout; sleep(time.Second) {
		billed := bills(t, s)
		var unbilled []string
		for _, id := range missing {
			if len(billed[id]) == 0 {
				unbilled = append(unbilled, id)
			}
		}
		missing = unbilled
	}
	if len(missing) > 0 {
		t.Errorf("%d of %d answered requests have no bill: %v", len(missing), len(answered), missing)
	}
	for id, all := range bills(t, s) {
		if refused[id] && all[0].Cost > 0 {
			t.Errorf("request %s was refused as NotRun but has the bill %+v", id, all[0])
		}
		for _, b := range all[1:] {
			if b.Cost != all[0].Cost || b.Outcome != all[0].Outcome {
				t.Errorf("request %s has two different bills: %+v and %+v", id, all[0], b)
			}
		}
	}
}
