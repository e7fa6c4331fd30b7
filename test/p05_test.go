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

// coldCapacity is how many requests the engine can hold during cold start, from all instances together.
const coldCapacity = 2

// coldEngines returns a single engine, in cold start for coldMillis, that drops all requests when it is overloaded.
func coldEngines(coldMillis clock.Millis) []proctest.Upstream {
	f := standin.EngineFaults{
		Versions:     []catalogue.VersionID{proctest.VersionOne, proctest.VersionTwo, proctest.VersionLarge},
		Bearable:     64,
		ColdBearable: coldCapacity,
		FallOver:     true,
		Tokens:       8,
		TokenMillis:  10,
	}
	f.ColdMillis = coldMillis
	return []proctest.Upstream{{Name: "engine-0", Zone: proctest.Zones[0], Faults: f}}
}

// coldDeadlineMillis is the deadline of the chats to a cold engine.
const coldDeadlineMillis = 4000

// setColdHold sets ColdHold so that requests with a deadline of coldDeadlineMillis may use a cold engine.
func setColdHold(cfg *settings.Settings) { cfg.Times.ColdHold = coldDeadlineMillis }

// burst sends n chats at once, spread over the daemons, and returns how many were answered completely.
func burst(t *testing.T, daemons []*proctest.Daemon, n int) int {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	for i := range n {
		wg.Go(func() {
			r := daemons[i%len(daemons)].Chat(t.Context(), proctest.Chat{Content: fmt.Sprint(i), Deadline: coldDeadlineMillis})
			mu.Lock()
			defer mu.Unlock()
			if r.Whole {
				completed++
			}
		})
	}
	wg.Wait()
	return completed
}

func TestP05ColdEngineGetsNoMoreThanItsCapacity(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		inject func(s *proctest.System)
	}{
		{name: "no fault", inject: func(*proctest.System) {}},
		{name: "instance killed", inject: func(s *proctest.System) { killAndRemove(s, s.Daemons[0]) }},
		{name: "instance isolated", inject: func(s *proctest.System) { s.Daemons[1].Isolate(true) }},
		{name: "instance joins", inject: func(s *proctest.System) { s.AddDaemon("entry-new", proctest.Zones[1]).AwaitReady() }},
		{name: "instance frozen", inject: func(s *proctest.System) {
			s.Daemons[2].Freeze()
			sleep(staleViewAge + time.Second)
			s.Daemons[2].Resume()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := proctest.NewSystem(t, proctest.Options{Settings: setColdHold, Instances: 5, Cold: true, Engines: coldEngines(300_000)})
			completed := burst(t, s.Daemons, 40)
			injected := make(chan struct{})
			daemons := append([]*proctest.Daemon(nil), s.Daemons...)
			go func() {
				defer close(injected)
				c.inject(s)
			}()
			for range 3 {
				completed += burst(t, daemons, 40)
			}
			<-injected
			completed += burst(t, s.Daemons, 40)
			stats := s.Upstreams["engine-0"].Stats()
			if stats.ColdPeak > coldCapacity || stats.FellOver > 0 {
				t.Errorf("got cold peak %d over all instances, want at most %d; got %d overloads, want 0", stats.ColdPeak, coldCapacity, stats.FellOver)
			}
			if completed == 0 {
				t.Error("the cold engine answered no chat")
			}
			t.Logf("%d chats answered, engine stats %+v", completed, stats)
		})
	}
}

func TestP05EngineReturnsToColdStart(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Settings: setColdHold, Instances: 3, Cold: true, Engines: coldEngines(3000)})
	engine := s.Upstreams["engine-0"]
	proctest.Eventually(t, 4*convergenceTimeout, "the engine is warm and all daemons know it", func() bool {
		return burst(t, s.Daemons, 12) == 12
	})
	fellOver := engine.Stats().FellOver
	if fellOver > 0 {
		t.Errorf("engine was overloaded %d times in the first cold start, want 0", fellOver)
	}
	// The second cold start lasts to the end of the test, and the load reports state it.
	engine.SetFaults(map[string]any{"ColdMillis": 600_000})
	engine.StartCold()
	sleep(2 * time.Second)
	before := engine.Stats()
	for range 3 {
		burst(t, s.Daemons, 40)
	}
	after := engine.Stats()
	if after.FellOver > before.FellOver {
		t.Errorf("engine was overloaded %d times after it had reported its second cold start, want 0", after.FellOver-before.FellOver)
	}
}
