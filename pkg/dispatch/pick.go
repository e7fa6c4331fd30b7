package dispatch

import (
	"math"
	"math/rand/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// loadHalfLife is the age at which a load report counts half, in milliseconds.
	loadHalfLife = 1000.0
	// otherZoneLoad is the load that an upstream of another zone is taken to have on top, as a part of what it bears.
	otherZoneLoad = 0.05
	// prefixLoad is the load that a cached prompt prefix is worth, as a part of what the upstream bears.
	prefixLoad = 0.2
	// unknownBearable is what an upstream is taken to bear that reports nothing.
	unknownBearable = 8
	// samples is how many upstreams are compared.
	samples = 2
)

// Query asks for an upstream for one attempt.
type Query struct {
	Now       clock.Millis
	RequestID string
	// Attempt counts the attempts before this one.
	Attempt int
	// Zone is the zone of this instance.
	Zone string
	// Members is the number of entry instances.
	Members int
	// Prefix is the hash of the prompt prefix, 0 when there is none.
	Prefix   uint64
	Excluded []string
	// Stay is how long the request may stay at an upstream, and ColdHold how long a request may stay at a cold one,
	// in milliseconds; a request that may stay longer could still be there when another instance has got the share.
	Stay     clock.Millis
	ColdHold clock.Millis
	// Outliers may be nil.
	Outliers *Outliers
}

// InFlightCounter tells this instance's own requests in flight at an upstream.
type InFlightCounter interface {
	InFlight(upstream string) int
}

// PrefixSet tells whether an upstream is thought to hold a prompt prefix.
type PrefixSet interface {
	Has(upstream string, prefix uint64) bool
}

// Pick returns the least loaded of a few upstreams that have room, or nil when none has.
// The few are picked by the hash of the request, and the home of the prompt prefix is among them.
func Pick(q *Query, from []*catalogue.Upstream, flights InFlightCounter, prefixes PrefixSet) *catalogue.Upstream {
	if len(from) == 0 {
		return nil
	}
	var best *catalogue.Upstream
	bestLoad := math.Inf(1)
	consider := func(u *catalogue.Upstream) {
		if load, ok := q.load(u, flights, prefixes); ok && load < bestLoad {
			best, bestLoad = u, load
		}
	}
	sample := func(h uint64) {
		if u := from[h%uint64(len(from))]; !q.Outliers.Avoid(u.Name, q.Now) {
			consider(u)
		}
	}
	draws := rand.NewPCG(request.HashKey("pick", q.RequestID), uint64(q.Attempt))
	for range samples {
		sample(draws.Uint64())
	}
	if q.Prefix != 0 {
		sample(q.Prefix)
	}
	if best != nil {
		return best
	}
	for _, u := range from {
		if !q.Outliers.Avoid(u.Name, q.Now) {
			consider(u)
		}
	}
	if best != nil {
		return best
	}
	for _, u := range from {
		consider(u)
	}
	return best
}

// load estimates how full the upstream is; it is false when this instance may send it nothing more.
func (q *Query) load(u *catalogue.Upstream, flights InFlightCounter, prefixes PrefixSet) (float64, bool) {
	own := flights.InFlight(u.Name)
	if own >= u.Share || u.Cold && q.Stay > q.ColdHold || q.excludes(u.Name) {
		return 0, false
	}
	bearable := u.Load.Bearable
	if bearable <= 0 {
		bearable = unknownBearable
	}
	load := q.inFlight(u, own) / float64(bearable)
	if u.Zone != q.Zone {
		load += otherZoneLoad
	}
	if q.Prefix != 0 && prefixes != nil && prefixes.Has(u.Name, q.Prefix) {
		load -= prefixLoad
	}
	return load, true
}

// inFlight weighs what the upstream reported by its age against what this instance itself has in flight there.
func (q *Query) inFlight(u *catalogue.Upstream, own int) float64 {
	guess := float64(own * max(1, q.Members))
	if u.Load.At == 0 {
		return guess + float64(own)
	}
	age := float64(max(0, q.Now-u.Load.At))
	trust := math.Exp2(-age / loadHalfLife)
	return trust*float64(u.Load.InFlight) + (1-trust)*guess + float64(own)
}

func (q *Query) excludes(name string) bool {
	for _, x := range q.Excluded {
		if x == name {
			return true
		}
	}
	return false
}
