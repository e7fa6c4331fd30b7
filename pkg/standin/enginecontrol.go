package standin

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// maxRequestLog bounds the requests in the log of an engine, which drops the oldest ones.
	maxRequestLog = 100_000
	// lostEventInterval makes one in lostEventInterval cache events get lost, so that the sequence numbers have gaps.
	lostEventInterval = 7
)

// EngineStats counts the requests that an engine received.
type EngineStats struct {
	Requests int
	InFlight int
	// Peak is the maximum of InFlight.
	Peak int
	// ColdPeak is the maximum number of concurrent requests during cold starts, rejected ones included.
	ColdPeak int
	Complete int
	// Refused counts the requests that were rejected with 503 because of overload.
	Refused int
	// FellOver counts how often the engine dropped all requests.
	FellOver int
	// PeakHeldBytes is the maximum of the bytes of unsent answers.
	PeakHeldBytes int64
	ByVersion     map[catalogue.VersionID]*VersionStats
}

// VersionStats counts the requests of one version.
type VersionStats struct {
	Requests int
	InFlight int
	// Peak is the maximum of InFlight.
	Peak int
}

// RequestRecord is one request that an engine received, whether it was admitted or not.
type RequestRecord struct {
	RequestID string
	Version   catalogue.VersionID
	// At is the wall time of the request, in milliseconds.
	At clock.Millis
	// Cold is true during a cold start.
	Cold bool
	// Resumed is true if the request asked to resume an earlier answer.
	Resumed bool
}

// version returns the counters of a version; e.mu is held.
func (e *Engine) version(id catalogue.VersionID) *VersionStats {
	v := e.stats.ByVersion[id]
	if v == nil {
		v = &VersionStats{}
		e.stats.ByVersion[id] = v
	}
	return v
}

// recordRequest counts and logs a request before its admission; e.mu is held.
func (e *Engine) recordRequest(id string, v catalogue.VersionID, cold, resumed bool) {
	e.stats.Requests++
	e.version(v).Requests++
	if cold {
		e.stats.ColdPeak = max(e.stats.ColdPeak, e.stats.InFlight+1)
	}
	e.requestLog = append(e.requestLog, RequestRecord{RequestID: id, Version: v, At: realClock.Wall(), Cold: cold, Resumed: resumed})
	if n := len(e.requestLog) - maxRequestLog; n > 0 {
		e.requestLog = e.requestLog[n:]
	}
	e.addCacheEvent(id)
}

// addCacheEvent adds the event that a prompt prefix was cached, except for the events that are lost on purpose; e.mu is held.
func (e *Engine) addCacheEvent(prompt string) {
	seq := int64(e.stats.Requests)
	if seq%lostEventInterval == 0 {
		return
	}
	e.events = append(e.events, backoffice.CacheEvent{Seq: seq, Prefix: xxhash.Sum64String(prompt)})
	if n := len(e.events) - defaultPageSize; n > 0 {
		e.events = e.events[n:]
	}
}

func (e *Engine) getStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.enforceLimits(realClock.Now())
	writeJSON(w, http.StatusOK, e.stats)
}

func (e *Engine) getRequests(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	records := slices.Clone(e.requestLog)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, records)
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Orders())
}

// Orders returns the accepted orders in order of arrival, without repetitions.
func (e *Engine) Orders() []backoffice.Order { return e.orders.Orders() }

func (e *Engine) startCold(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldStartAt = realClock.Now()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[r.PathValue("id")]
	if j == nil {
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	if r.URL.Query().Get("keep") == "true" {
		e.pause(j)
	} else {
		e.drop(j)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	f := e.Faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := realClock.Now()
	e.enforceLimits(now)
	if e.reportAt == 0 || now-e.reportAt >= f.LagMillis {
		cold := f.inColdStart(now - e.coldStartAt)
		e.report = backoffice.LoadReport{
			InFlight:       e.stats.InFlight,
			Bearable:       f.maxInFlight(cold && !f.HideCold),
			Cold:           cold && !f.HideCold,
			HeldBytes:      e.heldBytes(now),
			FirstTokenTime: float64(f.FirstTokenMillis),
			TokenTime:      float64(f.TokenMillis),
		}
		e.reportAt = now
	}
	writeJSON(w, http.StatusOK, e.report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from := queryInt(r, "from", 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := backoffice.CacheEvents{Next: int64(e.stats.Requests) + 1}
	for _, event := range e.events {
		if event.Seq >= from {
			out.Events = append(out.Events, event)
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o backoffice.Order
	if !readJSON(w, r, &o) {
		return
	}
	added, err := e.orders.Accept(o, e.Faults.Get().IgnoreFence)
	var fenced *backoffice.FencedError
	if errors.As(err, &fenced) {
		writeJSON(w, http.StatusConflict, struct{ Newest int64 }{fenced.Newest})
		return
	}
	if added {
		e.execute(o)
	}
	w.WriteHeader(http.StatusAccepted)
}

// execute carries out an order to load or unload a version; loading one begins a cold start.
func (e *Engine) execute(o backoffice.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Kind {
	case backoffice.OrderLoad:
		e.coldStartAt = realClock.Now()
		e.setLoaded(o.Version, true)
	case backoffice.OrderUnload:
		e.setLoaded(o.Version, false)
	}
}

func (e *Engine) setLoaded(id catalogue.VersionID, loaded bool) {
	e.Faults.Update(func(f *EngineFaults) {
		versions := slices.DeleteFunc(slices.Clone(f.Versions), func(v catalogue.VersionID) bool { return v == id })
		if loaded {
			versions = append(versions, id)
		}
		f.Versions = versions
	})
}
