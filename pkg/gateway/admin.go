package gateway

import (
	"encoding/json"
	"net/http"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
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
}

func (in *Instance) dump() Dump {
	s, now := in.control.Snapshot(), in.Clock.Now()
	d := Dump{
		Self: in.self, Now: now, InFlight: in.inFlight.Count(), ViewAge: in.control.Age(now), Upstreams: s.Upstreams,
		Moves: s.Moves, Members: s.Members, OwnWork: in.loadTracker.OwnWork(),
	}
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

// adminHandler serves the metrics and the state dump.
func (in *Instance) adminHandler() http.Handler {
	in.metrics.RegisterGauge("carawayknot_in_flight", "Requests being served.", func() float64 { return float64(in.inFlight.Count()) })
	in.metrics.RegisterGauge("carawayknot_view_age_seconds", "Age of the view of the configuration.", func() float64 {
		return in.control.Age(in.Clock.Now()).Seconds()
	})
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
