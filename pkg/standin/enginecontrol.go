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
	// startLimit bounds the requests that an engine remembers.
	startLimit = 100_000
	// eventGap is how often a cache event is lost: one in eventGap.
	eventGap = 7
)

// EngineStats counts what an engine was sent.
type EngineStats struct {
	Requests int
	InFlight int
	Peak     int
	// ColdPeak is the greatest number of requests at once in cold start, the refused ones included.
	ColdPeak int
	Complete int
	Refused  int
	FellOver int
	// PeakHeldBytes is the greatest number of bytes held for readers that was seen.
	PeakHeldBytes int64
	ByVersion     map[catalogue.VersionID]*VersionStats
}

// VersionStats counts the requests of one version.
type VersionStats struct {
	Requests int
	InFlight int
	Peak     int
}

// Start is one request that came to an engine.
type Start struct {
	RequestID string
	Version   catalogue.VersionID
	// At is the wall time, in milliseconds.
	At      clock.Millis
	Cold    bool
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

// count takes down a request before it is known whether the engine takes it; e.mu is held.
func (e *Engine) count(id string, v catalogue.VersionID, cold, resumed bool) {
	e.stats.Requests++
	e.version(v).Requests++
	if cold {
		e.stats.ColdPeak = max(e.stats.ColdPeak, e.stats.InFlight+1)
	}
	e.starts = append(e.starts, Start{RequestID: id, Version: v, At: realClock.Wall(), Cold: cold, Resumed: resumed})
	if n := len(e.starts) - startLimit; n > 0 {
		e.starts = e.starts[n:]
	}
	e.cacheEvent(id)
}

// cacheEvent publishes that the engine took up a prompt, and now and then loses the event; e.mu is held.
func (e *Engine) cacheEvent(prompt string) {
	seq := int64(e.stats.Requests)
	if seq%eventGap == 0 {
		return
	}
	e.events = append(e.events, backoffice.CacheEvent{Seq: seq, Prefix: xxhash.Sum64String(prompt)})
	if n := len(e.events) - defaultMax; n > 0 {
		e.events = e.events[n:]
	}
}

func (e *Engine) getStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(realClock.Now())
	writeJSON(w, http.StatusOK, e.stats)
}

func (e *Engine) getRequests(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	starts := slices.Clone(e.starts)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, starts)
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Orders())
}

// Orders returns the orders that the engine took, each once.
func (e *Engine) Orders() []backoffice.Order { return e.orders.Orders() }

func (e *Engine) becomeCold(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldSince = realClock.Now()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[r.PathValue("id")]
	if j == nil {
		refuse(w, http.StatusNotFound, "no such request")
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
	f := e.Switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := realClock.Now()
	e.sweep(now)
	if e.reportAt == 0 || now-e.reportAt >= f.LagMillis {
		cold := f.cold(now - e.coldSince)
		e.report = backoffice.LoadReport{
			InFlight:       e.stats.InFlight,
			Bearable:       f.limit(cold && !f.HideCold),
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
	from := number(r, "from", 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := backoffice.CacheEvents{Next: int64(e.stats.Requests) + 1}
	for _, ev := range e.events {
		if ev.Seq >= from {
			out.Events = append(out.Events, ev)
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o backoffice.Order
	if !readJSON(w, r, &o) {
		return
	}
	added, err := e.orders.Accept(o, e.Switches.Get().IgnoreFence)
	var fenced *backoffice.FencedError
	if errors.As(err, &fenced) {
		writeJSON(w, http.StatusConflict, struct{ Newest int64 }{fenced.Newest})
		return
	}
	if added {
		e.obey(o)
	}
	w.WriteHeader(http.StatusAccepted)
}

// obey carries out an order.
func (e *Engine) obey(o backoffice.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Kind {
	case backoffice.OrderLoad:
		e.coldSince = realClock.Now()
		e.setVersion(o.Version, true)
	case backoffice.OrderUnload:
		e.setVersion(o.Version, false)
	}
}

func (e *Engine) setVersion(id catalogue.VersionID, loaded bool) {
	e.Switches.Update(func(f *EngineFaults) {
		rest := slices.DeleteFunc(slices.Clone(f.Versions), func(v catalogue.VersionID) bool { return v == id })
		if loaded {
			rest = append(rest, id)
		}
		f.Versions = rest
	})
}
