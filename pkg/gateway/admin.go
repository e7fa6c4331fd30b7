package gateway

import (
	"encoding/json"
	"net/http"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Dump is the state of an instance for operators; times are monotonic milliseconds of the instance, and no API key is in it.
type Dump struct {
	Self     catalogue.Member
	Now      clock.Millis
	NotReady string
	InFlight int
	// ViewAge is the age of the view of the operators' confirmed changes.
	ViewAge clock.Millis
	// TableVersion is the version of the active configuration; Routes and Keys are its numbers of routes and API keys.
	TableVersion int64
	Routes       int
	Keys         int
	Upstreams    []*catalogue.Upstream
	Moves        map[string]*catalogue.ReleaseMove
	Members      []catalogue.Member
	// OwnWork is the work that this instance has outstanding at upstreams, in tokens of the largest model.
	OwnWork map[string]float32
	// StoreReads and InstanceReads count the reads of topics from the store and from other instances.
	StoreReads    map[archive.TopicName]int64
	InstanceReads map[archive.TopicName]int64
}

func (h *Instance) dump() Dump {
	s, now := h.control.Snapshot(), h.Clock.Now()
	d := Dump{
		Self: h.self, Now: now, InFlight: h.inFlight.Count(), ViewAge: h.control.Age(now), Upstreams: s.Upstreams,
		Moves: s.Moves, Members: s.Members, OwnWork: h.board.OwnWork(),
	}
	d.StoreReads, d.InstanceReads = h.shared.Reads()
	if err := h.ready(); err != nil {
		d.NotReady = err.Error()
	}
	if s.Routes != nil {
		d.TableVersion, d.Keys = s.Routes.Version, len(s.Routes.Keys)
		for _, routes := range s.Routes.Routes {
			d.Routes += len(routes)
		}
	}
	return d
}

// adminHandler serves the metrics and the state dump.
func (h *Instance) adminHandler() http.Handler {
	h.metrics.RegisterGauge("carawayknot_in_flight", "Requests being served.", func() float64 { return float64(h.inFlight.Count()) })
	h.metrics.RegisterGauge("carawayknot_view_age_seconds", "Age of the view of the configuration.", func() float64 {
		return h.control.Age(h.Clock.Now()).Seconds()
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.metrics)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		if err := enc.Encode(h.dump()); err != nil {
			h.Log.Info("state dump not written", "cause", err.Error())
		}
	})
	return mux
}
