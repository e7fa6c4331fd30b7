package trace

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// jemaa makes fifteen minutes of dossiers and of work at the stalls, with two roll-outs.
func (m *maker) jemaa() {
	t := m.trace
	t.Note = "kilim-l@8 is rolled out in steps and turns bad at half share; the roll-out of kilim-s@2 stops half done."
	t.Duration = 900 * clock.Second
	t.Ratings = Ratings{Share: 0.4, MinDelay: 3 * clock.Second, MaxDelay: 20 * clock.Second}
	t.Stated = []Outcome{
		{Measure: MeasureCostOverOracle, AtMost: 1.05},
		{Measure: MeasureQualityShortfall, AtMost: 0.01},
		{Measure: MeasureExposureOverIdeal, AtMost: 1.5},
		{Measure: MeasureFailed, AtMost: 0},
		{Measure: MeasureAttemptsPerRequest, AtMost: 1.1},
		{Measure: MeasureColdFallOvers, AtMost: 0},
		{Measure: MeasureFalseFindings, AtMost: 0},
	}
	m.members(8, jemaaZones)
	m.jemaaVersions()
	m.jemaaUpstreams()
	m.jemaaProfiles()
	m.jemaaEvents()
	m.jemaaRequests()
}

func (m *maker) jemaaVersions() {
	small := func(history int) []taskQuality {
		return []taskQuality{
			{"dossier", 0.70, 0.72, 0.14, history}, {"stock", 0.80, 0.81, 0.12, history}, {"tags", 0.82, 0.83, 0.14, history},
		}
	}
	large := func(history int) []taskQuality {
		return []taskQuality{
			{"dossier", 0.92, 0.92, 0.08, history}, {"stock", 0.93, 0.93, 0.08, history}, {"tags", 0.94, 0.94, 0.08, history},
		}
	}
	m.version("kilim-s@1", 100_000, 400_000, 120, 8, small(1000))
	m.version("kilim-s@2", 100_000, 400_000, 120, 8, small(0))
	m.version("kilim-m@4", 500_000, 1_500_000, 180, 14, []taskQuality{
		{"dossier", 0.86, 0.82, 0.12, 1000}, {"stock", 0.87, 0.88, 0.10, 1000}, {"tags", 0.89, 0.89, 0.10, 1000},
	})
	m.version("kilim-l@7", 2_000_000, 8_000_000, 260, 22, large(1000))
	m.version("kilim-l@8", 2_000_000, 8_000_000, 260, 22, large(0))
}

func (m *maker) jemaaUpstreams() {
	sets := [][]catalogue.VersionID{
		{"kilim-s@1", "kilim-m@4"},
		{"kilim-m@4", "kilim-l@7", "kilim-l@8"},
		{"kilim-s@1", "kilim-l@7", "kilim-l@8"},
	}
	m.engines(12, jemaaZones, func(i int) []catalogue.VersionID { return sets[i/4] })
	m.replicas("shopfront", jemaaZones)
}

func (m *maker) jemaaProfiles() {
	c := &m.trace.Configuration
	c.Profiles = []catalogue.Profile{
		{Name: "provenance", Task: "dossier", Quality: 0.90, MaxCost: 30000, Priority: 3, Cascade: true, Explore: 0.03},
		{Name: "stall", Task: "stock", Quality: 0.78, MaxCost: 5000, Priority: 8, Explore: 0.03},
		{Name: "tagging", Task: "tags", Quality: 0.78, MaxCost: 2000, Priority: 1, Cascade: true, Explore: 0.03},
	}
	c.Services = []catalogue.Service{{Name: "shopfront", Priority: 10}}
	m.workspaces(jemaaLarge, 200, 60)
	m.workspaces(jemaaSmall, 80, 40)
}

var (
	jemaaZones = []string{"a", "b", "c", "d"}
	jemaaLarge = []string{"dossier-room", "tunis-stalls", "kairouan-stalls"}
	jemaaSmall = []string{"sfax", "gabes", "mahdia", "tozeur", "weavers", "buyers", "volunteers"}
)

func (m *maker) jemaaEvents() {
	large := func(at clock.Millis, share float64) Event {
		r := &catalogue.Rollout{Model: "kilim-l", From: "kilim-l@7", To: "kilim-l@8", Share: share}
		return Event{At: at, Kind: EventRollout, Rollout: r}
	}
	small := func(at clock.Millis, share float64) Event {
		r := &catalogue.Rollout{Model: "kilim-s", From: "kilim-s@1", To: "kilim-s@2", Share: share}
		return Event{At: at, Kind: EventRollout, Rollout: r}
	}
	events := []Event{large(0, 0), small(0, 0), large(60*clock.Second, 0.1), large(150*clock.Second, 0.5)}
	events = append(events, Event{At: 300 * clock.Second, Kind: EventTurn, Version: "kilim-l@8", Change: -0.25})
	// The roll-out of the small model loads the new version on four of eight engines, and then no more comes of it.
	for i, name := range []string{"engine-1", "engine-2", "engine-9", "engine-10"} {
		at := 500*clock.Second + clock.Millis(i)*5*clock.Second
		events = append(events, Event{At: at, Kind: EventLoad, Upstream: name, Version: "kilim-s@2"})
	}
	events = append(events,
		small(530*clock.Second, 0.5),
		Event{At: 560 * clock.Second, Kind: EventUnload, Upstream: "engine-1", Version: "kilim-s@1"},
		Event{At: 565 * clock.Second, Kind: EventUnload, Upstream: "engine-9", Version: "kilim-s@1"},
		Event{At: 700 * clock.Second, Kind: EventCold, Upstream: "engine-6"},
	)
	m.trace.Events = events
}

func (m *maker) jemaaRequests() {
	t := m.trace
	all := append(append([]string{}, jemaaLarge...), jemaaSmall...)
	session := 0
	m.poisson(0, t.Duration, 0.3, func(at clock.Millis) {
		session++
		m.chat(at, m.pick(all), "stall", fmt.Sprintf("s%d", session), m.between(1, 5), t.Duration)
	})
	m.poisson(0, t.Duration, 1.3, func(at clock.Millis) {
		m.work(at, m.pick(all), "provenance", m.between(500, 1500), m.between(400, 800), 90*clock.Second)
	})
	m.poisson(0, t.Duration, 0.8, func(at clock.Millis) {
		m.work(at, m.pick(all), "tagging", m.between(80, 250), m.between(8, 20), 60*clock.Second)
	})
	m.poisson(0, t.Duration, 0.25, func(at clock.Millis) { m.once(at, m.pick(all), "shopfront") })
}

// outage makes two and a half minutes at the chai houses in which every upstream refuses its work for a while.
func (m *maker) outage() {
	m.chaiHouses()
	t := m.trace
	t.Note = "Every upstream refuses its work from 60 s to 120 s; the retries must not make a storm."
	t.Duration = 150 * clock.Second
	t.Stated = []Outcome{{Measure: MeasureAttemptsFailing, AtMost: 1.1}, {Measure: MeasureFalseFindings, AtMost: 0}}
	t.Events = []Event{{At: 60 * clock.Second, Kind: EventFail}, {At: 120 * clock.Second, Kind: EventHeal}}
	t.Requests = nil
	m.chaiRequests()
}
