//go:build process

package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/settings"
	"carawayknot.example/carawayknot/pkg/standin"
)

// coldBearable is what the engine of these tests bears in cold start, over all instances.
const coldBearable = 2

// coldEngine returns one engine that is the only one to serve.
func coldEngine(coldMillis clock.Millis) []proctest.Upstream {
	f := standin.EngineFaults{
		Versions:     []catalogue.VersionID{proctest.VersionOne, proctest.VersionTwo, proctest.VersionLarge},
		Bearable:     64,
		ColdBearable: coldBearable,
		FallOver:     true,
		Tokens:       8,
		TokenMillis:  10,
	}
	f.ColdMillis = coldMillis
	return []proctest.Upstream{{Name: "engine-0", Zone: proctest.Zones[0], Faults: f}}
}

// coldDeadline is the deadline of the chats to a cold engine, in milliseconds.
const coldDeadline = 4000

// holdForDeadline lets requests of that deadline use a cold engine.
func holdForDeadline(cfg *settings.Settings) { cfg.Times.ColdHold = coldDeadline }

// burst sends n chats at once, spread over the daemons, and returns how many got a whole answer.
func burst(t *testing.T, daemons []*proctest.Daemon, n int) int {
	t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for i := range n {
		all.Go(func() {
			r := daemons[i%len(daemons)].Chat(t.Context(), proctest.Chat{Content: fmt.Sprint(i), Deadline: coldDeadline})
			mu.Lock()
			defer mu.Unlock()
			if r.Whole {
				whole++
			}
		})
	}
	all.Wait()
	return whole
}

func TestP05ColdEngineGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		disturb func(s *proctest.System)
	}{
		{name: "quiet", disturb: func(*proctest.System) {}},
		{name: "one instance killed", disturb: func(s *proctest.System) { leave(s, s.Daemons[0]) }},
		{name: "one instance cut off", disturb: func(s *proctest.System) { s.Daemons[1].Isolate(true) }},
		{name: "one instance joins", disturb: func(s *proctest.System) { s.AddDaemon("entry-new", proctest.Zones[1]).AwaitReady() }},
		{name: "one instance frozen", disturb: func(s *proctest.System) {
			s.Daemons[2].Freeze()
			pass(horizon + time.Second)
			s.Daemons[2].Thaw()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := proctest.NewSystem(t, proctest.Options{Settings: holdForDeadline, Instances: 5, Cold: true, Engines: coldEngine(300_000)})
			served := burst(t, s.Daemons, 40)
			disturbed := make(chan struct{})
			daemons := append([]*proctest.Daemon(nil), s.Daemons...)
			go func() {
				defer close(disturbed)
				c.disturb(s)
			}()
			for range 3 {
				served += burst(t, daemons, 40)
			}
			<-disturbed
			served += burst(t, s.Daemons, 40)
			stats := s.Upstreams["engine-0"].Stats()
			if stats.ColdPeak > coldBearable || stats.FellOver > 0 {
				t.Errorf("cold peak %d over all instances, want at most %d; fell over %d times", stats.ColdPeak, coldBearable, stats.FellOver)
			}
			if served == 0 {
				t.Error("the cold engine served nothing at all")
			}
			t.Logf("%d served, stats %+v", served, stats)
		})
	}
}

func TestP05EngineTurnsColdAgain(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Settings: holdForDeadline, Instances: 3, Cold: true, Engines: coldEngine(3000)})
	engine := s.Upstreams["engine-0"]
	proctest.Eventually(t, 4*settle, "the engine is warm and known to be", func() bool {
		return burst(t, s.Daemons, 12) == 12
	})
	fellOver := engine.Stats().FellOver
	if fellOver > 0 {
		t.Errorf("fell over %d times in the first cold start", fellOver)
	}
	// From now on the cold start lasts, and the load reports tell of it.
	engine.SetFaults(map[string]any{"ColdMillis": 600_000})
	engine.StartCold()
	pass(2 * time.Second)
	before := engine.Stats()
	for range 3 {
		burst(t, s.Daemons, 40)
	}
	after := engine.Stats()
	if after.FellOver > before.FellOver {
		t.Errorf("fell over %d times after it had reported its second cold start", after.FellOver-before.FellOver)
	}
}
