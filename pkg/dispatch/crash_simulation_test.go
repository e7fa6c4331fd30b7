package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// crashDelay is the time from the begin of an answer on a crashing part to the end of its upstream.
	crashDelay = 80 * time.Millisecond
	// listedAfterEnd, restartAfterEnd and coldAfterRestart are the times of an upstream that ended.
	listedAfterEnd   = 2 * time.Second
	restartAfterEnd  = 4 * time.Second
	coldAfterRestart = 3 * clock.Second
	// contact is the time after the fifth crash within which all instances in touch know of it.
	contact = 3 * clock.Second
	// maxCrashes is the number of crashes after which at most maxLateSends requests may reach upstreams.
	maxCrashes, maxLateSends = 5, 3
)

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (b bubbleClock) Now() clock.Millis  { return clock.FromDuration(time.Since(b.start)) + 100_000 }
func (b bubbleClock) Wall() clock.Millis { return b.Now() }
func (b bubbleClock) Timer(d clock.Millis) (<-chan struct{}, func()) {
	done := make(chan struct{})
	t := time.AfterFunc(d.Duration(), func() { close(done) })
	return done, func() { t.Stop() }
}

// crashUpstream is one incarnation of an upstream.
type crashUpstream struct {
	listing *catalogue.Upstream
	ended   chan struct{}
	down    bool
}

// crashFleet has several instances in front of upstreams that end under some parts of prompts.
type crashFleet struct {
	t         *testing.T
	clock     bubbleClock
	snapshot  atomic.Pointer[catalogue.Snapshot]
	instances []*crashInstance
	wg        sync.WaitGroup

	mu        sync.Mutex
	rng       *rand.Rand
	upstreams map[string]*crashUpstream
	started   int
	crashing  map[string]bool
	// ends has the times at which upstreams ended under a part, sends those at which requests with it reached upstreams.
	ends, sends map[string][]clock.Millis
	sound       []soundRequest
}

// soundRequest is a request without a crashing part; begun is true if its first attempt had a first event.
type soundRequest struct {
	at    clock.Millis
	begun bool
}

// crashInstance is one instance; it exchanges nothing while isolated is true.
type crashInstance struct {
	*Dispatch
	name     string
	isolated atomic.Bool
}

func newCrashFleet(t *testing.T, seed uint64, instances, upstreams int) *crashFleet {
	f := &crashFleet{
		t: t, clock: bubbleClock{start: time.Now()}, rng: rand.New(rand.NewPCG(seed, seed)), upstreams: map[string]*crashUpstream{},
		crashing: map[string]bool{}, ends: map[string][]clock.Millis{}, sends: map[string][]clock.Millis{},
	}
	s := &catalogue.Snapshot{
		Routes: &catalogue.RouteTable{Pools: map[string]*catalogue.Pool{"lm": {Name: "lm", ColdRate: 23}}},
		Pools:  map[string][]*catalogue.Upstream{}, Moves: map[string]*catalogue.ReleaseRollout{},
	}
	for i := range instances {
		s.Members = append(s.Members, catalogue.Member{Name: fmt.Sprint("instance-", i), Zone: "a"})
	}
	f.snapshot.Store(s)
	for range upstreams {
		f.startUpstream(0)
	}
	for i := range instances {
		f.startInstance(fmt.Sprint("instance-", i))
	}
	return f
}

func (f *crashFleet) startInstance(name string) *crashInstance {
	in := &crashInstance{name: name, Dispatch: &Dispatch{
		Clock: f.clock, Log: logr.Discard(), Zone: "a", Snapshot: f.snapshot.Load, Loads: &LoadTracker{Self: name},
		Outliers: &OutlierDetector{}, Releases: &Releases{SessionTimeout: 5000}, Budgets: &RetryBudgets{Share: 0.1}, Latency: &LatencyTracker{},
	}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, in)
	return in
}

// startUpstream lists a new upstream; f.mu must not be held.
func (f *crashFleet) startUpstream(coldFor clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	u := &crashUpstream{ended: make(chan struct{}), listing: &catalogue.Upstream{
		Name: fmt.Sprint("u", f.started), Zone: "a", Slots: 32, Service: "lm", ColdUntil: f.clock.Now() + coldFor,
	}}
	f.upstreams[u.listing.Name] = u
	f.list()
}

// list publishes the listed upstreams; f.mu must be held.
func (f *crashFleet) list() {
	s := *f.snapshot.Load()
	var names []string
	for name := range f.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	s.Pools = map[string][]*catalogue.Upstream{}
	for _, name := range names {
		s.Pools["lm"] = append(s.Pools["lm"], f.upstreams[name].listing)
	}
	f.snapshot.Store(&s)
}

// end ends an upstream, which is listed for some time and then starts again under another name.
func (f *crashFleet) end(u *crashUpstream, part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.down {
		return
	}
	u.down = true
	close(u.ended)
	if part != "" {
		f.ends[part] = append(f.ends[part], f.clock.Now())
	}
	time.AfterFunc(listedAfterEnd, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.upstreams, u.listing.Name)
		f.list()
	})
	time.AfterFunc(restartAfterEnd, func() { f.startUpstream(coldAfterRestart) })
}

// endAtOnce ends n upstreams at one moment.
func (f *crashFleet) endAtOnce(n int) {
	for _, u := range f.snapshot.Load().Pools["lm"][:n] {
		f.mu.Lock()
		up := f.upstreams[u.Name]
		f.mu.Unlock()
		f.end(up, "")
	}
}

func (f *crashFleet) delay(from, to int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(from*1000+f.rng.IntN((to-from)*1000)) * time.Microsecond
}

// arrive returns the upstream of an attempt, or nil if it is down, and the crashing part of the call.
func (f *crashFleet) arrive(c *request.Call) (*crashUpstream, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[c.Upstream.Name]
	if u == nil || u.down {
		return nil, ""
	}
	for _, p := range c.Request.Prompt.Parts {
		if f.crashing[p.ID] {
			f.sends[p.ID] = append(f.sends[p.ID], f.clock.Now())
			return u, p.ID
		}
	}
	return u, ""
}

func (f *crashFleet) serve(_ context.Context, c *request.Call) error {
	c.Attempts++
	u, crashing := f.arrive(c)
	if u == nil {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonUpstreamFailed}
	}
	c.Runs++
	select {
	case <-time.After(f.delay(30, 120)):
	case <-u.ended:
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed, Cause: fmt.Errorf("round trip: %w", io.EOF)}
	}
	if crashing != "" {
		time.Sleep(crashDelay)
		f.end(u, crashing)
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed, Cause: fmt.Errorf("round trip: %w", io.EOF)}
	}
	if c.OnFirstEvent != nil {
		c.OnFirstEvent()
	}
	c.HeadWritten = true
	select {
	case <-time.After(f.delay(300, 900)):
		return nil
	case <-u.ended:
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete, Cause: io.ErrUnexpectedEOF}
	}
}

// call sends a request with the parts to an instance, and returns its error and whether its first attempt began.
func (f *crashFleet) call(in *crashInstance, id string, parts ...string) (begun bool, err error) {
	p := &request.Prompt{Tokens: 400}
	for _, part := range append(parts, "last of "+id) {
		p.Parts = append(p.Parts, request.PromptPart{ID: part, Tokens: 200})
	}
	c := &request.Call{
		Request: &request.Request{ID: id, Deadline: f.clock.Now() + 8000, Prompt: p},
		Route: &catalogue.Route{
			Name: "ask", Streaming: true, Resumable: true, MaxAttempts: 3, Target: 2000, Affinity: true, Split: []catalogue.Split{{Service: "lm", Weight: 1}},
		},
	}
	err = in.Filter(context.Background(), c, request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		onFirstEvent := c.OnFirstEvent
		c.OnFirstEvent = func() {
			begun = begun || c.Attempts == 1
			onFirstEvent()
		}
		return f.serve(ctx, c)
	}))
	return begun, err
}

// anyInstance returns a random instance.
func (f *crashFleet) anyInstance() *crashInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[f.rng.IntN(len(f.instances))]
}

// sendEvery sends requests with the parts to random instances, perSecond on average, for some time.
func (f *crashFleet) sendEvery(perSecond float64, lasting time.Duration, sound bool, parts func(i int) []string) {
	f.wg.Go(func() {
		until := time.Now().Add(lasting)
		for i := 0; time.Now().Before(until); i++ {
			time.Sleep(f.delay(0, int(2000/perSecond)))
			at, in, p := f.clock.Now(), f.anyInstance(), parts(i)
			f.wg.Go(func() {
				begun, _ := f.call(in, fmt.Sprint(p, i), p...)
				if sound {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.sound = append(f.sound, soundRequest{at: at, begun: begun})
				}
			})
		}
	})
}

// crashingRequest returns the parts of a request with a crashing part between those of sound requests.
func crashingRequest(part string) func(i int) []string {
	return func(i int) []string { return []string{"shared", part, fmt.Sprint("session", i%7)} }
}

func soundParts(i int) []string { return []string{"shared", fmt.Sprint("session", i%7)} }

// check asserts the bounds on crashes and sends for each crashing part, and on sound requests from twice contact after the last crash.
func (f *crashFleet) check(maxEnds int) {
	f.t.Helper()
	from := clock.Millis(0)
	for part := range f.crashing {
		ends := f.ends[part]
		if len(ends) > maxEnds {
			f.t.Errorf("%s ended %d upstreams, want at most %d", part, len(ends), maxEnds)
		}
		if len(ends) == 0 {
			continue
		}
		n := min(len(ends), maxCrashes) - 1
		from = max(from, ends[n]+2*contact)
		if n < maxCrashes-1 {
			continue
		}
		late := 0
		for _, at := range f.sends[part] {
			if at > ends[n]+contact {
				late++
			}
		}
		if late > maxLateSends {
			f.t.Errorf("%s: %d requests reached upstreams later than %d ms after the fifth crash, want at most %d", part, late, contact, maxLateSends)
		}
	}
	all, begun := 0, 0
	for _, s := range f.sound {
		if s.at >= from {
			all++
			if s.begun {
				begun++
			}
		}
	}
	if all < 100 || begun*10 < all*9 {
		f.t.Errorf("%d of %d sound requests began at the first attempt, want at least 9 in 10 of 100 or more", begun, all)
	}
}

// Guards against requests with a part that crashes upstreams ending one upstream after the other, at any instance.
func TestCrashingPartStopsAfterAFewUpstreams(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, seed, 8, 12)
				f.crashing["poison"] = true
				f.sendEvery(50, 40*time.Second, true, soundParts)
				time.Sleep(5 * time.Second)
				f.sendEvery(5, 30*time.Second, false, crashingRequest("poison"))
				f.wg.Wait()
				f.check(maxCrashes)
			})
		})
	}
}
