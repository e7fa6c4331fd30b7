package scaling

import "math"

const (
	// calmWeight and overloadWeight are the weights of the newest observation in the usual times of a request.
	calmWeight     = 0.1
	overloadWeight = 0.005
	// maxFactor and maxOverloadFactor bound the times of requests by their usual ones: they grow somewhat with the load, and in overload,
	// or at upstreams that crash, they contain waits.
	maxFactor         = 2.0
	maxOverloadFactor = 1.5
	// maxChange is the change of the rate of requests between two observations up to which the times of requests are learned: after a
	// change, the requests under way lag behind.
	maxChange = 0.2
	// saturationFactor is the least need while all slots are taken, as a multiple of the running upstreams.
	saturationFactor = 1.25
)

// usualTimes are the usual times of a request at an upstream and of the reading of its prompt, in seconds.
type usualTimes struct {
	known            bool
	atUpstream, read float64
	// requests is the rate of requests at the last observation.
	requests float64
}

// bound learns from a demand and returns it with the times of requests bounded by the usual ones.
func (u *usualTimes) bound(d Demand, overloaded bool) Demand {
	steady := math.Abs(d.Requests-u.requests) <= maxChange*u.requests
	u.requests = d.Requests
	if d.Requests <= 0 {
		return d
	}
	atUpstream, read, weight, factor := d.UnderWay/d.Requests, d.Reading/d.Requests, calmWeight, maxFactor
	if overloaded {
		weight, factor = overloadWeight, maxOverloadFactor
	}
	switch {
	case u.known && (steady || overloaded):
		u.atUpstream += weight * (atUpstream - u.atUpstream)
		u.read += weight * (read - u.read)
	case !u.known && steady && !overloaded:
		u.known, u.atUpstream, u.read = true, atUpstream, read
	case !u.known:
		return d
	}
	d.UnderWay = min(d.UnderWay, factor*u.atUpstream*d.Requests)
	d.Reading = min(d.Reading, factor*u.read*d.Requests)
	return d
}

// leastNeed returns the number of upstreams that are needed however long requests usually take: more than run while all slots are taken.
func (s State) leastNeed(running int) float64 {
	if s.Pool.Slots > 0 && running > 0 && s.Demand.UnderWay > float64(s.Pool.Slots*running) {
		return saturationFactor * float64(running)
	}
	return 0
}

// overloaded reports whether requests wait for upstreams, of which running take requests.
func (s State) overloaded(running int) bool {
	slots := float64(s.Pool.Slots * running)
	return s.late() || slots > 0 && s.Demand.UnderWay > maxUtilization*slots
}

// late reports whether more answers are late than callers accept.
func (s State) late() bool { return s.Demand.Late > lateShare*s.Demand.Requests }
