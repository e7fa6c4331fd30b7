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

// List is a fake of the list of instances.
type List struct {
	gate
	Clock clock.Clock

	mu     sync.Mutex
	lag    clock.Millis
	freeze bool
	frozen backoffice.Listing
	// listings are the states of the list, oldest first, without those that are no longer shown.
	listings []backoffice.Listing
}

// SetLag sets how far the list lags behind, in milliseconds.
func (l *List) SetLag(lag clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Freeze keeps the list as it is shown now, or lets it go on.
func (l *List) Freeze(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on && !l.freeze {
		l.frozen = l.shown()
	}
	l.freeze = on
}

// shown returns the list as it lags; l.mu is held.
func (l *List) shown() backoffice.Listing {
	asOf := l.Clock.Wall() - l.lag
	for len(l.listings) > 1 && l.listings[1].AsOf <= asOf {
		l.listings = l.listings[1:]
	}
	out := backoffice.Listing{AsOf: asOf}
	if len(l.listings) > 0 && l.listings[0].AsOf <= asOf {
		out.Instances = l.listings[0].Instances
	}
	return out
}

// Instances returns the list as it is shown; its error is *backoffice.UnavailableError.
func (l *List) Instances(ctx context.Context) (backoffice.Listing, error) {
	if err := l.enter(ctx, l.Clock, listService); err != nil {
		return backoffice.Listing{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeze {
		return l.frozen, nil
	}
	return l.shown(), nil
}

// Put adds or replaces an instance.
func (l *List) Put(in backoffice.Instance) {
	l.change(func(byName map[string]backoffice.Instance) { byName[in.Name] = in })
}

// Remove drops an instance.
func (l *List) Remove(name string) {
	l.change(func(byName map[string]backoffice.Instance) { delete(byName, name) })
}

func (l *List) change(edit func(map[string]backoffice.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byName := map[string]backoffice.Instance{}
	if n := len(l.listings); n > 0 {
		for _, in := range l.listings[n-1].Instances {
			byName[in.Name] = in
		}
	}
	edit(byName)
	instances := slices.SortedFunc(maps.Values(byName), func(a, b backoffice.Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	l.listings = append(l.listings, backoffice.Listing{AsOf: l.Clock.Wall(), Instances: instances})
}
