package scaling

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// waitShare is the part of the target latency that the mean wait at an upstream may take. Waits are about exponentially distributed, so
	// that fewer than one request in 50 then waits for longer than the target.
	waitShare = 0.25
	// maxUtilization leaves room for uneven load among upstreams.
	maxUtilization = 0.9
	// minUtilization is the utilization below which more upstreams shorten no answer: the request itself takes the time.
	minUtilization = 0.5
	// bisectionSteps narrows a utilization down to less than 0.001.
	bisectionSteps = 10
	// defaultTarget is the target latency of services whose routes name none.
	defaultTarget = clock.Second
)

// Demand is what callers ask of a service, summed over all instances and averaged over the last seconds.
type Demand struct {
	// Requests is the number of requests sent to upstreams per second.
	Requests float64
	// UnderWay is the number of requests at upstreams.
	UnderWay float64
	// Reading is the number of upstreams that reading the prompts keeps busy.
	Reading float64
	// Late is the number of answers per second that began after the target latency.
	Late float64
}

// Need returns the number of upstreams with which requests wait no longer than callers accept, as a fraction; slots is the number of
// requests that one upstream runs at a time, or 0 if unknown.
func (d Demand) Need(slots int, target clock.Millis) float64 {
	wait := waitShare * target.Seconds()
	need := 0.0
	if d.Reading > 0 {
		need = d.Reading / utilization(1, d.meanTime(d.Reading), wait)
	}
	if slots > 0 && d.UnderWay > 0 {
		need = max(need, d.UnderWay/(float64(slots)*utilization(slots, d.meanTime(d.UnderWay), wait)))
	}
	return need
}

// meanTime returns the mean time of a request in a state, in seconds, from the number of requests in it.
func (d Demand) meanTime(n float64) float64 {
	if d.Requests <= 0 {
		return 0
	}
	return n / d.Requests
}

// utilization returns the highest utilization at which the mean wait for one of several slots is at most wait, by Sakasegawa's
// approximation; service is the mean time in a slot, both in seconds.
func utilization(slots int, service, wait float64) float64 {
	exponent := math.Sqrt(2*float64(slots+1)) - 1
	low, high := minUtilization, maxUtilization
	for range bisectionSteps {
		mid := (low + high) / 2
		if service*math.Pow(mid, exponent) <= wait*float64(slots)*(1-mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// callerTarget returns the shortest target latency of the routes of a service.
func callerTarget(t *catalogue.RouteTable, service string) clock.Millis {
	shortest := clock.Millis(0)
	for _, routes := range t.Routes {
		for _, r := range routes {
			for _, split := range r.Split {
				if split.Service == service && r.Target > 0 && (shortest == 0 || r.Target < shortest) {
					shortest = r.Target
				}
			}
		}
	}
	if shortest == 0 {
		return defaultTarget
	}
	return shortest
}
