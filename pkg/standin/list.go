package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/clock"
)

// ListFaults are the faults of the instance list.
type ListFaults struct {
	Faults
	// StaleMillis is the age of the list that is served.
	StaleMillis clock.Millis
	// Freeze keeps serving the list as it was when Freeze was set.
	Freeze bool
}

// List serves a fake of the instance list over HTTP.
type List struct {
	Faults FaultInjector[ListFaults, *ListFaults]

	store fake.List
}

// NewList returns an empty instance list without faults.
func NewList() *List {
	l := &List{store: fake.List{Clock: realClock}}
	l.Faults.OnChange = func(f ListFaults) {
		l.store.SetLag(f.StaleMillis)
		l.store.Freeze(f.Freeze)
	}
	return l
}

// Handler serves the protocol of the instance list and the control endpoints /faults, PUT /instances/{name} and
// DELETE /instances/{name}.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &l.Faults)
	mux.Handle("GET /instances", l.Faults.Wrap(http.HandlerFunc(l.get)))
	mux.HandleFunc("PUT /instances/{name}", l.put)
	mux.HandleFunc("DELETE /instances/{name}", l.remove)
	return mux
}

// Put adds or replaces an instance by its name.
func (l *List) Put(in backoffice.Instance) { l.store.Put(in) }

// Remove removes an instance, if it is in the list.
func (l *List) Remove(name string) { l.store.Remove(name) }

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	listing, err := l.store.Instances(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	raw, err := json.Marshal(listing.Instances)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(raw), 16))
	w.Header().Set("ETag", tag)
	w.Header().Set(backoffice.AsOfHeader, strconv.FormatInt(int64(listing.AsOf), 10))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, listing)
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var in backoffice.Instance
	if !readJSON(w, r, &in) {
		return
	}
	in.Name = r.PathValue("name")
	l.Put(in)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) remove(w http.ResponseWriter, r *http.Request) {
	l.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
