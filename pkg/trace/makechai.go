package trace

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// chaiHouses makes ten minutes at the front desks: bursts of groups, during one of which a zone leaves.
func (m *maker) chaiHouses() {
	t := m.trace
	t.Note = "Groups arrive in bursts; zone b is taken out during one, stops 15 s later, and returns during the next."
	t.Duration = 600 * clock.Second
	t.Ratings = Ratings{Share: 0.25, MinDelay: 3 * clock.Second, MaxDelay: 20 * clock.Second}
	t.Stated = []Outcome{
		{Measure: MeasureCostOverOracle, AtMost: 1.05},
		{Measure: MeasureQualityShortfall, AtMost: 0.01},
		{Measure: MeasureFailedByZoneMove, AtMost: 0},
		{Measure: MeasureRaisedSeconds, AtMost: 2},
		{Measure: MeasureAttemptsPerRequest, AtMost: 1.1},
		{Measure: MeasureColdFallOvers, AtMost: 0},
		{Measure: MeasureFalseFindings, AtMost: 0},
	}
	m.members(8, chaiZones)
	m.chaiVersions()
	m.chaiUpstreams()
	m.chaiProfiles()
	t.Events = []Event{
		{At: 243 * clock.Second, Kind: EventZoneOut, Zone: "b"},
		{At: 258 * clock.Second, Kind: EventZoneStop, Zone: "b"},
		{At: 364 * clock.Second, Kind: EventZoneStart, Zone: "b"},
		{At: 366 * clock.Second, Kind: EventZoneIn, Zone: "b"},
		{At: 480 * clock.Second, Kind: EventCold, Upstream: "engine-1"},
	}
	m.chaiRequests()
}

func (m *maker) chaiVersions() {
	m.version("baobab-s@1", 100_000, 400_000, 120, 8, []taskQuality{
		{"chat-sw", 0.66, 0.62, 0.15, 1000}, {"chat-en", 0.74, 0.81, 0.12, 1000},
		{"notes", 0.70, 0.72, 0.14, 1000}, {"tags", 0.84, 0.82, 0.15, 1000},
	})
	m.version("baobab-m@3", 500_000, 1_500_000, 180, 14, []taskQuality{
		{"chat-sw", 0.82, 0.84, 0.12, 1000}, {"chat-en", 0.88, 0.88, 0.10, 1000},
		{"notes", 0.87, 0.82, 0.12, 1000}, {"tags", 0.90, 0.88, 0.10, 1000},
	})
	m.version("baobab-l@2", 2_000_000, 8_000_000, 260, 22, []taskQuality{
		{"chat-sw", 0.90, 0.91, 0.08, 1000}, {"chat-en", 0.92, 0.92, 0.08, 1000},
		{"notes", 0.91, 0.92, 0.08, 1000}, {"tags", 0.93, 0.93, 0.08, 1000},
	})
}

func (m *maker) chaiUpstreams() {
	pairs := [][]catalogue.VersionID{
		{"baobab-s@1", "baobab-m@3"},
		{"baobab-m@3", "baobab-l@2"},
		{"baobab-s@1", "baobab-l@2"},
	}
	m.engines(10, chaiZones, func(i int) []catalogue.VersionID { return pairs[(i/3)%3] })
	m.replicas("booking-desk", chaiZones)
}

func (m *maker) chaiProfiles() {
	c := &m.trace.Configuration
	c.Profiles = []catalogue.Profile{
		{Name: "guest-sw", Task: "chat-sw", Quality: 0.80, MaxCost: 5000, Priority: 8, Explore: 0.03},
		{Name: "guest-en", Task: "chat-en", Quality: 0.78, MaxCost: 5000, Priority: 8, Explore: 0.03},
		{Name: "tasting", Task: "notes", Quality: 0.85, MaxCost: 20000, Priority: 5, Cascade: true, Explore: 0.03},
		{Name: "tagging", Task: "tags", Quality: 0.78, MaxCost: 2000, Priority: 2, Cascade: true, Explore: 0.03},
	}
	c.Services = []catalogue.Service{{Name: "booking-desk", Priority: 10}}
	m.workspaces(chaiLarge, 200, 60)
	m.workspaces(chaiSmall, 80, 40)
}

var (
	chaiZones = []string{"a", "b", "c"}
	chaiLarge = []string{"moshi-front-desk", "arusha-front-desk", "safari-agents"}
	chaiSmall = []string{"concierge-a", "concierge-b", "concierge-c", "marangu", "machame", "usa-river", "guests"}
)

func (m *maker) chaiRequests() {
	t := m.trace
	all := append(append([]string{}, chaiLarge...), chaiSmall...)
	session := 0
	visit := func(at clock.Millis) {
		session++
		profile := "guest-sw"
		if m.rand.Float64() < 0.55 {
			profile = "guest-en"
		}
		m.chat(at, m.pick(all), profile, fmt.Sprintf("s%d", session), m.between(2, 6), t.Duration)
	}
	m.poisson(0, t.Duration, 0.35, visit)
	m.poisson(0, t.Duration, 1.0, func(at clock.Millis) {
		m.work(at, m.pick(all), "tagging", m.between(80, 250), m.between(8, 20), 30*clock.Second)
	})
	m.poisson(0, t.Duration, 0.3, func(at clock.Millis) { m.once(at, m.pick(all), "booking-desk") })
	for at := 30 * clock.Second; at < t.Duration; at += 70 * clock.Second {
		m.group(at, m.pick(chaiLarge), visit)
	}
}

// group adds a tour group that is decided on in half a minute.
func (m *maker) group(at clock.Millis, workspace string, visit func(at clock.Millis)) {
	m.poisson(at, at+25*clock.Second, 1.6, visit)
	m.poisson(at, at+25*clock.Second, 1.2, func(at clock.Millis) {
		m.work(at, workspace, "tasting", m.between(300, 900), m.between(300, 600), 45*clock.Second)
	})
	m.poisson(at+10*clock.Second, at+35*clock.Second, 1.0, func(at clock.Millis) { m.once(at, workspace, "booking-desk") })
}
