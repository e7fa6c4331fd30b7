package trace

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// Names of the policies that a replay compares.
const (
	// PolicyRouter is the router itself.
	PolicyRouter = "router"
	// PolicyOracle is the router with perfect knowledge of the versions' true quality.
	PolicyOracle = "oracle"
	// PolicyRoundRobin takes versions and upstreams in turn.
	PolicyRoundRobin = "round robin"
	// PolicyLeastLoaded takes the upstream with the fewest requests in flight.
	PolicyLeastLoaded = "least loaded"
	// PolicyAlwaysBest takes the version for which operators state the highest quality.
	PolicyAlwaysBest = "always best"
	// PolicyAlwaysCheapest takes the version with the lowest output price.
	PolicyAlwaysCheapest = "always cheapest"
)

// policy selects the version and the upstream of each request.
type policy struct {
	name            string
	versionFilter   func(in *instance) request.Filter
	placementFilter func(in *instance) request.Filter
	// healthOverride, if set, replaces the version health that the instances learn from ratings.
	healthOverride func(env *environment) map[catalogue.HealthKey]catalogue.Health
}

func routerPolicy() *policy {
	return &policy{
		name:            PolicyRouter,
		versionFilter:   func(in *instance) request.Filter { return in.versionFilter() },
		placementFilter: func(in *instance) request.Filter { return in.placementFilter() },
	}
}

// oraclePolicy is the router with the true health of all versions.
func oraclePolicy() *policy {
	p := routerPolicy()
	p.name, p.healthOverride = PolicyOracle, trueHealth
	return p
}

func baselinePolicies() []*policy {
	routerPlacement := func(in *instance) request.Filter { return in.placementFilter() }
	return []*policy{
		{
			name:            PolicyRoundRobin,
			versionFilter:   func(in *instance) request.Filter { return &roundRobinVersionFilter{instance: in} },
			placementFilter: func(in *instance) request.Filter { return &simplePlacementFilter{instance: in, pick: pickRoundRobin()} },
		},
		{
			name:            PolicyLeastLoaded,
			versionFilter:   func(in *instance) request.Filter { return &leastLoadedVersionFilter{instance: in} },
			placementFilter: func(in *instance) request.Filter { return &simplePlacementFilter{instance: in, pick: pickLeastLoaded} },
		},
		{
			name:            PolicyAlwaysBest,
			versionFilter:   func(in *instance) request.Filter { return &estimateVersionFilter{instance: in, better: higherQuality} },
			placementFilter: routerPlacement,
		},
		{
			name:            PolicyAlwaysCheapest,
			versionFilter:   func(in *instance) request.Filter { return &estimateVersionFilter{instance: in, better: lowerPrice} },
			placementFilter: routerPlacement,
		},
	}
}
