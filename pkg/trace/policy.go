package trace

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// The names of the policies that a replay compares.
const (
	PolicyRouter         = "router"
	PolicyOracle         = "oracle"
	PolicyRoundRobin     = "round robin"
	PolicyLeastLoaded    = "least loaded"
	PolicyAlwaysBest     = "always best"
	PolicyAlwaysCheapest = "always cheapest"
)

// policy is a way to choose version and upstream.
type policy struct {
	name   string
	choose func(in *instance) request.Filter
	place  func(in *instance) request.Filter
	// truths, if set, gives the health of versions in place of what the instances have learned.
	truths func(w *world) map[catalogue.HealthKey]catalogue.Health
}

func router() *policy {
	return &policy{
		name:   PolicyRouter,
		choose: func(in *instance) request.Filter { return in.choose() },
		place:  func(in *instance) request.Filter { return in.place() },
	}
}

// oracle is the router with perfect knowledge of what the versions give.
func oracle() *policy {
	p := router()
	p.name, p.truths = PolicyOracle, knowledge
	return p
}

func baselines() []*policy {
	place := func(in *instance) request.Filter { return in.place() }
	return []*policy{
		{
			name:   PolicyRoundRobin,
			choose: func(in *instance) request.Filter { return &chooseInTurn{instance: in} },
			place:  func(in *instance) request.Filter { return &placeSimply{instance: in, pick: inTurn()} },
		},
		{
			name:   PolicyLeastLoaded,
			choose: func(in *instance) request.Filter { return &chooseLeastLoaded{instance: in} },
			place:  func(in *instance) request.Filter { return &placeSimply{instance: in, pick: leastLoaded} },
		},
		{
			name:   PolicyAlwaysBest,
			choose: func(in *instance) request.Filter { return &chooseByEstimate{instance: in, better: higherQuality} },
			place:  place,
		},
		{
			name:   PolicyAlwaysCheapest,
			choose: func(in *instance) request.Filter { return &chooseByEstimate{instance: in, better: lowerPrice} },
			place:  place,
		},
	}
}
