package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const version catalogue.VersionID = "model@1"

// snapshot returns a snapshot of three upstreams in three zones, at each of which the instance has the share.
func snapshot(share int) *catalogue.Snapshot {
	cfg := catalogue.NewState()
	cfg.Versions[version] = &catalogue.Version{ID: version}
	cfg.Workspaces["desk"] = &catalogue.Workspace{Name: "desk", Versions: []catalogue.VersionID{version}}
	s := &catalogue.Snapshot{Config: cfg, Members: []catalogue.Member{{Name: "entry-1"}}}
	for _, zone := range []string{"a", "b", "c"} {
		s.Upstreams = append(s.Upstreams, &catalogue.Upstream{
			Name: "engine-" + zone, Zone: zone, Versions: []catalogue.VersionID{version}, Share: share,
		})
	}
	return s
}

func newBalancer(s func() *catalogue.Snapshot, c clock.Clock) *Balancer {
	cfg := settings.Default()
	cfg.Zone = "a"
	queue := &Queue{Limit: 1000}
	return &Balancer{
		Common:   settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: c},
		Snapshot: s,
		InFlight: &InFlightLimiter{OnRelease: queue.Wake},
		Budget:   &RetryBudget{Share: cfg.Limits.RetryShare},
		Queue:    queue,
	}
}

func newCall(id string) *request.Call {
	return &request.Call{
		Request: &request.Request{ID: id, Workspace: "desk", Repeatable: true},
		Profile: &catalogue.Profile{Priority: 1},
		Version: &catalogue.Version{ID: version},
		Writer:  discard{},
	}
}

// discard is a writer that drops all parts of an answer.
type discard struct{}

func (discard) WriteHead(context.Context, *request.Call, request.Head) error   { return nil }
func (discard) WriteChunk(context.Context, *request.Call, request.Chunk) error { return nil }
func (discard) WriteBytes(context.Context, *request.Call, []byte) error        { return nil }
func (discard) WriteEnd(context.Context, *request.Call, request.End) error     { return nil }

// peakInFlight tracks the current and the highest number of requests in flight by upstream.
type peakInFlight struct {
	mu               sync.Mutex
	current, highest map[string]int
}

func (p *peakInFlight) add(name string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current[name] += n
	p.highest[name] = max(p.highest[name], p.current[name])
}

func TestP05SharesAreNeverExceeded(t *testing.T) {
	for _, share := range []int{0, 1, 3} {
		t.Run(fmt.Sprint("share ", share), func(t *testing.T) {
			s := snapshot(share)
			f := newBalancer(func() *catalogue.Snapshot { return s }, clock.NewReal())
			p := &peakInFlight{current: map[string]int{}, highest: map[string]int{}}
			start := make(chan struct{})
			next := request.HandlerFunc(func(_ context.Context, c *request.Call) error {
				p.add(c.Upstream.Name, 1)
				defer p.add(c.Upstream.Name, -1)
				<-start
				return nil
			})
			var wg sync.WaitGroup
			var entered atomic.Int64
			for i := range 64 {
				wg.Go(func() {
					c := newCall(fmt.Sprint("r", i))
					c.Request.Deadline = f.Clock.Now() + 20
					if entered.Add(1) == 64 {
						close(start)
					}
					_ = f.Filter(context.Background(), c, next)
				})
			}
			wg.Wait()
			for name, most := range p.highest {
				if most > share {
					t.Errorf("%s had %d requests in flight, want at most its share of %d", name, most, share)
				}
			}
			if diff := cmp.Diff(map[string]int{}, f.InFlight.Counts()); diff != "" {
				t.Errorf("requests in flight at the end (-want +got):\n%s", diff)
			}
		})
	}
}

// upstreamsWithWork sends many calls and returns the upstreams that received any.
func upstreamsWithWork(t *testing.T, s *catalogue.Snapshot) map[string]bool {
	t.Helper()
	f := newBalancer(func() *catalogue.Snapshot { return s }, clock.NewManual(0))
	got := map[string]bool{}
	for i := range 200 {
		err := f.Filter(context.Background(), newCall(fmt.Sprint("r", i)), request.HandlerFunc(
			func(_ context.Context, c *request.Call) error {
				got[c.Upstream.Name] = true
				return nil
			}))
		if err != nil {
			t.Fatal(err)
		}
	}
	return got
}

func TestRequestsSpreadOverAllUpstreams(t *testing.T) {
	want := map[string]bool{"engine-a": true, "engine-b": true, "engine-c": true}
	if diff := cmp.Diff(want, upstreamsWithWork(t, snapshot(8))); diff != "" {
		t.Errorf("upstreams that got work (-want +got):\n%s", diff)
	}
}

func TestP06ZoneOutGetsNoNewWork(t *testing.T) {
	s := snapshot(8)
	s.Config.Zones["b"] = &catalogue.Zone{Name: "b", Out: true}
	want := map[string]bool{"engine-a": true, "engine-c": true}
	if diff := cmp.Diff(want, upstreamsWithWork(t, s)); diff != "" {
		t.Errorf("upstreams that got work (-want +got):\n%s", diff)
	}
}

func TestP06ZoneOutWhileARequestWaits(t *testing.T) {
	s := snapshot(1)
	now := clock.NewManual(0)
	f := newBalancer(func() *catalogue.Snapshot { return s }, now)
	for _, u := range s.Upstreams {
		f.InFlight.Acquire(u.Name, 1)
	}
	f.Waiter = waitFunc(func() {
		out := snapshot(1)
		for _, zone := range []string{"a", "b"} {
			out.Config.Zones[zone] = &catalogue.Zone{Name: zone, Out: true}
		}
		s = out
		for _, u := range out.Upstreams {
			f.InFlight.Release(u.Name)
		}
	})
	var got string
	err := f.Filter(context.Background(), newCall("r"), request.HandlerFunc(func(_ context.Context, c *request.Call) error {
		got = c.Upstream.Name
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("engine-c", got); diff != "" {
		t.Errorf("upstream (-want +got):\n%s", diff)
	}
}

// waitFunc is a Waiter that calls a function instead of waiting.
type waitFunc func()

func (w waitFunc) Wait(context.Context) (func(), func(clock.Millis) error) {
	return func() {}, func(clock.Millis) error { w(); return nil }
}

func TestP10LeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(u *catalogue.Upstream)
	}{
		{"leaving", func(u *catalogue.Upstream) { u.Leaving = true }},
		{"drained by operators", func(u *catalogue.Upstream) { u.Rule.Drained = true }},
		{"no share", func(u *catalogue.Upstream) { u.Share = 0 }},
		{"version unloaded", func(u *catalogue.Upstream) { u.Versions = nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := snapshot(8)
			tc.set(s.Upstreams[1])
			want := map[string]bool{"engine-a": true, "engine-c": true}
			if diff := cmp.Diff(want, upstreamsWithWork(t, s)); diff != "" {
				t.Errorf("upstreams that got work (-want +got):\n%s", diff)
			}
		})
	}
}

func TestP02WithdrawnVersionGetsNoWork(t *testing.T) {
	s := snapshot(8)
	s.Config.Versions[version].Withdrawn = true
	f := newBalancer(func() *catalogue.Snapshot { return s }, clock.NewManual(0))
	err := f.Filter(context.Background(), newCall("r"), request.HandlerFunc(func(context.Context, *request.Call) error {
		t.Error("a request for a withdrawn version was sent, want a refusal")
		return nil
	}))
	var r *request.Refusal
	if !errors.As(err, &r) || r.Outcome != request.NotRun {
		t.Errorf("Filter() = %v, want a NotRun refusal", err)
	}
}

func TestRetries(t *testing.T) {
	refused := request.Refuse(request.ReasonUpstreamRefused, 0, "full")
	incomplete := &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete}
	stale := request.Refuse(request.ReasonStaleView, 0, "old")
	for _, tc := range []struct {
		name          string
		err           *request.Refusal
		notRepeatable bool
		committed     bool
		want          int
	}{
		{name: "refused", err: refused, want: 3},
		{name: "refused, not repeatable", err: refused, notRepeatable: true, want: 3},
		{name: "incomplete", err: incomplete, want: 3},
		{name: "incomplete, not repeatable", err: incomplete, notRepeatable: true, want: 1},
		{name: "incomplete after a part reached the caller", err: incomplete, committed: true, want: 1},
		{name: "stale view", err: stale, want: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := snapshot(8)
			f := newBalancer(func() *catalogue.Snapshot { return s }, clock.NewManual(0))
			for range 100 {
				f.Budget.Deposit(0)
			}
			c := newCall("r")
			c.Request.Repeatable = !tc.notRepeatable
			seen := map[string]bool{}
			err := f.Filter(context.Background(), c, request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
				if seen[c.Upstream.Name] {
					t.Errorf("%s got two attempts, want at most one", c.Upstream.Name)
				}
				seen[c.Upstream.Name] = true
				if tc.committed {
					_ = c.Writer.WriteChunk(ctx, c, request.Chunk{Text: "part"})
				}
				return tc.err
			}))
			if !errors.Is(err, error(tc.err)) {
				t.Errorf("Filter() = %v, want %v", err, tc.err)
			}
			if len(seen) != tc.want {
				t.Errorf("%d attempts, want %d", len(seen), tc.want)
			}
		})
	}
}

func TestRetryBudgetHoldsWhenAllAttemptsFail(t *testing.T) {
	s := snapshot(8)
	f := newBalancer(func() *catalogue.Snapshot { return s }, clock.NewManual(0))
	const requests = 1000
	attempts := 0
	for i := range requests {
		_ = f.Filter(context.Background(), newCall(fmt.Sprint("r", i)), request.HandlerFunc(
			func(context.Context, *request.Call) error {
				attempts++
				return request.Refuse(request.ReasonUpstreamFailed, 0, "no connection")
			}))
	}
	if got := float64(attempts) / requests; got >= 1.1 {
		t.Errorf("%.3f attempts per request, want less than 1.1", got)
	}
}

// Pattern: few requests, and one upstream that fails each time its avoidance has ended.
func TestLightTrafficIsRetriedWhileOneUpstreamFails(t *testing.T) {
	s := snapshot(8)
	now := clock.NewManual(0)
	f := newBalancer(func() *catalogue.Snapshot { return s }, now)
	f.Outliers = &OutlierDetector{}
	const requests, interval = 20, 400
	var lost []string
	for i := range requests {
		err := f.Filter(context.Background(), newCall(fmt.Sprint("r", i)), request.HandlerFunc(
			func(_ context.Context, c *request.Call) error {
				if c.Upstream.Name == "engine-a" {
					return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerMismatch}
				}
				return nil
			}))
		if err != nil {
			lost = append(lost, fmt.Sprint("r", i))
		}
		now.Advance(interval)
	}
	if diff := cmp.Diff([]string(nil), lost); diff != "" {
		t.Errorf("requests lost to one failing upstream (-want +got):\n%s", diff)
	}
}

func TestStartSampleOncePerAttempt(t *testing.T) {
	s := snapshot(8)
	now := clock.NewManual(0)
	f := newBalancer(func() *catalogue.Snapshot { return s }, now)
	var got []request.Sample
	f.Started = func(s request.Sample) { got = append(got, s) }
	var upstream string
	err := f.Filter(context.Background(), newCall("r"), request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		upstream = c.Upstream.Name
		now.Advance(70)
		_ = c.Writer.WriteHead(ctx, c, request.Head{})
		for range 3 {
			now.Advance(10)
			_ = c.Writer.WriteChunk(ctx, c, request.Chunk{Text: "token"})
		}
		return c.Writer.WriteEnd(ctx, c, request.End{})
	}))
	if err != nil {
		t.Fatal(err)
	}
	want := []request.Sample{{
		At: 80, RequestID: "r", Workspace: "desk", Version: version, Upstream: upstream, Result: request.ResultStarted, FirstToken: 80,
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("samples (-want +got):\n%s", diff)
	}
}
