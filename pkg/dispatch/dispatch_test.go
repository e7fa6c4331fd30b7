package dispatch

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// dispatchHarness is a Dispatch with fake upstreams.
type dispatchHarness struct {
	*Dispatch
	clock    *clock.Manual
	snapshot *catalogue.Snapshot
	// answer returns the result of an attempt.
	answer func(c *request.Call) error
	// sent names the upstreams of the attempts of the last call.
	sent []string
}

func newDispatchHarness(upstreams ...*catalogue.Upstream) *dispatchHarness {
	m := clock.NewManual(100_000)
	r := &dispatchHarness{clock: m, answer: func(*request.Call) error { return nil }}
	r.snapshot = &catalogue.Snapshot{
		Routes: &catalogue.RouteTable{Pools: map[string]*catalogue.Pool{"lm": {Name: "lm", ColdRate: 23, ModelCosts: map[string]float64{"small": 0.02, "large": 0.4}}}},
		Pools:  map[string][]*catalogue.Upstream{},
		Moves:  map[string]*catalogue.ReleaseRollout{},
	}
	for _, u := range upstreams {
		u.Service = "lm"
		r.snapshot.Pools["lm"] = append(r.snapshot.Pools["lm"], u)
	}
	r.Dispatch = &Dispatch{
		Clock: m, Log: logr.Discard(), Zone: "a", Snapshot: func() *catalogue.Snapshot { return r.snapshot }, Loads: &LoadTracker{},
		Outliers: &OutlierDetector{}, Releases: &Releases{SessionTimeout: 5000}, Budgets: &RetryBudgets{Share: 1, Slack: 2 * testBurst}, Latency: &LatencyTracker{},
	}
	return r
}

func (r *dispatchHarness) call(id string, route catalogue.Route) (*request.Call, error) {
	route.Split = []catalogue.Split{{Service: "lm", Weight: 1}}
	c := &request.Call{Request: &request.Request{ID: id, Deadline: r.clock.Now() + 10_000}, Route: &route}
	r.sent = nil
	err := r.Filter(context.Background(), c, request.HandlerFunc(func(_ context.Context, c *request.Call) error {
		r.sent = append(r.sent, c.Upstream.Name)
		err := r.answer(c)
		var refusal *request.Refusal
		if err == nil || errors.As(err, &refusal) && refusal.Outcome != request.NotRun {
			c.Runs++
		}
		return err
	}))
	return c, err
}

func newUpstream(name string) *catalogue.Upstream {
	return &catalogue.Upstream{Name: name, Zone: "a", Slots: 8}
}

func newRefusal(outcome request.Outcome, reason request.Reason) error {
	return &request.Refusal{Outcome: outcome, Reason: reason}
}

func TestDispatchRetriesOnlyRepeatableRequests(t *testing.T) {
	repeatable := catalogue.Route{Repeatable: true, MaxAttempts: 2, Target: 300}
	notRepeatable := catalogue.Route{MaxAttempts: 1, Target: 300}
	resumable := catalogue.Route{Streaming: true, Resumable: true, MaxAttempts: 3, Target: 2000}
	notResumable := catalogue.Route{Streaming: true, MaxAttempts: 3, Target: 2000}
	for _, c := range []struct {
		name  string
		route catalogue.Route
		err   error
		begun bool
		sent  int
	}{
		{"repeatable, may have run", repeatable, newRefusal(request.MayHaveRun, request.ReasonUpstreamFailed), false, 2},
		{"not repeatable, may have run", notRepeatable, newRefusal(request.MayHaveRun, request.ReasonUpstreamFailed), false, 1},
		{"not repeatable, ran and failed", notRepeatable, newRefusal(request.Ran, request.ReasonUpstreamFailed), false, 1},
		{"not repeatable, declined", notRepeatable, newRefusal(request.NotRun, request.ReasonUpstreamRefused), false, 3},
		{"resumable stream", resumable, newRefusal(request.MayHaveRun, request.ReasonAnswerIncomplete), true, 3},
		{"stream that is not resumable, begun", notResumable, newRefusal(request.MayHaveRun, request.ReasonAnswerIncomplete), true, 1},
		{"stream that is not resumable, not begun", notResumable, newRefusal(request.MayHaveRun, request.ReasonUpstreamFailed), false, 1},
		{"deadline", repeatable, newRefusal(request.MayHaveRun, request.ReasonDeadline), false, 1},
		{"caller disconnected", repeatable, newRefusal(request.MayHaveRun, request.ReasonCallerGone), false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newDispatchHarness(newUpstream("u1"), newUpstream("u2"), newUpstream("u3"), newUpstream("u4"))
			r.answer = func(call *request.Call) error {
				call.HeadWritten = call.HeadWritten || c.begun
				return c.err
			}
			if _, err := r.call("r1", c.route); err == nil {
				t.Error("call() succeeded, want an error")
			}
			if len(r.sent) != c.sent {
				t.Errorf("sent to %v, want %d attempts", r.sent, c.sent)
			}
			seen := map[string]bool{}
			for _, name := range r.sent {
				if seen[name] {
					t.Errorf("%s got two attempts, want at most one: %v", name, r.sent)
				}
				seen[name] = true
			}
		})
	}
}

// Guards against a booking that runs at two upstreams, and a second answer behind the beginning of the first, where a route that isn't
// streaming has the flag of resumable streams.
func TestResumableFlagCountsForStreamsAlone(t *testing.T) {
	for _, c := range []struct {
		name  string
		route catalogue.Route
		err   error
		begun bool
	}{
		{"booking that ran and failed", catalogue.Route{}, newRefusal(request.Ran, request.ReasonUpstreamFailed), false},
		{"booking that may have run", catalogue.Route{}, newRefusal(request.MayHaveRun, request.ReasonUpstreamFailed), false},
		{"look-up whose answer has begun", catalogue.Route{Repeatable: true}, newRefusal(request.MayHaveRun, request.ReasonAnswerIncomplete), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.route.Resumable, c.route.MaxAttempts, c.route.Target = true, 3, 300
			r := newDispatchHarness(newUpstream("u1"), newUpstream("u2"), newUpstream("u3"))
			r.answer = func(call *request.Call) error {
				call.HeadWritten = c.begun
				return c.err
			}
			_, _ = r.call("r1", c.route)
			if len(r.sent) != 1 {
				t.Errorf("sent to %v, want one attempt", r.sent)
			}
		})
	}
}

// testBurst is the number of retries that the budget of a dispatchHarness allows regardless of traffic.
const testBurst = 3

func TestDispatchBudgetCountsARequestOnce(t *testing.T) {
	r := newDispatchHarness(newUpstream("u1"), newUpstream("u2"), newUpstream("u3"), newUpstream("u4"))
	r.Budgets.Share = 0.1
	r.answer = func(c *request.Call) error {
		c.Attempts++
		return newRefusal(request.NotRun, request.ReasonUpstreamRefused)
	}
	for i := range 40 {
		_, _ = r.call(fmt.Sprint("r", i), catalogue.Route{MaxAttempts: 1, Target: 300})
	}
	now := r.clock.Now()
	if got := r.Budgets.budget("lm").requestsBetween(0, r.Budgets.budget("lm").stepNumber(now)); got != 40 {
		t.Errorf("the retry budget counted %.0f requests, want 40", got)
	}
}

// Pattern: an upstream is silent for longer than a stream may pause, while nothing is left to go on elsewhere with.
func TestSlowAttemptIsAbortedOnlyForARetry(t *testing.T) {
	stream := catalogue.Route{Streaming: true, Resumable: true, MaxAttempts: 3, Target: 2000}
	for _, c := range []struct {
		name    string
		route   catalogue.Route
		runs    int
		budget  int
		elapsed clock.Millis
		want    bool
	}{
		{"retry left", stream, 0, 1, 0, true},
		{"budget exhausted", stream, 0, 0, 0, false},
		{"last attempt", stream, 2, 1, 0, false},
		{"deadline near", stream, 0, 1, 9_700, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newDispatchHarness(newUpstream("u1"), newUpstream("u2"), newUpstream("u3"))
			r.Budgets.Share = 0
			for range testBurst - c.budget {
				r.Budgets.TryWithdraw("lm", r.clock.Now())
			}
			aborted := false
			c.route.Split = []catalogue.Split{{Service: "lm", Weight: 1}}
			call := &request.Call{Request: &request.Request{ID: "r", Deadline: r.clock.Now() + 10_000}, Route: &c.route, Runs: c.runs}
			attempts := 0
			err := r.Filter(context.Background(), call, request.HandlerFunc(func(_ context.Context, call *request.Call) error {
				attempts++
				r.clock.Advance(c.elapsed)
				if attempts > 1 || !call.MayAbort()() {
					return nil
				}
				aborted = call.MayAbort()()
				call.Runs++
				return newRefusal(request.MayHaveRun, request.ReasonAnswerIncomplete)
			}))
			if err != nil || aborted != c.want {
				t.Errorf("aborted = %t with error %v, want %t and an answer", aborted, err, c.want)
			}
			if c.want && r.Budgets.TryWithdraw("lm", r.clock.Now()) {
				t.Error("a retry is left in the budget, want the one retry used for the abort")
			}
		})
	}
}

func TestDispatchSetsRetryAfter(t *testing.T) {
	r := newDispatchHarness(newUpstream("u1"), newUpstream("u2"))
	r.answer = func(*request.Call) error { return newRefusal(request.NotRun, request.ReasonUpstreamRefused) }
	_, err := r.call("r1", catalogue.Route{MaxAttempts: 1, Target: 300})
	var refusal *request.Refusal
	if !errors.As(err, &refusal) || refusal.RetryAfter < declinedRetryAfter || refusal.RetryAfter > 2*declinedRetryAfter {
		t.Errorf("refusal = %+v, want RetryAfter of once to twice declinedRetryAfter", refusal)
	}
	r = newDispatchHarness()
	_, err = r.call("r1", catalogue.Route{MaxAttempts: 1, Target: 300})
	if !errors.As(err, &refusal) || refusal.Outcome != request.NotRun || refusal.RetryAfter == 0 || len(r.sent) != 0 {
		t.Errorf("refusal without upstreams = %+v, want NotRun with RetryAfter and no attempt", refusal)
	}
}

// TestDispatchColdUpstreams checks that independent instances together stay below the rate limit of a cold upstream, and that cold
// upstreams get no work while a warm one is available.
func TestDispatchColdUpstreams(t *testing.T) {
	const instances = 12
	total := 0
	for i := range instances {
		u := newUpstream("cold")
		r := newDispatchHarness(u)
		r.Loads.Self = fmt.Sprint("instance-", i)
		u.ColdUntil = r.clock.Now() + 5000
		for m := range instances {
			r.snapshot.Members = append(r.snapshot.Members, catalogue.Member{Name: fmt.Sprint(m)})
		}
		for k := range 100 {
			if _, err := r.call(fmt.Sprint(i, k), catalogue.Route{MaxAttempts: 1, Target: 300}); err == nil {
				total++
			}
			r.clock.Advance(10)
		}
	}
	if limit := 23; total == 0 || total > limit {
		t.Errorf("the cold upstream got %d requests in a second, want 1 to %d", total, limit)
	}
	warm, cold := newUpstream("warm"), newUpstream("cold")
	r := newDispatchHarness(warm, cold)
	cold.ColdUntil = r.clock.Now() + 5000
	for k := range 20 {
		if _, err := r.call(fmt.Sprint(k), catalogue.Route{MaxAttempts: 1, Target: 300}); err != nil || r.sent[0] != "warm" {
			t.Fatalf("sent to %v, want the warm upstream", r.sent)
		}
	}
}

// Pattern: a zone comes back cold while the upstreams of the other zones have prompts waiting.
func TestColdUpstreamsRelieveBusyOnes(t *testing.T) {
	const prompt, perSecond = 1000, 50
	route := catalogue.Route{MaxAttempts: 3, Target: 2000, Streaming: true, Resumable: true, Affinity: true, Split: []catalogue.Split{{Service: "lm", Weight: 1}}}
	for _, c := range []struct {
		name     string
		warmWork float32
		// wantCold are the least and the most requests of a second that the cold upstream may get.
		wantCold [2]int
	}{
		{"idle warm upstream", 0, [2]int{0, 0}},
		{"warm upstream that begins before the cold one would end", prompt - 1, [2]int{0, 0}},
		// One of nine instances may send 0.6 x 23 / 9 requests a second.
		{"busy warm upstream", 20 * prompt, [2]int{1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			warm, cold := newUpstream("warm"), newUpstream("cold")
			r := newDispatchHarness(warm, cold)
			cold.ColdUntil = r.clock.Now() + 5000
			r.Loads.SetPeerWork(map[string]float32{"warm": c.warmWork})
			got := 0
			for i := range perSecond {
				call := &request.Call{Route: &route, Model: "large", Request: &request.Request{
					ID: fmt.Sprint("r", i), Deadline: r.clock.Now() + 9000,
					Prompt: &request.Prompt{Tokens: prompt, Parts: []request.PromptPart{{ID: "shared", Tokens: 900}, {ID: fmt.Sprint(i), Tokens: 100}}},
				}}
				if err := r.Filter(context.Background(), call, request.HandlerFunc(func(context.Context, *request.Call) error { return nil })); err != nil {
					t.Fatal(err)
				}
				if call.Upstream == cold {
					got++
				}
				r.clock.Advance(clock.Second / perSecond)
			}
			if got < c.wantCold[0] || got > c.wantCold[1] {
				t.Errorf("the cold upstream got %d of %d requests, want %d to %d", got, perSecond, c.wantCold[0], c.wantCold[1])
			}
		})
	}
}

// sendSession sends a request of a session and returns the release that served it.
func (r *dispatchHarness) sendSession(t *testing.T, session string) string {
	t.Helper()
	route := catalogue.Route{MaxAttempts: 3, Target: 2000, Streaming: true, Resumable: true, Split: []catalogue.Split{{Service: "lm", Weight: 1}}}
	c := &request.Call{Request: &request.Request{ID: "r" + session, Session: session, Deadline: r.clock.Now() + 9000}, Route: &route}
	if err := r.Filter(context.Background(), c, request.HandlerFunc(func(context.Context, *request.Call) error { return nil })); err != nil {
		t.Fatal(err)
	}
	return c.Upstream.Release
}

func TestSessionsKeepTheirRelease(t *testing.T) {
	old, target := newUpstream("old"), newUpstream("new")
	old.Release, target.Release = "v1", "v2"
	r := newDispatchHarness(old, target)
	rollout := &catalogue.ReleaseRollout{ReleaseOrder: catalogue.ReleaseOrder{Service: "lm", Target: "v2", Span: 20_000}, State: catalogue.ReleaseRunning, Canary: 0.06}
	send := func(session string) string { return r.sendSession(t, session) }
	r.Releases.PinPeerSessions(rollout, map[string]float32{"lm v2 keep elsewhere1": 1, "lm v2 keep elsewhere2": 1, "lm v3 keep after1": 1})
	// Sessions that began before the rollout stay on the old release, even if their hash selects the new one.
	for i := range 200 {
		r.snapshot.Pools["lm"] = []*catalogue.Upstream{old}
		send(fmt.Sprint("before", i))
	}
	r.snapshot.Pools["lm"] = []*catalogue.Upstream{old, target}
	rollout.StartedAt = r.clock.Now()
	r.snapshot.Moves = map[string]*catalogue.ReleaseRollout{"lm": rollout}
	items := map[string]float32{}
	r.Releases.AddOwnSessions(rollout, r.clock.Now(), items)
	if len(items) < 4 || len(items) > 40 {
		t.Errorf("%d pinned sessions are shared, want 4 to 40 (those whose hash selects the new release)", len(items))
	}
	if got := send("settling"); got != "v1" {
		t.Errorf("a new session is on %s while instances exchange their sessions, want v1", got)
	}
	r.clock.Advance(2500)
	onTarget := 0
	for i := range 200 {
		if got := send(fmt.Sprint("before", i)); got != "v1" {
			t.Fatalf("session %d changed to %s, want v1", i, got)
		}
		if send(fmt.Sprint("after", i)) == "v2" {
			onTarget++
		}
	}
	if onTarget == 0 || onTarget > 30 {
		t.Errorf("%d of 200 new sessions are on the new release, want 1 to 30", onTarget)
	}
	for i := range 400 {
		if got := send(fmt.Sprint("elsewhere", i%2+1)); got != "v1" {
			t.Fatalf("a session that another instance has pinned is on %s, want v1", got)
		}
	}
	// After the canary phase all sessions change to the new release, and none changes back.
	r.clock.Advance(10_000)
	moved := map[string]bool{}
	for step := range 8 {
		r.Releases.SetShare(rollout, float64(step+1)/8)
		for i := range 200 {
			session := fmt.Sprint("after", i)
			if got := send(session); got == "v2" {
				moved[session] = true
			} else if moved[session] {
				t.Fatalf("session %s changed back to the old release", session)
			}
		}
		r.clock.Advance(500)
	}
	if len(moved) != 200 {
		t.Errorf("%d of 200 sessions are on the new release, want all", len(moved))
	}
	rollout.State = catalogue.ReleaseReverted
	if got := send("after1"); got != "v1" {
		t.Errorf("a session is on %s after the rollout was reverted, want v1", got)
	}
}

// Guards against sessions that change to the next release at once, and give a bad one far more than its share, because they had been on the new release
// of the rollout before.
func TestSessionsOfACompletedRolloutKeepTheirReleaseInTheNextOne(t *testing.T) {
	const sessions = 200
	upstreams := map[string]*catalogue.Upstream{}
	for _, release := range []string{"v1", "v2", "v3"} {
		u := newUpstream(release)
		u.Release = release
		upstreams[release] = u
	}
	r := newDispatchHarness(upstreams["v1"], upstreams["v2"])
	rollout := func(target string, state catalogue.ReleaseState) *catalogue.ReleaseRollout {
		return &catalogue.ReleaseRollout{
			ReleaseOrder: catalogue.ReleaseOrder{Service: "lm", Target: target, Span: 20_000}, State: state, Canary: 0.06, StartedAt: r.clock.Now(),
		}
	}
	send := func(session string) string { return r.sendSession(t, session) }
	r.snapshot.Moves = map[string]*catalogue.ReleaseRollout{"lm": rollout("v2", catalogue.ReleaseCompleted)}
	r.snapshot.Pools["lm"] = []*catalogue.Upstream{upstreams["v2"]}
	for i := range sessions {
		send(fmt.Sprint("before", i))
	}
	next := rollout("v3", catalogue.ReleaseRunning)
	r.snapshot.Moves = map[string]*catalogue.ReleaseRollout{"lm": next}
	r.snapshot.Pools["lm"] = []*catalogue.Upstream{upstreams["v2"], upstreams["v3"]}
	items := map[string]float32{}
	r.Releases.AddOwnSessions(next, r.clock.Now(), items)
	if len(items) < 4 || len(items) > 40 {
		t.Errorf("%d pinned sessions are shared, want 4 to 40 (those whose hash selects the new release)", len(items))
	}
	r.clock.Advance(2500)
	changed := 0
	for i := range sessions {
		if send(fmt.Sprint("before", i)) != "v2" {
			changed++
		}
	}
	if changed > 0 {
		t.Errorf("%d of %d sessions changed to the next release in its canary phase, want none", changed, sessions)
	}
}

func TestFirstTokenLatency(t *testing.T) {
	l := &LatencyTracker{}
	if got := l.FirstByteTimeout("m", 1000, 0, 1400); got != 1400 {
		t.Errorf("FirstByteTimeout() without a sample = %d, want the floor of 1400", got)
	}
	if got := l.FirstByteTimeout("m", 50_000, 0, 1400); got != 0 {
		t.Errorf("FirstByteTimeout() without a sample for a long prompt = %d, want 0", got)
	}
	for range 50 {
		l.RecordFirstToken("m", 6000, 300)
	}
	if got, known := l.ExpectedFirstToken("m", 46_000); !known || got != 1500 {
		t.Errorf("ExpectedFirstToken() = %d, want 1500", got)
	}
	if got := l.FirstByteTimeout("m", 46_000, 0, 1400); got != 4500 {
		t.Errorf("FirstByteTimeout() = %d, want 4500", got)
	}
	if l.IsSlowFirstToken("m", 6000, 880) || !l.IsSlowFirstToken("m", 6000, 980) {
		t.Error("IsSlowFirstToken() is wrong at 880 or 980 ms, want a threshold of 930 ms")
	}
}

// Pattern: engines that nothing is known of have prompts waiting; the time that they take is learned from answers behind other work.
func TestWaitIsLearnedFromAnswersBehindOtherWork(t *testing.T) {
	const millisPerToken = 0.05
	r := newDispatchHarness(newUpstream("u1"), newUpstream("u2"))
	call := &request.Call{Model: "small", Pool: r.snapshot.Routes.Pools["lm"], Request: &request.Request{Prompt: &request.Prompt{Tokens: 5000}}, Route: &catalogue.Route{}}
	r.Loads.SetPeerWork(map[string]float32{"u1": 40_000, "u2": 60_000})
	if got := r.ExpectedWait(call, "large", 0); got != 0 {
		t.Errorf("ExpectedWait() before any answer = %d ms, want 0", got)
	}
	for i := range 60 {
		ahead := 20_000 * (i % 3)
		r.Latency.RecordFirstToken("large", 5000+ahead, clock.Millis(millisPerToken*float64(fixedCostTokens+5000+ahead)))
	}
	if got, want := r.ExpectedWait(call, "large", 0), clock.Millis(millisPerToken*40_000); got < want-20 || got > want+20 {
		t.Errorf("ExpectedWait() = %d ms, want about %d ms for the work of the idlest upstream", got, want)
	}
	// The small model costs a twentieth, so that the same work is twenty times as many of its tokens.
	for model, want := range map[string]int{"small": 20_000, "large": 1000, "unknown": 0} {
		if got := tokensAhead(call.Pool, model, 1000); got != want {
			t.Errorf("tokensAhead() of the %s model = %d, want %d", model, got, want)
		}
	}
	if idle, busy := r.Latency.FirstByteTimeout("large", 5000, 0, 100), r.Latency.FirstByteTimeout("large", 5000, 40_000, 100); busy < idle+clock.Millis(millisPerToken*40_000) {
		t.Errorf("FirstByteTimeout() = %d ms behind other work and %d ms without, want at least the time of that work more", busy, idle)
	}
}

func TestUpstreamWork(t *testing.T) {
	l := &LoadTracker{}
	l.StartRequest("u", 500)
	l.StartRequest("u", 300)
	l.SetPeerWork(map[string]float32{"u": 1000, "v": 7})
	if diff := cmp.Diff([]float64{1800, 7}, []float64{l.Work("u"), l.Work("v")}); diff != "" {
		t.Errorf("work (-want +got):\n%s", diff)
	}
	l.SubtractWork("u", 500)
	// Subtracting these in another order leaves a rounding error, which must not count as work.
	for _, w := range []float64{0.1, 0.2, 0.3} {
		l.StartRequest("rest", w)
	}
	for _, w := range []float64{0.3, 0.1, 0.2} {
		l.SubtractWork("rest", w)
	}
	if diff := cmp.Diff(map[string]float32{"u": 300}, l.OwnWork()); diff != "" {
		t.Errorf("own work (-want +got):\n%s", diff)
	}
}
