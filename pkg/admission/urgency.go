package admission

import (
	"cmp"
	"slices"
	"sync"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Urgency is the standing of a call among all that the configuration lets compete for the same service.
type Urgency struct {
	// Rank is the number of more urgent priorities at the service, and Ranks the number of all priorities there.
	Rank, Ranks int
	// Target is the shortest target latency of the routes to the service that are at least as urgent, in milliseconds.
	Target clock.Millis
}

// IsOnly reports whether no other priority competes for the service.
func (u Urgency) IsOnly() bool { return u.Ranks <= 1 }

// Urgencies derives the urgency of calls from the configuration; it is safe for concurrent use.
type Urgencies struct {
	mu    sync.Mutex
	table *catalogue.RouteTable
	// levels has the priorities of each service, the most urgent first.
	levels map[string][]level
}

// level is one priority at a service, with the shortest target latency of the routes that are at least as urgent.
type level struct {
	priority int
	target   clock.Millis
}

// Of returns the urgency of a call with the priority at a service; a priority that no route has ranks behind those that are more urgent.
func (u *Urgencies) Of(t *catalogue.RouteTable, service string, priority int) Urgency {
	levels := u.serviceLevels(t)[service]
	rank, target := 0, clock.Millis(0)
	for _, l := range levels {
		if l.priority > priority {
			break
		}
		target = l.target
		if l.priority < priority {
			rank++
		}
	}
	if target == 0 && len(levels) > 0 {
		target = levels[0].target
	}
	return Urgency{Rank: rank, Ranks: max(len(levels), rank+1), Target: target}
}

// serviceLevels returns the levels of all services in the table, and computes them once for each table.
func (u *Urgencies) serviceLevels(t *catalogue.RouteTable) map[string][]level {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.table != t {
		u.table, u.levels = t, tableLevels(t)
	}
	return u.levels
}

func tableLevels(t *catalogue.RouteTable) map[string][]level {
	byService := map[string][]level{}
	for _, routes := range t.Routes {
		for _, r := range routes {
			for _, s := range r.Split {
				byService[s.Service] = append(byService[s.Service], level{r.Priority, r.Target})
			}
		}
	}
	for service, levels := range byService {
		byService[service] = mergeLevels(levels)
	}
	return byService
}

// mergeLevels sorts the levels by priority and keeps one of each, with the shortest target up to it.
func mergeLevels(levels []level) []level {
	slices.SortFunc(levels, func(a, b level) int { return cmp.Compare(a.priority, b.priority) })
	var merged []level
	for _, l := range levels {
		if n := len(merged); n > 0 {
			l.target = min(l.target, merged[n-1].target)
			if merged[n-1].priority == l.priority {
				merged[n-1] = l
				continue
			}
		}
		merged = append(merged, l)
	}
	return merged
}
