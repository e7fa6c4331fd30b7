package standin

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/platform"
)

// ListFaults are the switches of the list.
type ListFaults struct {
	Faults
	// StaleMillis is how far the list lags behind.
	StaleMillis clock.Millis
	// Freeze keeps the list as it is.
	Freeze bool
}

// List is a stand-in for the list of instances.
type List struct {
	Switches Switches[ListFaults, *ListFaults]

	mu sync.Mutex
	// listings are the states of the list, oldest first; all but the newest may be dropped once they are stale.
	listings []platform.Listing
	frozen   *platform.Listing
}

// Handler returns the protocol of the list and the control path /faults.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &l.Switches)
	mux.Handle("GET /instances", l.Switches.Wrap(http.HandlerFunc(l.get)))
	mux.HandleFunc("PUT /instances/{name}", l.put)
	mux.HandleFunc("DELETE /instances/{name}", l.remove)
	return mux
}

func (l *List) get(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.shown())
}

// shown returns the list as it is shown now.
func (l *List) shown() platform.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shownLocked()
}

func (l *List) shownLocked() platform.Listing {
	f := l.Switches.Get()
	if !f.Freeze {
		l.frozen = nil
	}
	if l.frozen != nil {
		return *l.frozen
	}
	asOf := realClock.Wall() - f.StaleMillis
	for len(l.listings) > 1 && l.listings[1].AsOf <= asOf {
		l.listings = l.listings[1:]
	}
	shown := platform.Listing{AsOf: asOf}
	if len(l.listings) > 0 && l.listings[0].AsOf <= asOf {
		shown.Instances = l.listings[0].Instances
	}
	if f.Freeze {
		l.frozen = &shown
	}
	return shown
}

// change adds a state to the list.
func (l *List) change(edit func(map[string]platform.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shownLocked()
	byName := map[string]platform.Instance{}
	if n := len(l.listings); n > 0 {
		for _, in := range l.listings[n-1].Instances {
			byName[in.Name] = in
		}
	}
	edit(byName)
	instances := slices.SortedFunc(maps.Values(byName), func(a, b platform.Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	l.listings = append(l.listings, platform.Listing{AsOf: realClock.Wall(), Instances: instances})
}

// Put adds or replaces an instance.
func (l *List) Put(in platform.Instance) {
	l.change(func(byName map[string]platform.Instance) { byName[in.Name] = in })
}

// Remove drops an instance.
func (l *List) Remove(name string) {
	l.change(func(byName map[string]platform.Instance) { delete(byName, name) })
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var in platform.Instance
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
