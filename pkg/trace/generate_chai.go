package trace

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// buildChaiHouses generates ten minutes of interactive traffic with bursts; a zone is evacuated during one of them.
func (g *generator) buildChaiHouses() {
	t := g.trace
	t.Note = "Groups arrive in bursts; zone b is taken out during one, stops 15 s later, and returns during the next."
	t.Duration = 600 * clock.Second
	t.Ratings = RatingSampling{Share: 0.25, MinDelay: 3 * clock.Second, MaxDelay: 20 * clock.Second}
	t.Stated = []OutcomeBound{
		{Measure: MeasureCostOverOracle, AtMost: 1.05},
		{Measure: MeasureQualityShortfall, AtMost: 0.01},
		{Measure: MeasureFailedByZoneMove, AtMost: 0},
		{Measure: MeasureRaisedSeconds, AtMost: 2},
		{Measure: MeasureAttemptsPerRequest, AtMost: 1.1},
		{Measure: MeasureColdFallOvers, AtMost: 0},
		{Measure: MeasureFalseFindings, AtMost: 0},
	}
	g.addMembers(8, chaiZones)
	g.addChaiVersions()
	g.addChaiUpstreams()
	g.addChaiProfiles()
	t.Events = []Event{
		{At: 243 * clock.Second, Kind: EventZoneOut, Zone: "b"},
		{At: 258 * clock.Second, Kind: EventZoneStop, Zone: "b"},
		{At: 364 * clock.Second, Kind: EventZoneStart, Zone: "b"},
		{At: 366 * clock.Second, Kind: EventZoneIn, Zone: "b"},
		{At: 480 * clock.Second, Kind: EventColdStart, Upstream: "engine-1"},
	}
	g.addChaiRequests()
}

func (g *generator) addChaiVersions() {
	g.addVersion("baobab-s@1", 100_000, 400_000, 120, 8, []taskQuality{
		{"chat-sw", 0.66, 0.62, 0.15, 1000}, {"chat-en", 0.74, 0.81, 0.12, 1000},
		{"notes", 0.70, 0.72, 0.14, 1000}, {"tags", 0.84, 0.82, 0.15, 1000},
	})
	g.addVersion("baobab-m@3", 500_000, 1_500_000, 180, 14, []taskQuality{
		{"chat-sw", 0.82, 0.84, 0.12, 1000}, {"chat-en", 0.88, 0.88, 0.10, 1000},
		{"notes", 0.87, 0.82, 0.12, 1000}, {"tags", 0.90, 0.88, 0.10, 1000},
	})
	g.addVersion("baobab-l@2", 2_000_000, 8_000_000, 260, 22, []taskQuality{
		{"chat-sw", 0.90, 0.91, 0.08, 1000}, {"chat-en", 0.92, 0.92, 0.08, 1000},
		{"notes", 0.91, 0.92, 0.08, 1000}, {"tags", 0.93, 0.93, 0.08, 1000},
	})
}

func (g *generator) addChaiUpstreams() {
	versionPairs := [][]catalogue.VersionID{
		{"baobab-s@1", "baobab-m@3"},
		{"baobab-m@3", "baobab-l@2"},
		{"baobab-s@1", "baobab-l@2"},
	}
	g.addEngines(10, chaiZones, func(i int) []catalogue.VersionID { return versionPairs[(i/3)%3] })
	g.addReplicas("booking-desk", chaiZones)
}

func (g *generator) addChaiProfiles() {
	c := &g.trace.Configuration
	c.Profiles = []catalogue.Profile{
		{Name: "guest-sw", Task: "chat-sw", Quality: 0.80, MaxCost: 5000, Priority: 8, Explore: 0.03},
		{Name: "guest-en", Task: "chat-en", Quality: 0.78, MaxCost: 5000, Priority: 8, Explore: 0.03},
		{Name: "tasting", Task: "notes", Quality: 0.85, MaxCost: 20000, Priority: 5, Cascade: true, Explore: 0.03},
		{Name: "tagging", Task: "tags", Quality: 0.78, MaxCost: 2000, Priority: 2, Cascade: true, Explore: 0.03},
	}
	c.Services = []catalogue.Service{{Name: "booking-desk", Priority: 10}}
	g.addWorkspaces(chaiLargeWorkspaces, 200, 60)
	g.addWorkspaces(chaiSmallWorkspaces, 80, 40)
}

var (
	chaiZones           = []string{"a", "b", "c"}
	chaiLargeWorkspaces = []string{"moshi-front-desk", "arusha-front-desk", "safari-agents"}
	chaiSmallWorkspaces = []string{"concierge-a", "concierge-b", "concierge-c", "marangu", "machame", "usa-river", "guests"}
)

func (g *generator) addChaiRequests() {
	t := g.trace
	workspaces := append(append([]string{}, chaiLargeWorkspaces...), chaiSmallWorkspaces...)
	session := 0
	addVisit := func(at clock.Millis) {
		session++
		profile := "guest-sw"
		if g.rand.Float64() < 0.55 {
			profile = "guest-en"
		}
		g.addSession(at, g.pickSkewed(workspaces), profile, fmt.Sprintf("s%d", session), g.intBetween(2, 6), t.Duration)
	}
	g.poissonArrivals(0, t.Duration, 0.35, addVisit)
	g.poissonArrivals(0, t.Duration, 1.0, func(at clock.Millis) {
		g.addCompletion(at, g.pickSkewed(workspaces), "tagging", g.intBetween(80, 250), g.intBetween(8, 20), 30*clock.Second)
	})
	g.poissonArrivals(0, t.Duration, 0.3, func(at clock.Millis) { g.addServiceCall(at, g.pickSkewed(workspaces), "booking-desk") })
	for at := 30 * clock.Second; at < t.Duration; at += 70 * clock.Second {
		g.addGroupBurst(at, g.pickSkewed(chaiLargeWorkspaces), addVisit)
	}
}

// addGroupBurst adds the 35 s burst of requests that one tour group causes: chats, long completions and bookings.
func (g *generator) addGroupBurst(at clock.Millis, workspace string, addVisit func(at clock.Millis)) {
	g.poissonArrivals(at, at+25*clock.Second, 1.6, addVisit)
	g.poissonArrivals(at, at+25*clock.Second, 1.2, func(at clock.Millis) {
		g.addCompletion(at, workspace, "tasting", g.intBetween(300, 900), g.intBetween(300, 600), 45*clock.Second)
	})
	g.poissonArrivals(at+10*clock.Second, at+35*clock.Second, 1.0, func(at clock.Millis) { g.addServiceCall(at, workspace, "booking-desk") })
}
