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
)

// releaseDay is a simulated rollout: perSecond requests are spread over five instances and two routes.
type releaseDay struct {
	name      string
	perSecond float64
	// oldFails is the rate of failures of the old release.
	oldFails float64
	// fails is the rate of failures of the new release, at the time since the order and the share of the requests that it gets.
	fails func(elapsed clock.Millis, share float64, route string) float64
	bad   bool
}

// releaseOutcome is what a simulated rollout came to; revertedAfter counts from the 50th bad answer.
type releaseOutcome struct {
	requests, exposed int
	state             catalogue.ReleaseState
	revertedAfter     clock.Millis
	badAnswers        int
}

// simulateRollout plays a day until the end of the rollout's span.
func simulateRollout(d releaseDay, seed int64) releaseOutcome {
	rng := rand.New(rand.NewSource(seed))
	rollout := &catalogue.ReleaseRollout{
		ReleaseOrder: catalogue.ReleaseOrder{Service: "lm", Target: "v2", Span: simSpan}, State: catalogue.ReleaseRunning, Canary: 0.06,
	}
	comparisons := make([]*rating.Comparison, 5)
	for i := range comparisons {
		comparisons[i] = &rating.Comparison{}
	}
	out := releaseOutcome{state: catalogue.ReleaseRunning}
	owed := 0.0
	var badSince clock.Millis
	for now := clock.Millis(0); now < simSpan; now += simTick {
		share := rollout.Share(now)
		for owed += d.perSecond * float64(simTick) / float64(clock.Second); owed >= 1; owed-- {
			out.requests++
			onTarget := rng.Float64() < share
			route, fails := "a", d.oldFails
			if rng.Intn(3) == 0 {
				route = "b"
			}
			if onTarget {
				out.exposed++
				fails = d.fails(now, share, route)
			}
			result := request.ResultComplete
			if rng.Float64() < fails {
				result = request.ResultFailed
			}
			if onTarget && result == request.ResultFailed && d.bad {
				if out.badAnswers++; out.badAnswers == simBadCount {
					badSince = now
				}
			}
			comparisons[rng.Intn(len(comparisons))].RecordAttempt(route, fmt.Sprint("u", rng.Intn(4)), onTarget, result, false)
		}
		if now%simExchange == 0 {
			exchangeCounts(comparisons)
		}
		if now%rolloutPeriod != 0 || rollout.State != catalogue.ReleaseRunning {
			continue
		}
		switch {
		case comparisons[0].Verdict().Bad:
			rollout.State = catalogue.ReleaseReverted
			out.revertedAfter = now - badSince
		case now >= clock.Millis(completeFraction*float64(simSpan)):
			rollout.State = catalogue.ReleaseCompleted
		}
		out.state = rollout.State
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

// A release that fails only once it has all requests was completed, with several times the requests that a bad one may get: answers
// from before the load diluted those since, and the schedule didn't know the exposure that is allowed.
func TestReleaseBadUnderLoad(t *testing.T) {
	underLoad := func(_ clock.Millis, share float64, _ string) float64 {
		if share >= 0.9 {
			return 0.65
		}
		return 0.14
	}
	for _, d := range []releaseDay{
		{"few requests", 22, 0.14, underLoad, true},
		{"many requests", 120, 0.14, underLoad, true},
		{"half of the answers fail", 36, 0.14, func(_ clock.Millis, share float64, _ string) float64 {
			if share >= 0.4 {
				return 0.5
			}
			return 0.14
		}, true},
		{"no answer that fails", 36, 0.14, func(clock.Millis, float64, string) float64 { return 0.14 }, true},
	} {
		t.Run(d.name, func(t *testing.T) {
			for seed := range int64(5) {
				out := simulateRollout(d, seed)
				if allowed := simShare*float64(out.requests) + simSlack; float64(out.exposed) > allowed {
					t.Errorf("seed %d: the bad release got %d of %d requests, allowed %.0f", seed, out.exposed, out.requests, allowed)
				}
				if out.badAnswers >= simBadCount && (out.state != catalogue.ReleaseReverted || out.revertedAfter > simRevert) {
					t.Errorf("seed %d: %s, %d ms after the 50th bad answer, want Reverted within %d ms", seed, out.state, out.revertedAfter, simRevert)
				}
			}
		})
	}
}
