package audit

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Compare returns what changes for callers from one table to the next: first the routes and keys that are removed, then requests
// that go to other services, then what tightens. A table that instances ignore for its version is an error.
func Compare(from, to *catalogue.RouteTable) []Finding {
	if reflect.DeepEqual(from, to) {
		return nil
	}
	var removed, moved, tightened findings
	if to.Version <= from.Version {
		removed.add(Error, RuleVersion, "Version", "instances that use version %d ignore version %d; set a higher one", from.Version, to.Version)
	}
	compareKeys(&removed, from, to)
	for _, old := range effectiveRoutes(from) {
		r := to.Find(old.Host, old.Prefix)
		if r == nil {
			removed.add(Difference, RuleRouteRemoved, routePlace(old), "requests for %s%s are refused from now on; keep the route if they are still sent", old.Host, old.Prefix)
			continue
		}
		compareAccess(&removed, old, r)
		compareTargets(&moved, old, r)
		compareRoutes(&tightened, old, r)
	}
	for _, r := range effectiveRoutes(to) {
		// A longer prefix takes requests from a route that itself stays.
		if old := from.Find(r.Host, r.Prefix); old != nil && old.Prefix != r.Prefix {
			compareAccess(&removed, old, r)
			compareTargets(&moved, old, r)
			compareRoutes(&tightened, old, r)
		}
	}
	comparePools(&tightened, from, to)
	compareLimits(&tightened, from, to)
	return slices.Concat(removed, moved, tightened)
}

// effectiveRoutes returns the routes that requests can match, by host and the longest prefix first.
func effectiveRoutes(t *catalogue.RouteTable) []*catalogue.Route {
	var out []*catalogue.Route
	for _, host := range slices.Sorted(maps.Keys(t.Routes)) {
		for _, r := range t.Routes[host] {
			if t.Find(host, r.Prefix) == r {
				out = append(out, r)
			}
		}
	}
	return out
}

// compareKeys counts keys by workspace in place of naming them, since they are secret.
func compareKeys(out *findings, from, to *catalogue.RouteTable) {
	if to.Keys == nil {
		return
	}
	if from.Keys == nil {
		out.add(Difference, RuleKeyRequired, "Workspaces", "routes that are not anonymous require an API key from now on; tell callers before")
		return
	}
	lost, moved := map[string]int{}, map[[2]string]int{}
	for key, old := range from.Keys {
		holder, held := to.Keys[key]
		switch {
		case !held:
			lost[old.Workspace]++
		case holder.Workspace != old.Workspace:
			moved[[2]string{old.Workspace, holder.Workspace}]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(lost)) {
		out.add(Difference, RuleKeyRemoved, workspacePlace(name), "API keys removed: %d; requests with them are refused from now on", lost[name])
	}
	pairs := slices.SortedFunc(maps.Keys(moved), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for _, p := range pairs {
		out.add(Difference, RuleKeyMoved, workspacePlace(p[0]), "API keys moved to workspace %q: %d; requests with them count for it from now on", p[1], moved[p])
	}
}

func compareAccess(out *findings, old, r *catalogue.Route) {
	if old.Anonymous && !r.Anonymous {
		out.add(Difference, RuleKeyRequired, routePlace(r), "requests for %s%s require an API key from now on; tell callers before", r.Host, r.Prefix)
	}
}

func compareTargets(out *findings, old, r *catalogue.Route) {
	before, after := splitText(old), splitText(r)
	if before == after {
		return
	}
	prefix := old.Prefix
	if len(r.Prefix) > len(prefix) {
		prefix = r.Prefix
	}
	out.add(Difference, RuleRequestsMoved, routePlace(r), "requests for %s%s go to %s instead of %s; check that there is room for them",
		r.Host, prefix, after, before)
}

// splitText lists the services by name with their share of the requests in percent.
func splitText(r *catalogue.Route) string {
	total, weights := 0.0, map[string]float64{}
	for _, s := range r.Split {
		total += s.Weight
		weights[s.Service] += s.Weight
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		switch share := weights[name] / max(total, weights[name]); {
		case weights[name] <= 0:
		case share == 1:
			parts = append(parts, name)
		default:
			parts = append(parts, fmt.Sprintf("%s (%.4g%%)", name, 100*share))
		}
	}
	if len(parts) == 0 {
		return r.Split[len(r.Split)-1].Service
	}
	return strings.Join(parts, ", ")
}

func compareRoutes(out *findings, old, r *catalogue.Route) {
	place := routePlace(r)
	compareLimit(out, place, "time limit", "ms", int64(old.TimeLimit), int64(r.TimeLimit))
	if old.MayRepeat() && r.MayRepeat() {
		compareLimit(out, place, "number of attempts", "", int64(old.MaxAttempts), int64(r.MaxAttempts))
	}
	if old.MayRepeat() && !r.MayRepeat() {
		out.add(Difference, RuleRetriesForbidden, place, "requests that may have run are not repeated any more; callers see more failures")
	}
	if r.Priority > old.Priority {
		out.add(Difference, RulePriorityLowered, place, "the priority falls from %d to %d; requests are refused earlier under load", old.Priority, r.Priority)
	}
	for _, model := range old.Sizes {
		if len(r.Sizes) > 0 && !slices.Contains(r.Sizes, model) {
			out.add(Difference, RuleModelRemoved, place, "model %q is not chosen any more; check that the others meet the callers' needs", model)
		}
	}
}

func comparePools(out *findings, from, to *catalogue.RouteTable) {
	for _, name := range slices.Sorted(maps.Keys(from.Pools)) {
		old, p := from.Pools[name], to.Pools[name]
		if p == nil {
			continue
		}
		place := poolPlace(name)
		compareLimit(out, place, "number of connections to an upstream", "", int64(old.MaxConnections), int64(p.MaxConnections))
		compareLimit(out, place, "number of concurrent requests of an engine", "", int64(old.Slots), int64(p.Slots))
		if old.Scaling != nil && p.Scaling != nil {
			compareLimit(out, place, "maximum number of upstreams", "", int64(old.Scaling.Max), int64(p.Scaling.Max))
		}
	}
}

func compareLimits(out *findings, from, to *catalogue.RouteTable) {
	compareLimit(out, limitsPlace, "size of request headers", "bytes", int64(from.MaxHeaderBytes), int64(to.MaxHeaderBytes))
	compareLimit(out, limitsPlace, "size of request bodies", "bytes", from.MaxBodyBytes, to.MaxBodyBytes)
	compareTimeout(out, "time to receive a request header", from.HeaderTimeout, to.HeaderTimeout)
	compareTimeout(out, "idle time of a connection", from.IdleTimeout, to.IdleTimeout)
}

// compareTimeout ignores times of 0, for which the settings of the instances hold.
func compareTimeout(out *findings, name string, from, to clock.Millis) {
	if from > 0 && to > 0 {
		compareLimit(out, limitsPlace, name, "ms", int64(from), int64(to))
	}
}

// compareLimit adds a finding if a limit falls, or is set where there was none, which is 0.
func compareLimit(out *findings, place, name, unit string, from, to int64) {
	if to <= 0 || from > 0 && to >= from {
		return
	}
	if unit != "" {
		unit = " " + unit
	}
	before := fmt.Sprintf("%d%s", from, unit)
	if from <= 0 {
		before = "unlimited"
	}
	out.add(Difference, RuleLimitTightened, place, "the %s falls from %s to %d%s; requests above it fail or wait", name, before, to, unit)
}
