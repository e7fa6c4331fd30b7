package fake

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

const listService = "list"

// List is a fake of the instance list; it is safe for concurrent use.
type List struct {
	faultInjector
	Clock clock.Clock

	mu     sync.Mutex
	lag    clock.Millis
	frozen bool
	// snapshot is served while the list is frozen.
	snapshot backoffice.Listing
	// history has the versions of the list, oldest first, without those that were superseded before the lag.
	history []backoffice.Listing
}

// SetLag sets the age of the list that Instances returns, in milliseconds.
func (l *List) SetLag(lag clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Freeze makes Instances keep returning the present list until it is called with false.
func (l *List) Freeze(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on && !l.frozen {
		l.snapshot = l.visible()
	}
	l.frozen = on
}

// visible returns the list as it was before the lag; l.mu is held.
func (l *List) visible() backoffice.Listing {
	asOf := l.Clock.Wall() - l.lag
	for len(l.history) > 1 && l.history[1].AsOf <= asOf {
		l.history = l.history[1:]
	}
	out := backoffice.Listing{AsOf: asOf}
	if len(l.history) > 0 && l.history[0].AsOf <= asOf {
		out.Instances = l.history[0].Instances
	}
	return out
}

// Instances returns the list with its lag, or as it was frozen; its error is *backoffice.UnavailableError.
func (l *List) Instances(ctx context.Context) (backoffice.Listing, error) {
	if err := l.before(ctx, l.Clock, listService); err != nil {
		return backoffice.Listing{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen {
		return l.snapshot, nil
	}
	return l.visible(), nil
}

// Put adds or replaces an instance by its name.
func (l *List) Put(in backoffice.Instance) {
	l.update(func(byName map[string]backoffice.Instance) { byName[in.Name] = in })
}

// Remove removes an instance, if it is in the list.
func (l *List) Remove(name string) {
	l.update(func(byName map[string]backoffice.Instance) { delete(byName, name) })
}

// update applies edit to a copy of the latest list, keyed by name, and adds the result to the history.
func (l *List) update(edit func(map[string]backoffice.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byName := map[string]backoffice.Instance{}
	if n := len(l.history); n > 0 {
		for _, in := range l.history[n-1].Instances {
			byName[in.Name] = in
		}
	}
	edit(byName)
	instances := slices.SortedFunc(maps.Values(byName), func(a, b backoffice.Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	l.history = append(l.history, backoffice.Listing{AsOf: l.Clock.Wall(), Instances: instances})
}
