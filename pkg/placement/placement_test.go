package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// start is the time at which the tests begin.
const start clock.Millis = 100_000

var (
	testPool  = &catalogue.Pool{Name: "lm", CacheTokens: 400_000}
	testRoute = &catalogue.Route{Target: 2000, Streaming: true, Sizes: []string{"large"}}
)

func newUpstreams(n int) []*catalogue.Upstream {
	upstreams := make([]*catalogue.Upstream, n)
	for i := range upstreams {
		upstreams[i] = &catalogue.Upstream{Name: fmt.Sprintf("u%03d", i), Service: "lm", Zone: string('a' + rune(i%3)), Slots: 12, Incarnation: 1}
	}
	return upstreams
}

// newCall returns a call with a prompt that shares a part of shared tokens.
func newCall(id, subject string, shared, own int, now clock.Millis) *request.Call {
	return &request.Call{
		Request: &request.Request{ID: id, ArrivedAt: now, Prompt: &request.Prompt{
			Tokens: shared + own,
			Parts:  []request.PromptPart{{ID: subject, Tokens: shared}, {ID: "own " + id, Tokens: own}},
		}},
		Route: testRoute, Pool: testPool, Model: "large",
	}
}

// newPlanner returns a planner that has learned that a prompt takes 60 ms and 20 ms for a thousand tokens at the usual pace.
func newPlanner(members int, upstreams []*catalogue.Upstream) *Planner {
	p := &Planner{Zone: "a", Members: func() int { return members }}
	m := p.service("lm").model("large")
	for tokens := 500.0; tokens <= 16_000; tokens *= 2 {
		x := promptFeatures(tokens, tokens)
		for inFlight := range 3 {
			m.add(x.at(1, float64(inFlight), 0), 60+20*x[featureUnread], start)
		}
	}
	for _, u := range upstreams {
		p.Report(u, &request.LoadReport{Slots: 12, Pace: usualPace}, start)
	}
	return p
}

// setPace lets the upstream report a pace for so long that no other one counts.
func setPace(p *Planner, u *catalogue.Upstream, pace int, now clock.Millis) {
	for range 30 {
		p.Report(u, &request.LoadReport{Slots: 12, Pace: pace}, now)
	}
}

// send places and starts a call.
func send(t *testing.T, p *Planner, c *request.Call, upstreams []*catalogue.Upstream, now clock.Millis) *Stay {
	t.Helper()
	choice, ok := p.Choose(c, upstreams, now)
	if !ok {
		t.Fatal("nothing is known of the service")
	}
	c.Upstream = choice.Upstream
	return p.Start(c, choice, now)
}

func TestChooseKnowsNothingWithoutPace(t *testing.T) {
	upstreams := newUpstreams(3)
	for _, c := range []struct {
		name   string
		report *request.LoadReport
		want   bool
	}{
		{"no load report", nil, false},
		{"load report without a pace", &request.LoadReport{Running: 3, Slots: 12}, false},
		{"load report with a pace", &request.LoadReport{Running: 3, Slots: 12, Pace: 160}, true},
	} {
		p := newPlanner(1, nil)
		p.Report(upstreams[0], c.report, start)
		if _, ok := p.Choose(newCall("r", "s", 100, 100, start), upstreams, start); ok != c.want {
			t.Errorf("%s: chosen %t, want %t", c.name, ok, c.want)
		}
	}
}

// Load: a burst in which all instances choose before they hear of each other, while one upstream looks better than all others.
func TestChoosersOfTheSameNewsSpread(t *testing.T) {
	const members = 72
	upstreams := newUpstreams(140)
	peers := Figures{}
	for i, u := range upstreams {
		if i > 0 {
			peers[lifetimeKey(u)] = []float32{300, 4, 0, 0, 0, 0, 0, 0, 0, 0}
		}
	}
	for _, c := range []struct {
		name string
		own  int
		most int
	}{
		{"short prompts", 600, 6},
		{"long prompts", 12_000, 6},
	} {
		got := map[string]int{}
		for i := range members {
			p := newPlanner(members, upstreams)
			p.SetPeers(peers, start)
			for n := range 5 {
				// What each of the instances usually sends.
				send(t, p, newCall(fmt.Sprint("before ", i, n), fmt.Sprint(i, n), 0, c.own, start), upstreams, start).End(false, start)
			}
			choice, _ := p.Choose(newCall(fmt.Sprint(i), fmt.Sprint("subject ", i), 0, c.own, start), upstreams, start+50)
			got[choice.Upstream.Name]++
		}
		if most := slices.Max(slices.Collect(maps.Values(got))); most > c.most {
			t.Errorf("%s: %d of %d instances chose the same upstream, want at most %d", c.name, most, members, c.most)
		}
	}
}

// Load: machines of three paces, short and long prompts.
func TestHeavyPromptsGoToFastMachines(t *testing.T) {
	upstreams := newUpstreams(30)
	p := newPlanner(1, upstreams)
	paces := map[string]int{}
	for i, u := range upstreams {
		paces[u.Name] = []int{60, 100, 160}[i%3]
		setPace(p, u, paces[u.Name], start)
	}
	got := map[int]int{}
	for i := range 60 {
		choice, _ := p.Choose(newCall(fmt.Sprint("heavy ", i), fmt.Sprint("s", i), 0, 50_000, start), upstreams, start)
		got[paces[choice.Upstream.Name]]++
	}
	if diff := cmp.Diff(map[int]int{60: 60}, got); diff != "" {
		t.Errorf("paces of the upstreams of heavy prompts (-want +got):\n%s", diff)
	}
}

// Load: prompts with a shared part whose home is idle, busy, full, or has begun another lifetime.
func TestKeptPartsAgainstTheWait(t *testing.T) {
	for _, c := range []struct {
		name   string
		own    int
		change func(home *catalogue.Upstream, peers Figures)
		want   bool
	}{
		{"idle", 500, func(*catalogue.Upstream, Figures) {}, true},
		{"work ahead that takes less than is saved", 500, func(home *catalogue.Upstream, peers Figures) { peers[lifetimeKey(home)][figureWork] = 60 }, true},
		{"work ahead that takes far more than is saved", 500, func(home *catalogue.Upstream, peers Figures) { peers[lifetimeKey(home)][figureWork] = 1500 }, false},
		{"no slot", 500, func(home *catalogue.Upstream, peers Figures) { peers[lifetimeKey(home)][figureInFlight] = 40 }, false},
		{"slow machine and a long part of its own", 6000, func(home *catalogue.Upstream, peers Figures) {
			peers[lifetimeKey(home)][figureReports], peers[lifetimeKey(home)][figureReported] = 50, 500
		}, false},
	} {
		upstreams := newUpstreams(30)
		p := newPlanner(1, upstreams)
		m := p.service("lm").model("large")
		m.costs[featureWaiting] = 2000
		first, _ := p.Choose(newCall("r", "subject", 5000, 500, start), upstreams, start)
		peers := Figures{}
		for _, u := range upstreams {
			peers[lifetimeKey(u)] = []float32{0, 0, 5, 5, 0, 0, 0, 0, 0, 0}
		}
		c.change(first.Upstream, peers)
		p.peers, p.peersAt = peers, start
		next, _ := p.Choose(newCall("next", "subject", 5000, c.own, start), upstreams, start)
		if got := next.Upstream == first.Upstream; got != c.want {
			t.Errorf("%s: placed at the home %t, want %t", c.name, got, c.want)
		}
	}
}

// Failure: an upstream starts again under its name, and has lost what it kept and what was known of its pace.
func TestNewLifetimeStartsAnew(t *testing.T) {
	upstreams := newUpstreams(1)
	p := newPlanner(1, upstreams)
	setPace(p, upstreams[0], 400, start)
	before := send(t, p, newCall("r", "subject", 5000, 500, start), upstreams, start)
	again := *upstreams[0]
	again.Incarnation++
	after := send(t, p, newCall("r2", "subject", 5000, 500, start), []*catalogue.Upstream{&again}, start)
	type seen struct {
		Pace, Ahead float64
	}
	got := []seen{{before.option.pace, before.option.ahead}, {after.option.pace, after.option.ahead}}
	if got[0].Pace < 3 || got[1].Pace != 1 || got[1].Ahead != 0 {
		t.Errorf("pace and work ahead before and after: %v, want a slow machine and then a usual one without work", got)
	}
}

// Load: one subject gets a third of the traffic for some seconds.
func TestHotPromptGetsAnotherHome(t *testing.T) {
	const members = 20
	upstreams := newUpstreams(40)
	p := newPlanner(members, upstreams)
	homes := func(now clock.Millis) int {
		return p.query(newCall("q", "hot", 5000, 500, now), "large", upstreams, now).homes
	}
	got := []int{homes(start)}
	now := start
	for i := range 30 {
		now += 100
		st := send(t, p, newCall(fmt.Sprint(i), "hot", 5000, 500, now), upstreams, now)
		st.Begin(now + 60)
		st.End(false, start)
	}
	got = append(got, homes(now))
	got = append(got, homes(now+10*rateTime))
	if diff := cmp.Diff([]int{1, maxHomes, 1}, got); diff != "" {
		t.Errorf("homes before, while and after the subject is hot (-want +got):\n%s", diff)
	}
}

// Failure: reports that are old; the pace is then what the machine reports at most times.
func TestOldReportsGiveWayToTheUsualPace(t *testing.T) {
	k := newUpstream(newUpstreams(1)[0])
	now := start
	for range 20 {
		now += clock.Second
		k.report(60, now)
	}
	k.report(150, now+10)
	for _, c := range []struct {
		name     string
		at       clock.Millis
		from, to float64
	}{
		{"report just made", now + 20, 0.9, 1.5},
		{"report of two seconds ago", now + 2*clock.Second, 0.55, 0.75},
	} {
		if got := k.machinePace(nil, 0, c.at); got < c.from || got > c.to {
			t.Errorf("%s: pace %.2f, want %.2f to %.2f", c.name, got, c.from, c.to)
		}
	}
}

// Failure: the home of a prompt has crashed, which other instances have seen; it has nothing in flight.
func TestCrashedUpstreamIsAvoided(t *testing.T) {
	upstreams := newUpstreams(30)
	seen, heard := newPlanner(2, upstreams), newPlanner(2, upstreams)
	c := newCall("r", "subject", 5000, 500, start)
	home, _ := seen.Choose(c, upstreams, start)
	for range 2 {
		send(t, seen, c, upstreams, start).End(true, start)
	}
	heard.SetPeers(seen.Own(start), start)
	got := []bool{}
	for _, at := range []clock.Millis{start + 100, start + 10*clock.Second} {
		choice, _ := heard.Choose(newCall("next", "subject", 5000, 500, at), upstreams, at)
		got = append(got, choice.Upstream == home.Upstream)
	}
	if diff := cmp.Diff([]bool{false, true}, got); diff != "" {
		t.Errorf("placed at the crashed home at once, and 10 s later (-want +got):\n%s", diff)
	}
}

// Failure: an upstream that reports a pace which makes no sense, and then none.
func TestSenselessReportsFade(t *testing.T) {
	k := newUpstream(newUpstreams(1)[0])
	for i := range 60 {
		k.report(usualPace, start+clock.Millis(i)*clock.Second)
	}
	now := start + 60*clock.Second
	k.report(1<<30, now)
	got := []bool{k.machinePace(nil, 0, now) > maxReportedPace, k.machinePace(nil, 0, now+5*clock.Second) > 1.1}
	if diff := cmp.Diff([]bool{false, false}, got); diff != "" {
		t.Errorf("pace beyond the bound at once, and still five seconds later (-want +got):\n%s", diff)
	}
}

// Failure: this instance is cut off from all others.
func TestNewsOfPeersFade(t *testing.T) {
	upstreams := newUpstreams(1)
	p := newPlanner(3, upstreams)
	p.SetPeers(Figures{lifetimeKey(upstreams[0]): {400, 9, 0, 0, 0, 0, 0, 0, 0, 0}}, start)
	got := []UpstreamState{}
	for _, at := range []clock.Millis{start, start + 20*clock.Second} {
		p.SetPeers(nil, at)
		s := p.States(at)[upstreams[0].Name]
		got = append(got, UpstreamState{InFlight: s.InFlight, WorkAhead: s.WorkAhead, NewsAge: s.NewsAge})
	}
	want := []UpstreamState{{InFlight: 9, WorkAhead: 400}, {NewsAge: 20 * clock.Second}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("upstream at once and 20 s after the last news (-want +got):\n%s", diff)
	}
}

func TestPeersTellOfPaceAndWork(t *testing.T) {
	upstreams := newUpstreams(2)
	a, b := newPlanner(2, upstreams), newPlanner(2, upstreams)
	for range 20 {
		a.upstream(upstreams[0]).sample(3, 1, start)
	}
	c := newCall("r", "s", 0, 10_000, start)
	c.Upstream = upstreams[1]
	a.Start(c, Choice{}, start)
	b.SetPeers(a.Own(start), start)
	q := b.query(newCall("r2", "s2", 0, 1000, start), "large", upstreams, start)
	slow, busy := q.score(upstreams[0]), q.score(upstreams[1])
	if slow.pace < 2 || busy.ahead < 100 || busy.inFlight != 1 {
		t.Errorf("pace %.2f, want over 2; work ahead %.0f ms, want over 100; in flight %g, want 1", slow.pace, busy.ahead, busy.inFlight)
	}
}

func TestFitRecoversCosts(t *testing.T) {
	want := features{62, 24, 0.5, 8, 1500}
	var s sums
	for i := range 200 {
		x := promptFeatures(float64(100+i*97%9000), float64(9000+i*31%5000)).at(0.6+float64(i%3)*0.5, float64(i%11), float64(i%7)/7)
		y := 0.0
		for j := range x {
			y += want[j] * x[j]
		}
		s.add(x, y, 1)
	}
	got, ok := fit(&s)
	for i := range got {
		if !ok || got[i] < 0.98*want[i] || got[i] > 1.02*want[i] {
			t.Errorf("costs %v, want %v", got, want)
			break
		}
	}
	var other sums
	if sum := other.plus(s.figures()); sum.weight != s.weight {
		t.Errorf("weight after the exchange: %g, want %g", sum.weight, s.weight)
	}
}

func TestBestIsTheEarliest(t *testing.T) {
	upstreams := newUpstreams(3)
	p := newPlanner(1, upstreams)
	setPace(p, upstreams[1], 50, start)
	c := newCall("r", "s", 0, 20_000, start)
	got, ok := p.Best(c, upstreams, start)
	alone, _ := p.Best(c, upstreams[1:2], start)
	slow, _ := p.Best(c, upstreams[2:], start)
	if again, _ := p.Best(c, upstreams, start+10); again.FirstToken != got.FirstToken {
		t.Errorf("best a moment later %v, want %v", again, got)
	}
	if !ok || got != alone || slow.FirstToken <= got.FirstToken {
		t.Errorf("best %v, that of the fast machine alone %v, of a usual one %v", got, alone, slow)
	}
	chance := []bool{}
	for _, waited := range []clock.Millis{0, 1600, 2500} {
		c.Request.ArrivedAt = start - waited
		in, _ := p.InTime(c, "large", upstreams, start)
		chance = append(chance, in > 0.5)
	}
	if diff := cmp.Diff([]bool{true, true, false}, chance); diff != "" {
		t.Errorf("more likely in time than not (-want +got):\n%s", diff)
	}
}

func BenchmarkBest(b *testing.B) {
	upstreams := newUpstreams(620)
	p := newPlanner(330, upstreams)
	c := newCall("r", "s", 500, 500, start)
	for b.Loop() {
		p.Best(c, upstreams, start)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 140, 620} {
		for _, prompt := range []struct {
			name   string
			tokens int
		}{{"short", 800}, {"long", 50_000}} {
			b.Run(fmt.Sprintf("%d upstreams/%s prompt", n, prompt.name), func(b *testing.B) {
				upstreams := newUpstreams(n)
				p := newPlanner(330, upstreams)
				peers := Figures{}
				for i, u := range upstreams {
					peers[lifetimeKey(u)] = []float32{float32(i), 4, 1, 1, 5, 1, 5, 1, 3, 1}
				}
				p.SetPeers(peers, start)
				calls := make([]*request.Call, 64)
				for i := range calls {
					calls[i] = newCall(fmt.Sprint(i), fmt.Sprint(i%16), 500, prompt.tokens, start)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					p.Choose(calls[i%len(calls)], upstreams, start)
				}
			})
		}
	}
}
