package dispatch

import (
	"math"
	"math/rand/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// loadReportHalfLifeMillis is the age at which a load report has half its weight.
	loadReportHalfLifeMillis = 1000.0
	// otherZonePenalty is added to the load of an upstream in another zone, as a fraction of its capacity.
	otherZonePenalty = 0.05
	// cachedPrefixBonus is subtracted from the load of an upstream that has cached the prompt prefix, as a fraction of its capacity.
	cachedPrefixBonus = 0.2
	// defaultCapacity is the assumed number of concurrent requests of an upstream that reports no capacity.
	defaultCapacity = 8
	// sampleCount is the number of upstreams drawn for comparison, by a pseudo-random sequence that depends on the request ID.
	sampleCount = 2
)

// Query has the parameters by which Pick selects the upstream of one attempt.
type Query struct {
	Now       clock.Millis
	RequestID string
	// Attempt is the number of previous attempts.
	Attempt int
	// Zone is the zone of this instance.
	Zone string
	// Members is the number of entry instances; the requests of all are estimated as this many times those of this instance.
	Members int
	// Prefix is the hash of the prompt prefix, or 0 if there is none.
	Prefix   uint64
	Excluded []string
	// TimeLeft is the time until the deadline of the request, and ColdHold the longest time that a request may take at a cold upstream,
	// in milliseconds; a longer one could still be in flight there when the share has passed to another instance.
	TimeLeft clock.Millis
	ColdHold clock.Millis
	// Outliers may be nil.
	Outliers *OutlierDetector
	// NoRetryLeft is true if a failed attempt could not be retried.
	NoRetryLeft bool
}

// InFlightCounter returns the number of this instance's requests in flight at an upstream.
type InFlightCounter interface {
	InFlight(upstream string) int
}

// PrefixSet reports whether an upstream has probably cached a prompt prefix.
type PrefixSet interface {
	Has(upstream string, prefix uint64) bool
}

// Pick returns the least loaded of a few sampled upstreams, or of all if no sampled one has capacity, or nil if none has.
func Pick(q *Query, upstreams []*catalogue.Upstream, inFlight InFlightCounter, prefixes PrefixSet) *catalogue.Upstream {
	if len(upstreams) == 0 {
		return nil
	}
	var best *catalogue.Upstream
	bestLoad := math.Inf(1)
	consider := func(u *catalogue.Upstream) {
		if load, ok := q.load(u, inFlight, prefixes); ok && load < bestLoad {
			best, bestLoad = u, load
		}
	}
	sample := func(h uint64) {
		if u := upstreams[h%uint64(len(upstreams))]; !q.avoids(u.Name) {
			consider(u)
		}
	}
	rng := rand.NewPCG(request.HashKey("pick", q.RequestID), uint64(q.Attempt))
	for range sampleCount {
		sample(rng.Uint64())
	}
	if q.Prefix != 0 {
		// Requests with the same prefix share this sample, so that they tend to use the same upstream.
		sample(q.Prefix)
	}
	if best != nil {
		return best
	}
	for _, u := range upstreams {
		if !q.avoids(u.Name) {
			consider(u)
		}
	}
	if best != nil {
		return best
	}
	// Outliers are used only if no other upstream has capacity.
	for _, u := range upstreams {
		consider(u)
	}
	return best
}

// load estimates the load of the upstream as a fraction of its capacity; it is false if this instance may not send it the request.
func (q *Query) load(u *catalogue.Upstream, inFlight InFlightCounter, prefixes PrefixSet) (float64, bool) {
	own := inFlight.InFlight(u.Name)
	if own >= u.Share || u.Cold && q.TimeLeft > q.ColdHold || q.excludes(u.Name) {
		return 0, false
	}
	capacity := u.Load.Bearable
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	load := q.inFlight(u, own) / float64(capacity)
	if u.Zone != q.Zone {
		load += otherZonePenalty
	}
	if q.Prefix != 0 && prefixes != nil && prefixes.Has(u.Name, q.Prefix) {
		load -= cachedPrefixBonus
	}
	return load, true
}

// inFlight estimates the number of requests at the upstream: its last report and an extrapolation of this instance's requests to all
// members, weighted by the age of the report, plus this instance's requests.
func (q *Query) inFlight(u *catalogue.Upstream, own int) float64 {
	estimate := float64(own * max(1, q.Members))
	if u.Load.At == 0 {
		return estimate + float64(own)
	}
	age := float64(max(0, q.Now-u.Load.At))
	weight := math.Exp2(-age / loadReportHalfLifeMillis)
	return weight*float64(u.Load.InFlight) + (1-weight)*estimate + float64(own)
}

// avoids reports whether other upstreams are to be tried first. Without a retry left, that also goes for an upstream whose avoidance has
// ended but that has not answered since, because nothing could make up for another failure.
func (q *Query) avoids(name string) bool {
	return q.Outliers.ShouldAvoid(name, q.Now) || q.NoRetryLeft && q.Outliers.LastAttemptFailed(name)
}

func (q *Query) excludes(name string) bool {
	for _, x := range q.Excluded {
		if x == name {
			return true
		}
	}
	return false
}
