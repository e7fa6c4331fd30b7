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
	// faultSeed fixes the order of the faults; their timing against the requests differs from run to run.
	faultSeed = 20260112
	// faultTime is how long faults come.
	faultTime = 35 * time.Second
	// bookers send bookings at the same time.
	bookers = 8
)

// journal collects what callers asked and were told.
type journal struct {
	mu   sync.Mutex
	keys []string
	asks []asked
}

type asked struct {
	booking proctest.Booking
	reply   proctest.Reply
	daemon  string
}

func (j *journal) add(a asked) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.asks = append(j.asks, a)
}

// key returns a new key, or one that was used before.
func (j *journal) key(r *rand.Rand, text string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := len(j.keys); n > 0 && r.IntN(2) == 0 {
		return j.keys[n-1-r.IntN(min(n, 20))]
	}
	key := proctest.NewKey(text)
	j.keys = append(j.keys, key)
	return key
}

// book sends bookings to daemons picked by chance until ctx ends.
func (j *journal) book(ctx context.Context, s *proctest.System, booker uint64) {
	r := rand.New(rand.NewPCG(faultSeed, booker))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("b%d-%d", booker, i)
		b := proctest.Booking{ID: id, Key: j.key(r, id), Body: "table 4", Deadline: 4000}
		d := s.Daemons[r.IntN(len(s.Daemons))]
		// The caller waits to the end, since a request that is under way must still be told the truth.
		j.add(asked{b, d.Book(context.WithoutCancel(ctx), b), d.Settings.Name})
	}
}

// fault is one fault of a set and the time it lasts.
type fault struct {
	name  string
	begin func(s *proctest.System, d *proctest.Daemon)
	end   func(s *proctest.System, d *proctest.Daemon)
}

// logFault returns a fault of the log.
func logFault(name string, set, clear map[string]any) fault {
	return fault{
		name:  name,
		begin: func(s *proctest.System, _ *proctest.Daemon) { s.Log.SetFaults(set) },
		end:   func(s *proctest.System, _ *proctest.Daemon) { s.Log.SetFaults(clear) },
	}
}

// breakAt returns a fault that breaks the connections of the service at a place.
func breakAt(place standin.Place) fault {
	return fault{
		name: "service breaks " + string(place),
		begin: func(s *proctest.System, _ *proctest.Daemon) {
			s.Upstreams[service].SetFaults(map[string]any{"Break": place, "Breaks": 20})
		},
		end: func(s *proctest.System, _ *proctest.Daemon) {
			s.Upstreams[service].SetFaults(map[string]any{"Breaks": 0})
		},
	}
}

func faults() []fault {
	return []fault{
		{"freeze", func(_ *proctest.System, d *proctest.Daemon) { d.Freeze() }, func(_ *proctest.System, d *proctest.Daemon) { d.Thaw() }},
		{"kill", func(_ *proctest.System, d *proctest.Daemon) { d.Kill() }, func(_ *proctest.System, d *proctest.Daemon) { d.Start() }},
		{"cut off", func(_ *proctest.System, d *proctest.Daemon) { d.Isolate(true) }, func(_ *proctest.System, d *proctest.Daemon) { d.Isolate(false) }},
		{"no way to the log", func(_ *proctest.System, d *proctest.Daemon) { d.Log.Cut(true, false) }, func(_ *proctest.System, d *proctest.Daemon) { d.Log.Cut(false, false) }},
		{"no way back from the log", func(_ *proctest.System, d *proctest.Daemon) { d.Log.Cut(false, true) }, func(_ *proctest.System, d *proctest.Daemon) { d.Log.Cut(false, false) }},
		logFault("log down", map[string]any{"Down": true}, map[string]any{"Down": false}),
		logFault("log slow", map[string]any{"DelayMillis": 400}, map[string]any{"DelayMillis": 0}),
		logFault("log loses answers", map[string]any{"LoseAnswers": 30}, map[string]any{"LoseAnswers": 0}),
		breakAt(standin.PlaceBeforeRead),
		breakAt(standin.PlaceAfterBody),
		breakAt(standin.PlaceAfterRun),
		breakAt(standin.PlaceInAnswer),
	}
}

// trouble lets faults come until ctx ends, two at a time now and then, and mends them all.
func trouble(ctx context.Context, t *testing.T, s *proctest.System) {
	r := rand.New(rand.NewPCG(faultSeed, 0))
	all := faults()
	for ctx.Err() == nil {
		// Two faults never have one daemon, which can't be frozen and killed at once.
		first := r.IntN(len(s.Daemons))
		second := (first + 1 + r.IntN(len(s.Daemons)-1)) % len(s.Daemons)
		var end []func()
		for _, i := range []int{first, second}[:1+r.IntN(2)] {
			f, d := all[r.IntN(len(all))], s.Daemons[i]
			t.Logf("%s: %s", f.name, d.Settings.Name)
			f.begin(s, d)
			end = append(end, func() { f.end(s, d) })
		}
		pass(time.Duration(500+r.IntN(4500)) * time.Millisecond)
		for _, mend := range end {
			mend()
		}
		pass(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}

func TestP09RandomFaults(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 4})
	s.Upstreams[service].SetFaults(map[string]any{"RunMillis": 20})
	watchRevisions(t, s)
	ctx, stop := context.WithTimeout(t.Context(), faultTime)
	defer stop()
	j := &journal{}
	var all sync.WaitGroup
	for i := range bookers {
		all.Go(func() { j.book(ctx, s, uint64(i+1)) })
	}
	trouble(ctx, t, s)
	all.Wait()
	for _, d := range s.Daemons {
		d.AwaitReady()
	}
	j.check(t, s)
}

// check holds all replies against what the service has run, and the bills against both.
func (j *journal) check(t *testing.T, s *proctest.System) {
	t.Helper()
	runs := s.Upstreams[service].Runs()
	told := map[request.Outcome]int{}
	for _, a := range j.asks {
		told[a.reply.Outcome()]++
		if a.reply.Outcome() == request.NotRun && runs.ByID[a.booking.ID] > 0 {
			t.Errorf("request %s ran, and %s told its caller NotRun: %+v", a.booking.ID, a.daemon, a.reply.Error)
		}
		if a.reply.Outcome() == request.Ran && runs.ByKey[a.booking.Key] == 0 {
			t.Errorf("key %s did not run, and %s told a caller Ran: %+v", a.booking.Key, a.daemon, a.reply.Error)
		}
	}
	for key, n := range runs.ByKey {
		if n > 1 && key != "" {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	t.Logf("%d requests under %d keys, %d runs, told %v", len(j.asks), len(j.keys), len(runs.Runs), told)
	if told[request.Ran] == 0 || told[request.NotRun] == 0 {
		t.Errorf("told %v, want some of each kind, or the faults do not bite", told)
	}
	j.checkBills(t, s)
}

// checkBills waits for a bill of each request that was answered by its own run, and looks for doubles.
func (j *journal) checkBills(t *testing.T, s *proctest.System) {
	t.Helper()
	var answered []string
	refused := map[string]bool{}
	for _, a := range j.asks {
		switch {
		case a.reply.Status == 200 && a.reply.Err == nil && a.reply.Header.Get("Carawayknot-Replayed") == "":
			answered = append(answered, a.booking.ID)
		case a.reply.Outcome() == request.NotRun:
			refused[a.booking.ID] = true
		}
	}
	missing := answered
	for begin := time.Now(); len(missing) > 0 && time.Since(begin) < billTime; pass(time.Second) {
		billed := bills(t, s)
		var still []string
		for _, id := range missing {
			if len(billed[id]) == 0 {
				still = append(still, id)
			}
		}
		missing = still
	}
	if len(missing) > 0 {
		t.Errorf("%d of %d answered requests have no bill: %v", len(missing), len(answered), missing)
	}
	for id, all := range bills(t, s) {
		if refused[id] && all[0].Cost > 0 {
			t.Errorf("request %s was refused as NotRun and has the bill %+v", id, all[0])
		}
		for _, b := range all[1:] {
			if b.Cost != all[0].Cost || b.Outcome != all[0].Outcome {
				t.Errorf("request %s has two bills: %+v and %+v", id, all[0], b)
			}
		}
	}
}
