package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// countedRequestCrashes is the number of crashes under one request after which at most maxLateSends more may be sent.
	countedRequestCrashes = 3
	// maxQuarantinedShare is the largest share of sound requests that may be refused for a quarantine.
	maxQuarantinedShare = 0.001
)

// plainCall returns a call of a route without prompts; calls with the same body are the same request.
func plainCall(id, body string, repeatable bool) *request.Call {
	return &request.Call{
		Request: &request.Request{ID: id, Method: "POST", Host: "shop", Path: "/stock", Target: "/stock", Workspace: "stall", Body: []byte(body)},
		Route: &catalogue.Route{
			Name: "stock", Repeatable: repeatable, MaxAttempts: 3, Target: 100, Split: []catalogue.Split{{Service: "lm", Weight: 1}},
		},
	}
}

// always returns calls that are the same request each time.
func always(body string, repeatable bool) func(i int) *request.Call {
	return func(i int) *request.Call { return plainCall(fmt.Sprint(body, " ", i), body, repeatable) }
}

// different returns calls that are another request each time.
func different(repeatable bool) func(i int) *request.Call {
	return func(i int) *request.Call {
		id := fmt.Sprint("sound ", repeatable, " ", i)
		return plainCall(id, id, repeatable)
	}
}

// checkQuarantined asserts that few sound requests are refused for a quarantine.
func (f *crashFleet) checkQuarantined() {
	f.t.Helper()
	refused := 0
	for _, s := range f.sound {
		if s.quarantined {
			refused++
		}
	}
	if allowed := 1 + int(maxQuarantinedShare*float64(len(f.sound))); refused > allowed {
		f.t.Errorf("%d of %d sound requests were refused for a quarantine, want at most %d", refused, len(f.sound), allowed)
	}
}

// Guards against a request under which upstreams crash ending one upstream after the other each time it comes again, at any instance.
func TestCrashingRequestStopsAfterAFewUpstreams(t *testing.T) {
	const lasting = 30 * time.Second
	for _, c := range []struct {
		name      string
		upstreams int
		maxEnds   int
		scenario  func(f *crashFleet)
	}{
		{"a plain request among others", 4, maxCrashes, func(f *crashFleet) {
			f.callEvery(30, lasting, true, different(true))
			f.crashUnder("poison")
			f.callEvery(5, lasting, false, always("poison", true))
		}},
		{"a plain request that must not be repeated", 4, maxCrashes, func(f *crashFleet) {
			f.callEvery(30, lasting, true, different(false))
			f.crashUnder("poison")
			f.callEvery(5, lasting, false, always("poison", false))
		}},
		{"beside a sound request that comes often", 4, maxCrashes, func(f *crashFleet) {
			f.callEvery(20, lasting, true, different(true))
			f.callEvery(15, lasting, true, always("polled", true))
			f.crashUnder("poison")
			f.callEvery(5, lasting, false, always("poison", true))
		}},
		{"two plain requests at once", 8, 2 * maxCrashes, func(f *crashFleet) {
			f.callEvery(30, lasting, true, different(true))
			f.crashUnder("poison", "other")
			f.callEvery(5, lasting, false, always("poison", true))
			f.callEvery(5, lasting, false, always("other", true))
		}},
		{"a whole prompt whose shared part others have", 12, maxCrashes, func(f *crashFleet) {
			f.sendEvery(30, lasting, true, func(int) []string { return []string{"common"} })
			f.crashUnder("prompt of poison")
			f.callEvery(5, lasting, false, func(i int) *request.Call {
				c := f.promptOf("poison", "common")
				c.Request.ID = fmt.Sprint("poison ", i)
				return c
			})
		}},
	} {
		for seed := range simulationSeeds(4) {
			t.Run(fmt.Sprint(c.name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCrashFleet(t, seed, 7, c.upstreams)
					f.countedCrashes = countedRequestCrashes
					f.exchangeReports(lasting)
					c.scenario(f)
					f.wg.Wait()
					f.check(c.maxEnds)
					f.checkQuarantined()
				})
			})
		}
	}
}

// Guards against the blame for a crash staying with a sound request that was at the upstreams that crashed.
func TestSoundRequestsAreServedSoonAfterACrash(t *testing.T) {
	const limit = 2 * clock.Second
	m := clock.NewManual(100_000)
	s := newSuspects(m)
	for range suspectCrashes {
		if _, refusal := crashCall(s, plainCall("r", "sound", true)); refusal != nil {
			t.Fatal(refusal)
		}
		m.Advance(clock.Second / 2)
	}
	m.Advance(limit)
	if refusal := s.Admit(&SuspectWatch{}, plainCall("r", "sound", true)); refusal != nil {
		t.Errorf("Admit() %d ms after the last crash refused with %v", limit, refusal)
	}
}
