package audit

import (
	"maps"
	"slices"
	"strings"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Check returns the entries of c that never match and the settings that contradict each other. Limits are compared with the memory
// of a machine in bytes unless that is 0.
func Check(c *Configuration, memory int64) []Finding {
	var out findings
	used := map[string]bool{}
	for _, host := range slices.Sorted(maps.Keys(c.Table.Routes)) {
		checkHost(&out, c.Table.Routes[host])
		for _, r := range c.Table.Routes[host] {
			checkSplit(&out, c.Table, r, used)
			checkModels(&out, c.Table, r)
			checkAttempts(&out, r)
		}
	}
	checkPools(&out, c.Pools, used)
	checkWorkspaces(&out, c.Workspaces)
	checkLimits(&out, c.Table, memory)
	return Sorted(out)
}

func checkHost(out *findings, routes []*catalogue.Route) {
	byPrefix := map[string]*catalogue.Route{}
	for _, r := range routes {
		if first := byPrefix[r.Prefix]; first != nil {
			out.add(Unreachable, RuleHiddenRoute, routePlace(r), "%s has the same host %s and prefix %s and stands before it; remove one of them",
				routePlace(first), r.Host, r.Prefix)
			continue
		}
		byPrefix[r.Prefix] = r
		if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
			out.add(Unreachable, RulePrefix, routePlace(r), "no path begins with %q; begin the prefix with a slash", r.Prefix)
		}
	}
}

func checkSplit(out *findings, t *catalogue.RouteTable, r *catalogue.Route, used map[string]bool) {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
		used[s.Service] = true
		if t.Pools[s.Service] == nil {
			out.add(Unreachable, RuleUnknownPool, routePlace(r), "service %q is not in the configuration; add it or name another", s.Service)
		}
	}
	if total <= 0 {
		out.add(Unreachable, RuleZeroWeight, routePlace(r), "the weights of the services add up to %g and don't divide the requests; set weights above 0", total)
		return
	}
	for _, s := range r.Split {
		if s.Weight <= 0 {
			out.add(Unreachable, RuleZeroWeight, routePlace(r), "service %q has weight %g and gets no requests; remove it or raise the weight", s.Service, s.Weight)
		}
	}
}

// checkModels skips pools without any costs, in which all models count the same.
func checkModels(out *findings, t *catalogue.RouteTable, r *catalogue.Route) {
	for _, s := range r.Split {
		p := t.Pools[s.Service]
		if p == nil || len(p.ModelCosts) == 0 {
			continue
		}
		for _, model := range r.Sizes {
			if p.ModelCosts[model] <= 0 {
				out.add(Contradiction, RuleModelWithoutCost, routePlace(r), "service %q has no cost for model %q; add the model there or remove it here", s.Service, model)
			}
		}
	}
}

func checkAttempts(out *findings, r *catalogue.Route) {
	if r.TimeLimit <= 0 {
		out.add(Contradiction, RuleTimeLimit, routePlace(r), "a time limit of %d ms bounds nothing; set one above 0", r.TimeLimit)
	} else if r.TimeLimit < r.Target {
		out.add(Contradiction, RuleTimeLimit, routePlace(r), "the time limit of %d ms is below the target latency of %d ms; raise the limit or lower the target",
			r.TimeLimit, r.Target)
	}
	if r.Resumable && !r.Streaming {
		out.add(Contradiction, RuleUnusedResumption, routePlace(r), "the route isn't streaming, so that its answers are never resumed; remove the setting or change the type")
	}
	if r.MaxAttempts <= 1 {
		return
	}
	if !r.MayRepeat() {
		out.add(Contradiction, RuleUnusedAttempts, routePlace(r), "%d attempts are allowed, but requests that may have run are never repeated on this route; set 1",
			r.MaxAttempts)
		return
	}
	earlier := clock.Millis(r.MaxAttempts-1) * r.Target
	if r.TimeLimit > 0 && r.TimeLimit >= r.Target && earlier >= r.TimeLimit {
		out.add(Contradiction, RuleAttemptsExceedLimit, routePlace(r),
			"the last of %d attempts would begin after the time limit of %d ms if each takes the target latency of %d ms; lower the attempts or raise the limit",
			r.MaxAttempts, r.TimeLimit, r.Target)
	}
}

func checkPools(out *findings, pools []Pool, used map[string]bool) {
	seen := map[string]bool{}
	for _, p := range pools {
		switch {
		case seen[p.Name]:
			out.add(Unreachable, RuleDuplicatePool, poolPlace(p.Name), "the service is listed more than once and only the last entry is in force; remove the others")
		case !used[p.Name]:
			out.add(Unreachable, RuleUnusedPool, poolPlace(p.Name), "no route names the service; remove it or add it to a route")
		}
		seen[p.Name] = true
		if p.ScalingIgnored {
			out.add(Contradiction, RuleScaling, poolPlace(p.Name),
				"the bounds of the number of upstreams are ignored; the minimum may not be above the maximum, the maximum not below 1, and nothing negative")
		}
	}
}

// checkWorkspaces names keys by their position, since they are secret.
func checkWorkspaces(out *findings, workspaces []Workspace) {
	holders := map[string]string{}
	last := map[string]*Workspace{}
	for i := range workspaces {
		w := &workspaces[i]
		if len(w.Keys) == 0 {
			out.add(Unreachable, RuleWorkspaceWithoutKeys, workspacePlace(w.Name), "the workspace has no API keys; add one or remove the workspace")
		}
		if other := last[w.Name]; other != nil && !equalPriority(other.Priority, w.Priority) {
			out.add(Contradiction, RuleWorkspacePriority, workspacePlace(w.Name), "the workspace is listed more than once with different priorities; its keys rank differently; merge the entries")
		}
		last[w.Name] = w
		for n, key := range w.Keys {
			if holder, held := holders[key]; held && holder != w.Name {
				out.add(Contradiction, RuleSharedKey, workspacePlace(w.Name), "key %d is also a key of workspace %q and belongs to the workspace that is listed last; issue another key", n+1, holder)
			}
			holders[key] = w.Name
		}
	}
}

func equalPriority(a, b *int) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func checkLimits(out *findings, t *catalogue.RouteTable, memory int64) {
	for _, l := range []struct {
		name  string
		bytes int64
	}{{"request headers", int64(t.MaxHeaderBytes)}, {"request bodies", t.MaxBodyBytes}} {
		if l.bytes <= 0 {
			out.add(Contradiction, RuleUnbounded, limitsPlace, "a limit of %d bytes leaves %s unbounded; set one above 0", l.bytes, l.name)
		}
		if memory > 0 && l.bytes > memory {
			out.add(Contradiction, RuleMemory, limitsPlace, "the limit of %d bytes for %s exceeds the machine's memory of %d bytes; lower it", l.bytes, l.name, memory)
		}
	}
}
