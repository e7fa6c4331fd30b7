package gateway

import (
	"encoding/json"
	"net/http"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/occupancy"
	"carawayknot.example/carawayknot/pkg/placement"
	"carawayknot.example/carawayknot/pkg/scaling"
)

// Dump is the state of an instance for operators; times are monotonic milliseconds of the instance, and no API key is in it.
type Dump struct {
	Self     catalogue.Member
	Now      clock.Millis
	NotReady string
	InFlight int
	// ViewAge is the time since the view was last known to have all of the operators' confirmed changes.
	ViewAge clock.Millis
	// TableVersion is the version of the active configuration; Routes and Keys are its numbers of routes and API keys.
	TableVersion int64
	Routes       int
	Keys         int
	Upstreams    []*catalogue.Upstream
	Moves        map[string]*catalogue.ReleaseRollout
	Members      []catalogue.Member
	// OwnWork is the pending work of this instance's requests by upstream, in tokens of the largest model.
	OwnWork map[string]float32
	// Models has what was learned of the models that answered this instance, and ConfidenceNoise the standard deviation of their
	// confidences by service.
	Models          map[string]dispatch.ModelLatency
	ConfidenceNoise map[string]float64
	// StoreReads and InstanceReads count the reads of topics from the store and from other instances.
	StoreReads    map[archive.TopicName]int64
	InstanceReads map[archive.TopicName]int64
	// Limits has the limits that upstreams named.
	Limits map[string]dispatch.LimitState
	// FragileUpstreams has the upstreams that bear few rejections.
	FragileUpstreams map[string]occupancy.State
	// PlacedUpstreams has the upstreams for which first tokens are predicted.
	PlacedUpstreams map[string]placement.UpstreamState
	// Crashes counts crashes under requests and the work of the quarantine.
	Crashes dispatch.CrashStats
	// Detours has the services that this instance doesn't reach, whose calls go through other instances.
	Detours []string
	// Duties has the lease of duties and what was done under it; it is nil where the platform asks for no duties.
	Duties *DutyState `json:",omitempty"`
	// Scaling has the numbers of upstreams that are ordered, by service and zone.
	Scaling []scaling.ZoneState
}

func (in *Instance) dump() Dump {
	s, now := in.control.Snapshot(), in.Clock.Now()
	d := Dump{
		Self: in.self, Now: now, InFlight: in.inFlight.Count(), ViewAge: in.control.Age(now), Upstreams: s.Upstreams,
		Moves: s.Moves, Members: s.Members, OwnWork: in.loadTracker.OwnWork(), Crashes: in.suspects.Stats(),
		Detours: in.detours.Services(), Duties: in.dutyState(),
	}
	d.Limits, _ = in.limits.States()
	d.Scaling = in.scalingState()
	d.FragileUpstreams = in.slots.States(now)
	d.PlacedUpstreams = in.planner.States(now)
	d.StoreReads, d.InstanceReads = in.peerSource.Reads()
	d.Models, d.ConfidenceNoise = in.latencies.Models(), map[string]float64{}
	if err := in.ready(); err != nil {
		d.NotReady = err.Error()
	}
	if s.Routes != nil {
		for service := range s.Routes.Pools {
			d.ConfidenceNoise[service] = in.calibration.Noise(service)
		}
		d.TableVersion, d.Keys = s.Routes.Version, len(s.Routes.Keys)
		for _, routes := range s.Routes.Routes {
			d.Routes += len(routes)
		}
	}
	return d
}

// registerCrashMetrics registers the metrics of the quarantine.
func (in *Instance) registerCrashMetrics() {
	for _, c := range []struct {
		name, help string
		read       func(s dispatch.CrashStats) int64
	}{
		{"carawayknot_prompt_crashes_total", "Upstreams that ended before they began to answer a request.", func(s dispatch.CrashStats) int64 { return s.Crashes }},
		{"carawayknot_quarantine_probes_total", "Quarantined requests, or requests with a quarantined prompt part, that were sent as probes.", func(s dispatch.CrashStats) int64 { return s.Probes }},
		{"carawayknot_quarantine_refusals_total", "Requests refused because they, or a part of their prompt, are quarantined.", func(s dispatch.CrashStats) int64 { return s.Refused }},
		{"carawayknot_quarantine_cleared_total", "Quarantined requests and prompt parts cleared by an answer here.", func(s dispatch.CrashStats) int64 { return s.Cleared }},
	} {
		in.metrics.RegisterCounter(c.name, c.help, func() float64 { return float64(c.read(in.suspects.Stats())) })
	}
	in.metrics.RegisterGauge("carawayknot_quarantined_requests", "Requests in quarantine, which are refused when they come again.", func() float64 {
		return float64(in.suspects.Stats().QuarantinedRequests)
	})
	in.metrics.RegisterGauge("carawayknot_quarantined_prompt_parts", "Prompt parts in quarantine.", func() float64 {
		return float64(in.suspects.Stats().Quarantined)
	})
}

// registerDetourMetrics registers the metrics of calls that go through other instances.
func (in *Instance) registerDetourMetrics() {
	in.metrics.RegisterGauge("carawayknot_unreached_services", "Services of which this instance reaches no upstream.", func() float64 {
		return float64(len(in.detours.Services()))
	})
	in.metrics.RegisterCounter("carawayknot_handed_over_total", "Attempts through other instances.", func() float64 {
		sent, _ := in.detours.Counts()
		return float64(sent)
	})
	in.metrics.RegisterCounter("carawayknot_handed_over_declined_total", "Attempts through other instances that were not taken.", func() float64 {
		_, declined := in.detours.Counts()
		return float64(declined)
	})
}

// registerLimitMetrics registers the metrics of the limits that upstreams named.
func (in *Instance) registerLimitMetrics() {
	in.metrics.RegisterGauge("carawayknot_limited_upstreams", "Upstreams that named a limit.", func() float64 {
		limits, _ := in.limits.States()
		return float64(len(limits))
	})
	in.metrics.RegisterGauge("carawayknot_named_limit_per_second", "Part of this instance of the limits that upstreams named, in requests a second.", func() float64 {
		limits, _ := in.limits.States()
		sum := 0.0
		for _, n := range limits {
			sum += n.OwnPerSecond
		}
		return sum
	})
	in.metrics.RegisterCounter("carawayknot_limit_refusals_total", "Calls refused because all upstreams had named limits.", func() float64 {
		_, refused := in.limits.States()
		return float64(refused)
	})
}

// registerSlotMetrics registers the metrics of rejections and of fragile upstreams.
func (in *Instance) registerSlotMetrics() {
	in.metrics.RegisterGauge("carawayknot_fragile_upstreams", "Upstreams that bear few rejections.", func() float64 {
		return float64(len(in.slots.States(in.Clock.Now())))
	})
	in.metrics.RegisterCounter("carawayknot_upstream_rejections_total", "Requests that upstreams rejected for want of room.", func() float64 {
		return float64(in.slots.Counts().Rejected)
	})
	in.metrics.RegisterCounter("carawayknot_slot_refusals_total", "Calls refused because the slots of fragile upstreams were taken.", func() float64 {
		return float64(in.slots.Counts().Refused)
	})
}

// adminHandler serves the metrics and the state dump.
func (in *Instance) adminHandler() http.Handler {
	in.metrics.RegisterGauge("carawayknot_in_flight", "Requests being served.", func() float64 { return float64(in.inFlight.Count()) })
	in.metrics.RegisterGauge("carawayknot_view_age_seconds", "Age of the view of the configuration.", func() float64 {
		return in.control.Age(in.Clock.Now()).Seconds()
	})
	in.registerCrashMetrics()
	in.registerLimitMetrics()
	in.registerSlotMetrics()
	in.registerDetourMetrics()
	in.registerDutyMetrics()
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", in.metrics)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		if err := enc.Encode(in.dump()); err != nil {
			in.Log.Info("state dump not written", "error", err.Error())
		}
	})
	return mux
}
