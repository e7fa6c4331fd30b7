package trace

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// buildJemaa generates fifteen minutes of long completions and chats, with two rollouts.
func (g *generator) buildJemaa() {
	t := g.trace
	t.Note = "kilim-l@8 is rolled out in steps and turns bad at half share; the roll-out of kilim-s@2 stops half done."
	t.Duration = 900 * clock.Second
	t.Ratings = RatingSampling{Share: 0.4, MinDelay: 3 * clock.Second, MaxDelay: 20 * clock.Second}
	t.Stated = []OutcomeBound{
		{Measure: MeasureCostOverOracle, AtMost: 1.05},
		{Measure: MeasureQualityShortfall, AtMost: 0.01},
		{Measure: MeasureExposureOverIdeal, AtMost: 1.5},
		{Measure: MeasureFailed, AtMost: 0},
		{Measure: MeasureAttemptsPerRequest, AtMost: 1.1},
		{Measure: MeasureColdFallOvers, AtMost: 0},
		{Measure: MeasureFalseFindings, AtMost: 0},
	}
	g.addMembers(8, jemaaZones)
	g.addJemaaVersions()
	g.addJemaaUpstreams()
	g.addJemaaProfiles()
	g.addJemaaEvents()
	g.addJemaaRequests()
}

func (g *generator) addJemaaVersions() {
	smallModel := func(history int) []taskQuality {
		return []taskQuality{
			{"dossier", 0.70, 0.72, 0.14, history}, {"stock", 0.80, 0.81, 0.12, history}, {"tags", 0.82, 0.83, 0.14, history},
		}
	}
	largeModel := func(history int) []taskQuality {
		return []taskQuality{
			{"dossier", 0.92, 0.92, 0.08, history}, {"stock", 0.93, 0.93, 0.08, history}, {"tags", 0.94, 0.94, 0.08, history},
		}
	}
	g.addVersion("kilim-s@1", 100_000, 400_000, 120, 8, smallModel(1000))
	g.addVersion("kilim-s@2", 100_000, 400_000, 120, 8, smallModel(0))
	g.addVersion("kilim-m@4", 500_000, 1_500_000, 180, 14, []taskQuality{
		{"dossier", 0.86, 0.82, 0.12, 1000}, {"stock", 0.87, 0.88, 0.10, 1000}, {"tags", 0.89, 0.89, 0.10, 1000},
	})
	g.addVersion("kilim-l@7", 2_000_000, 8_000_000, 260, 22, largeModel(1000))
	g.addVersion("kilim-l@8", 2_000_000, 8_000_000, 260, 22, largeModel(0))
}

func (g *generator) addJemaaUpstreams() {
	versionSets := [][]catalogue.VersionID{
		{"kilim-s@1", "kilim-m@4"},
		{"kilim-m@4", "kilim-l@7", "kilim-l@8"},
		{"kilim-s@1", "kilim-l@7", "kilim-l@8"},
	}
	g.addEngines(12, jemaaZones, func(i int) []catalogue.VersionID { return versionSets[i/4] })
	g.addReplicas("shopfront", jemaaZones)
}

func (g *generator) addJemaaProfiles() {
	c := &g.trace.Configuration
	c.Profiles = []catalogue.Profile{
		{Name: "provenance", Task: "dossier", Quality: 0.90, MaxCost: 30000, Priority: 3, Cascade: true, Explore: 0.03},
		{Name: "stall", Task: "stock", Quality: 0.78, MaxCost: 5000, Priority: 8, Explore: 0.03},
		{Name: "tagging", Task: "tags", Quality: 0.78, MaxCost: 2000, Priority: 1, Cascade: true, Explore: 0.03},
	}
	c.Services = []catalogue.Service{{Name: "shopfront", Priority: 10}}
	g.addWorkspaces(jemaaLargeWorkspaces, 200, 60)
	g.addWorkspaces(jemaaSmallWorkspaces, 80, 40)
}

var (
	jemaaZones           = []string{"a", "b", "c", "d"}
	jemaaLargeWorkspaces = []string{"dossier-room", "tunis-stalls", "kairouan-stalls"}
	jemaaSmallWorkspaces = []string{"sfax", "gabes", "mahdia", "tozeur", "weavers", "buyers", "volunteers"}
)

func (g *generator) addJemaaEvents() {
	largeRollout := func(at clock.Millis, share float64) Event {
		r := &catalogue.Rollout{Model: "kilim-l", From: "kilim-l@7", To: "kilim-l@8", Share: share}
		return Event{At: at, Kind: EventRollout, Rollout: r}
	}
	smallRollout := func(at clock.Millis, share float64) Event {
		r := &catalogue.Rollout{Model: "kilim-s", From: "kilim-s@1", To: "kilim-s@2", Share: share}
		return Event{At: at, Kind: EventRollout, Rollout: r}
	}
	events := []Event{largeRollout(0, 0), smallRollout(0, 0), largeRollout(60*clock.Second, 0.1), largeRollout(150*clock.Second, 0.5)}
	events = append(events, Event{At: 300 * clock.Second, Kind: EventQualityShift, Version: "kilim-l@8", Change: -0.25})
	// The rollout of the small model loads the new version on four of eight engines and is then abandoned.
	for i, name := range []string{"engine-1", "engine-2", "engine-9", "engine-10"} {
		at := 500*clock.Second + clock.Millis(i)*5*clock.Second
		events = append(events, Event{At: at, Kind: EventLoad, Upstream: name, Version: "kilim-s@2"})
	}
	events = append(events,
		smallRollout(530*clock.Second, 0.5),
		Event{At: 560 * clock.Second, Kind: EventUnload, Upstream: "engine-1", Version: "kilim-s@1"},
		Event{At: 565 * clock.Second, Kind: EventUnload, Upstream: "engine-9", Version: "kilim-s@1"},
		Event{At: 700 * clock.Second, Kind: EventColdStart, Upstream: "engine-6"},
	)
	g.trace.Events = events
}

func (g *generator) addJemaaRequests() {
	t := g.trace
	workspaces := append(append([]string{}, jemaaLargeWorkspaces...), jemaaSmallWorkspaces...)
	session := 0
	g.poissonArrivals(0, t.Duration, 0.3, func(at clock.Millis) {
		session++
		g.addSession(at, g.pickSkewed(workspaces), "stall", fmt.Sprintf("s%d", session), g.intBetween(1, 5), t.Duration)
	})
	g.poissonArrivals(0, t.Duration, 1.3, func(at clock.Millis) {
		g.addCompletion(at, g.pickSkewed(workspaces), "provenance", g.intBetween(500, 1500), g.intBetween(400, 800), 90*clock.Second)
	})
	g.poissonArrivals(0, t.Duration, 0.8, func(at clock.Millis) {
		g.addCompletion(at, g.pickSkewed(workspaces), "tagging", g.intBetween(80, 250), g.intBetween(8, 20), 60*clock.Second)
	})
	g.poissonArrivals(0, t.Duration, 0.25, func(at clock.Millis) { g.addServiceCall(at, g.pickSkewed(workspaces), "shopfront") })
}

// buildOutage generates 150 s of the chai-houses workload; every upstream refuses all requests for 60 s of it.
func (g *generator) buildOutage() {
	g.buildChaiHouses()
	t := g.trace
	t.Note = "Every upstream refuses its work from 60 s to 120 s; the retries must not make a storm."
	t.Duration = 150 * clock.Second
	t.Stated = []OutcomeBound{{Measure: MeasureAttemptsWhileFailing, AtMost: 1.1}, {Measure: MeasureFalseFindings, AtMost: 0}}
	t.Events = []Event{{At: 60 * clock.Second, Kind: EventFail}, {At: 120 * clock.Second, Kind: EventHeal}}
	t.Requests = nil
	g.addChaiRequests()
}
