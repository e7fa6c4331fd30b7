package gateway

import (
	"fmt"
	"math/rand"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/rating"
	"carawayknot.example/carawayknot/pkg/request"
)

// The exposure that a bad release may get in the simulation, and the time after its 50th bad answer until it must be reverted.
const (
	simShare                 = 0.15
	simSlack                 = 30.0
	simRevert   clock.Millis = 5000
	simBadCount              = 50
	simSpan     clock.Millis = 18_000
	simTick     clock.Millis = 10
	simExchange clock.Millis = 350
	// simAnswer is the time that a sound answer usually takes.
	simAnswer clock.Millis = 700
	// simLate is the time after which an answer is late.
	simLate = 3 * simAnswer
)

// simRates are the rates of failed and late answers; bad ones count toward the 50.
type simRates struct {
	failed, late float64
	bad          bool
}

// releaseDay is a simulated rollout: perSecond requests are spread over five instances, two routes and four upstreams of each release.
type releaseDay struct {
	name      string
	perSecond func(elapsed clock.Millis) float64
	// old and target give the rates of the releases, at the time since the order, and the share of the requests of the new one.
	old    func(elapsed clock.Millis) simRates
	target func(elapsed clock.Millis, share float64, route string) simRates
	// want is the state before the end of the span, or empty if both are right.
	want catalogue.ReleaseState
	// answerTime is how long a late answer takes, and one in time; nil means that all come at once.
	answerTime func(late bool) clock.Millis
	// restarts has the times at which the instances start again, one after the other.
	restarts []clock.Millis
	// neverCompleted is true if the rollout must not be completed, although it need not be reverted before the end of the span.
	neverCompleted bool
}

// simAttempt is an attempt of the simulation; at is the instance that made it, of the given incarnation.
type simAttempt struct {
	at, incarnation int
	route, upstream string
	onTarget, late  bool
	bad             bool
	result          request.Result
	endsAt          clock.Millis
	awaited         *rating.Awaited
}

// simInstances are the instances of the simulation.
type simInstances struct {
	comparisons []*rating.Comparison
	shifts      []rating.Shift
	// incarnations counts the starts of each instance, and startedAt has the time of the last one.
	incarnations []int
	startedAt    []clock.Millis
	pending      []*simAttempt
}

func newSimInstances(n int) *simInstances {
	in := &simInstances{comparisons: make([]*rating.Comparison, n), shifts: make([]rating.Shift, n), incarnations: make([]int, n), startedAt: make([]clock.Millis, n)}
	for i := range in.comparisons {
		in.comparisons[i] = &rating.Comparison{}
	}
	return in
}

// restart starts an instance again, which loses what it knew and what it had sent.
func (in *simInstances) restart(i int, now clock.Millis) {
	in.comparisons[i], in.shifts[i] = &rating.Comparison{}, rating.Shift{}
	in.incarnations[i]++
	in.startedAt[i] = now
}

// send begins an attempt.
func (in *simInstances) send(a *simAttempt, now clock.Millis) {
	a.incarnation = in.incarnations[a.at]
	in.comparisons[a.at].RecordSend(a.onTarget)
	a.awaited = in.comparisons[a.at].Await(a.route, a.upstream, a.onTarget, now+simLate)
	in.pending = append(in.pending, a)
}

// end records the attempts that have ended by now, and returns how many of them were bad.
func (in *simInstances) end(now clock.Millis) (bad int) {
	rest := in.pending[:0]
	for _, a := range in.pending {
		if a.endsAt > now {
			rest = append(rest, a)
			continue
		}
		if a.incarnation != in.incarnations[a.at] {
			continue
		}
		in.comparisons[a.at].Ended(a.awaited, a.result, a.late)
		if a.bad {
			bad++
		}
	}
	in.pending = rest
	return bad
}

// releaseOutcome is what a simulated rollout came to; badFor is how long the release went on after its 50th bad answer.
type releaseOutcome struct {
	requests, exposed int
	state             catalogue.ReleaseState
	badFor            clock.Millis
}

// simulateRollout plays a day until the end of the rollout's span.
func simulateRollout(d releaseDay, seed int64) releaseOutcome {
	rng := rand.New(rand.NewSource(seed))
	rollout := &catalogue.ReleaseRollout{
		ReleaseOrder: catalogue.ReleaseOrder{Service: "lm", Target: "v2", Span: simSpan}, State: catalogue.ReleaseRunning, Canary: 0.06,
	}
	instances := newSimInstances(5)
	budget := rating.ExposureBudget{Share: simShare, Slack: simSlack}
	out := releaseOutcome{state: catalogue.ReleaseRunning}
	owed := 0.0
	badAnswers, badSince := 0, simSpan
	for now := clock.Millis(0); now < simSpan; now += simTick {
		for i, at := range d.restarts {
			if at == now {
				instances.restart(i%len(instances.comparisons), now)
			}
		}
		for owed += d.perSecond(now) * float64(simTick) / float64(clock.Second); owed >= 1; owed-- {
			out.requests++
			at := rng.Intn(len(instances.comparisons))
			share := rollout.Share(now, instances.shifts[at].Share(rollout.Canary))
			onTarget := rng.Float64() < share
			route, rates := "a", d.old(now)
			if rng.Intn(3) == 0 {
				route = "b"
			}
			if onTarget {
				out.exposed++
				rates = d.target(now, share, route)
			}
			result, late := request.ResultComplete, false
			switch p := rng.Float64(); {
			case p < rates.failed:
				result = request.ResultFailed
			case p < rates.failed+rates.late:
				late = true
			}
			a := &simAttempt{at: at, route: route, upstream: fmt.Sprint("u", rng.Intn(4)), onTarget: onTarget, late: late, result: result, endsAt: now}
			a.bad = onTarget && rates.bad && (late || result == request.ResultFailed)
			if d.answerTime != nil {
				a.endsAt += d.answerTime(late)
			}
			instances.send(a, now)
		}
		before := badAnswers
		if badAnswers += instances.end(now); before < simBadCount && badAnswers >= simBadCount {
			badSince = now
		}
		if now%simExchange == 0 {
			exchangeCounts(instances.comparisons)
		}
		if now%rolloutPeriod != 0 || rollout.State != catalogue.ReleaseRunning {
			continue
		}
		for i, k := range instances.comparisons {
			k.Advance(now)
			v := k.Verdict()
			if v.Bad {
				rollout.State = catalogue.ReleaseReverted
				out.badFor = now - badSince
				break
			}
			if !rollout.KeepsSessions(now) && !v.Suspect {
				instances.shifts[i].Advance(now, budget, k.Exposure(rollout.Left(now)))
			}
			needed := soundnessNeeded(budget, k.Exposure(rollout.Left(now)), rollout, instances.startedAt[i])
			if !v.Doubt && k.PeersKnown() && v.Soundness >= needed && now >= completionTime(rollout, &instances.shifts[i], simShare, float64(i)/float64(len(instances.comparisons)), 6) {
				rollout.State = catalogue.ReleaseCompleted
				break
			}
		}
		out.state = rollout.State
	}
	if out.state != catalogue.ReleaseReverted {
		out.badFor = simSpan - badSince
	}
	return out
}

// exchangeCounts gives each comparison the sums of the others.
func exchangeCounts(comparisons []*rating.Comparison) {
	for _, k := range comparisons {
		sum := map[string]float32{}
		for _, other := range comparisons {
			if other == k {
				continue
			}
			counts := map[string]float32{}
			other.AddOwnCounts("lm ", counts)
			for key, n := range counts {
				sum[key] += n
			}
		}
		k.SetPeerCounts("lm ", sum)
	}
}

func steady(perSecond float64) func(clock.Millis) float64 {
	return func(clock.Millis) float64 { return perSecond }
}

func burst(perSecond, factor float64, from, to clock.Millis) func(clock.Millis) float64 {
	return func(elapsed clock.Millis) float64 {
		if elapsed >= from && elapsed < to {
			return factor * perSecond
		}
		return perSecond
	}
}

// silences returns the rate of late answers while half of the upstreams are silent for 1.6 s.
func silences(elapsed clock.Millis) float64 {
	for _, at := range []clock.Millis{4000, 10_000, 14_600} {
		if elapsed >= at && elapsed < at+1600 {
			return 0.5
		}
	}
	return 0
}

// A release that fails only once it has all requests was completed, with several times the requests that a bad one may get: answers
// from before the load diluted those since, and the schedule didn't know the exposure that is allowed.
func TestReleaseBadUnderLoad(t *testing.T) {
	const usual = 0.14
	old := func(clock.Millis) simRates { return simRates{failed: usual} }
	when := func(least float64, rates simRates) func(clock.Millis, float64, string) simRates {
		return func(_ clock.Millis, share float64, _ string) simRates {
			if share >= least {
				return rates
			}
			return simRates{failed: usual}
		}
	}
	fails, halfFails := simRates{failed: 0.65, bad: true}, simRates{failed: 0.5, bad: true}
	late := simRates{failed: usual, late: 0.5, bad: true}
	checkRollouts(t, []releaseDay{
		{name: "few requests", perSecond: steady(22), old: old, target: when(0.9, fails)},
		{name: "many requests", perSecond: steady(120), old: old, target: when(0.9, fails), want: catalogue.ReleaseReverted},
		{name: "half of the answers fail", perSecond: steady(36), old: old, target: when(0.4, halfFails)},
		{name: "half of the answers fail from the first step", perSecond: steady(120), old: old, target: when(0.2, halfFails), want: catalogue.ReleaseReverted},
		{name: "late answers from the first step", perSecond: steady(120), old: old, target: when(0.2, late)},
		{name: "no answer that fails", perSecond: steady(36), old: old, target: when(2, fails)},
		{name: "no answer that fails, and a burst at the end", perSecond: burst(36, 1.5, 16_500, simSpan), old: old, target: when(2, fails)},
		{name: "no answer that fails, and bursts", perSecond: burst(120, 3, 5000, 9000), old: old, target: when(2, fails)},
		{name: "hardly any requests", perSecond: steady(3), old: old, target: when(2, fails)},
	})
}

func TestReleaseBad(t *testing.T) {
	good := func(clock.Millis) simRates { return simRates{} }
	always := func(r simRates) func(clock.Millis, float64, string) simRates {
		return func(clock.Millis, float64, string) simRates { return r }
	}
	checkRollouts(t, []releaseDay{
		{name: "failures", perSecond: steady(36), old: good, target: always(simRates{failed: 0.6, bad: true}), want: catalogue.ReleaseReverted},
		{name: "late answers", perSecond: steady(60), old: good, target: always(simRates{late: 0.6, bad: true}), want: catalogue.ReleaseReverted},
		{name: "late answers while upstreams of both releases are silent", perSecond: steady(60), old: func(at clock.Millis) simRates {
			return simRates{late: silences(at)}
		}, target: func(at clock.Millis, _ float64, _ string) simRates {
			return simRates{late: 0.6 + 0.4*silences(at), bad: true}
		}, want: catalogue.ReleaseReverted},
		{name: "one route only", perSecond: steady(60), old: good, target: func(_ clock.Millis, _ float64, route string) simRates {
			return simRates{failed: map[string]float64{"b": 0.6}[route], bad: true}
		}, want: catalogue.ReleaseReverted},
		{name: "failures from the middle of the span", perSecond: steady(60), old: good, target: func(at clock.Millis, _ float64, _ string) simRates {
			if at < 9000 {
				return simRates{}
			}
			return simRates{failed: 0.5, bad: true}
		}, want: catalogue.ReleaseReverted},
	})
}

// eightfold returns the time of an answer of a release that is slow at times.
func eightfold(late bool) clock.Millis {
	if late {
		return 8 * simAnswer
	}
	return simAnswer
}

// A release whose answers outlast the steps of its share was completed on the few that came early, because nothing spoke against it yet.
func TestSlowReleaseIsNotCompletedUnseen(t *testing.T) {
	good := func(clock.Millis) simRates { return simRates{} }
	slow := func(clock.Millis, float64, string) simRates { return simRates{late: 0.5, bad: true} }
	checkRollouts(t, []releaseDay{
		{name: "few requests", perSecond: steady(12), old: good, target: slow, answerTime: eightfold, neverCompleted: true},
		{name: "some requests", perSecond: steady(36), old: good, target: slow, answerTime: eightfold, neverCompleted: true},
		{name: "many requests", perSecond: steady(120), old: good, target: slow, answerTime: eightfold, neverCompleted: true},
	})
}

// The evidence against a release left with the instances that had it, and one that had just started completed the rollout.
func TestBadReleaseWhileInstancesRestart(t *testing.T) {
	const usual = 0.14
	old := func(clock.Millis) simRates { return simRates{failed: usual} }
	target := func(rates simRates) func(clock.Millis, float64, string) simRates {
		return func(clock.Millis, float64, string) simRates { return rates }
	}
	inTurn := []clock.Millis{3000, 6000, 9000, 12_000, 15_000}
	atTheEnd := []clock.Millis{13_000, 14_000, 15_000, 16_000, 16_800}
	often := []clock.Millis{1000, 3000, 5000, 7000, 9000, 11_000, 13_000, 15_000, 16_800}
	slow := simRates{late: 0.5, bad: true}
	half, third := simRates{failed: 0.5, bad: true}, simRates{failed: 0.42, bad: true}
	checkRollouts(t, []releaseDay{
		{name: "half of the answers fail", perSecond: steady(36), old: old, target: target(half), restarts: inTurn, neverCompleted: true},
		{name: "few requests", perSecond: steady(12), old: old, target: target(half), restarts: atTheEnd, neverCompleted: true},
		{name: "slow answers", perSecond: steady(22), old: func(clock.Millis) simRates { return simRates{} }, target: target(slow), answerTime: eightfold, restarts: often, neverCompleted: true},
		{name: "two fifths of the answers fail", perSecond: steady(36), old: old, target: target(third), restarts: atTheEnd, neverCompleted: true},
	})
}

// A good release must be completed before the span ends.
func TestReleaseGood(t *testing.T) {
	rates := func(r simRates) (old func(clock.Millis) simRates, target func(clock.Millis, float64, string) simRates) {
		return func(clock.Millis) simRates { return r }, func(clock.Millis, float64, string) simRates { return r }
	}
	old, target := rates(simRates{})
	oldFew, targetFew := rates(simRates{failed: 0.02, late: 0.02})
	silent := func(at clock.Millis) simRates { return simRates{late: silences(at)} }
	checkRollouts(t, []releaseDay{
		{name: "steady", perSecond: steady(36), old: old, target: target, want: catalogue.ReleaseCompleted},
		{name: "a few requests", perSecond: steady(5), old: old, target: target, want: catalogue.ReleaseCompleted},
		{name: "many requests", perSecond: steady(400), old: old, target: target, want: catalogue.ReleaseCompleted},
		{name: "a burst", perSecond: burst(36, 3, 6000, 12_000), old: old, target: target, want: catalogue.ReleaseCompleted},
		{name: "a burst at the end", perSecond: burst(36, 1.5, 16_500, simSpan), old: old, target: target, want: catalogue.ReleaseCompleted},
		{name: "some failures and late answers", perSecond: steady(60), old: oldFew, target: targetFew},
		{name: "silences of both releases", perSecond: steady(60), old: silent, target: func(at clock.Millis, _ float64, _ string) simRates { return silent(at) }, want: catalogue.ReleaseCompleted},
		{name: "answers that take their time", perSecond: steady(36), old: old, target: target, want: catalogue.ReleaseCompleted, answerTime: func(bool) clock.Millis { return simAnswer }},
		{name: "restarts in turn", perSecond: steady(60), old: old, target: target, want: catalogue.ReleaseCompleted, restarts: []clock.Millis{3000, 6000, 9000, 12_000, 15_000}},
		{name: "a silence of the new release alone", perSecond: steady(60), old: old, target: func(at clock.Millis, _ float64, _ string) simRates {
			if at >= 14_600 && at < 16_200 {
				return simRates{late: 0.5}
			}
			return simRates{}
		}, want: catalogue.ReleaseCompleted},
	})
}

// checkRollouts plays each day with several seeds, and checks the exposure, the time to the revert, and the state.
func checkRollouts(t *testing.T, days []releaseDay) {
	for _, d := range days {
		t.Run(d.name, func(t *testing.T) {
			for seed := range int64(5) {
				out := simulateRollout(d, seed)
				if allowed := simShare*float64(out.requests) + simSlack; float64(out.exposed) > allowed {
					t.Errorf("seed %d: the new release got %d of %d requests, allowed %.0f", seed, out.exposed, out.requests, allowed)
				}
				if out.badFor > simRevert {
					t.Errorf("seed %d: the new release went on for %d ms after its 50th bad answer, want at most %d", seed, out.badFor, simRevert)
				}
				if d.neverCompleted && out.state == catalogue.ReleaseCompleted {
					t.Errorf("seed %d: the new release was completed", seed)
				}
				if d.want != "" && out.state != d.want {
					t.Errorf("seed %d: %s at the end of the span, want %s", seed, out.state, d.want)
				}
			}
		})
	}
}

// The store confirmed the completion of a good release only after the span, because it took 50 times its usual time for each answer.
func TestCompletionTime(t *testing.T) {
	rollout := &catalogue.ReleaseRollout{ReleaseOrder: catalogue.ReleaseOrder{Span: 20_000}, StartedAt: 1000}
	for _, c := range []struct {
		name   string
		spread float64
		store  clock.Millis
		want   clock.Millis
	}{
		{"the first instance", 0, 6, 20_400},
		{"the last instance", 1, 6, 20_610},
		{"a slow store", 0, 300, 19_800},
		{"the last instance beside a slow store", 1, 300, 20_100},
		{"a very slow store", 0, 5000, 19_800},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := completionTime(rollout, &rating.Shift{}, simShare, c.spread, c.store); got != c.want {
				t.Errorf("completionTime() = %d, want %d", got, c.want)
			}
		})
	}
}
