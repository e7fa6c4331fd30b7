package scaling

import (
	"maps"
	"math"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
)

const (
	// minStart is the shortest time that a start is assumed to take.
	minStart = 5 * clock.Second
	// memoryStarts is the time for which demand is remembered, as a multiple of the time that a start takes: bursts that come again within
	// it find their upstreams running.
	memoryStarts = 3
	// maxListAge is the age of the upstream list above which nothing is ordered; one read waits for up to 4 seconds.
	maxListAge = 8 * clock.Second
	// riseReports and fallReports are the shares of the instances that must have reported. A part of the demand justifies a rise, but no fall.
	riseReports = 0.5
	fallReports = 0.9
	// lateShare is the share of late answers above which nothing is taken away.
	lateShare = 0.05
	// minCoverage is the part of the observations that must have been made; an instance that was suspended has none for some time.
	minCoverage = 0.8
	// minFall is the smallest reduction that is ordered, as a fraction of the running upstreams, unless it reaches the minimum.
	minFall = 0.1
)

// State is what is known of a service at a moment.
type State struct {
	Now  clock.Millis
	Pool *catalogue.Pool
	// Target is the target latency of the callers.
	Target clock.Millis
	Demand Demand
	// Running has the listed upstreams that may get new work, by zone and release.
	Running map[string]map[string]int
	// Rollout is true while a release rollout of the service is running.
	Rollout bool
	// Reporting is the share of the instances whose reports are in Demand, and ListAge the age of the upstream list.
	Reporting float64
	ListAge   clock.Millis
}

// Plan decides on the number of upstreams of one service; its methods must not be called concurrently.
type Plan struct {
	samples []sample
	zones   map[string]*zonePlan
	usual   usualTimes
	// rolloutAt is when a release rollout was last seen running, and lastChange when the running upstreams last changed.
	rolloutAt, lastChange clock.Millis
	rolledOut             bool
}

type sample struct {
	at   clock.Millis
	need float64
	// sure is false if the need may be higher than what is known of it.
	sure bool
}

// zonePlan is what is known of a zone and of the orders for it.
type zonePlan struct {
	running int
	wanted  int
	seenAt  clock.Millis
	// order is the last order; it counts as what will run until orderUntil.
	order      duty.ScaleOrder
	orderUntil clock.Millis
	repeats    int
	// lacking is true while the zone has less than its reserve, since lackingAt.
	lacking   bool
	lackingAt clock.Millis
}

// Observe records a state; it is to be called every second, also by instances that don't hold the lease.
func (p *Plan) Observe(s State) {
	if p.zones == nil {
		p.zones = map[string]*zonePlan{}
	}
	if s.Rollout {
		p.rolloutAt, p.rolledOut = s.Now, true
	}
	memory := memoryStarts * startTime(s.Pool)
	if s.ListAge <= maxListAge {
		p.observeRunning(s, memory)
	}
	running := 0
	for _, z := range p.zones {
		running += z.running
	}
	demand := p.usual.bound(s.Demand, s.overloaded(running))
	need := demand.Need(s.Pool.Slots, s.Target)
	if s.Now-p.lastChange >= s.Pool.ColdTime {
		// New upstreams shorten the queues only after their cold start.
		need = max(need, s.leastNeed(running))
	}
	p.samples = append(p.samples, sample{at: s.Now, need: need, sure: s.known(fallReports) && !s.late()})
	p.samples = slices.DeleteFunc(p.samples, func(old sample) bool { return s.Now-old.at > memory })
}

func (p *Plan) observeRunning(s State, memory clock.Millis) {
	for zone := range s.Running {
		if p.zones[zone] == nil {
			p.zones[zone] = &zonePlan{}
		}
	}
	for name, z := range p.zones {
		n := p.countRunning(s, name)
		if n != z.running {
			p.lastChange = s.Now
		}
		z.running = n
		if n > 0 {
			z.seenAt = s.Now
		} else if s.Now-z.seenAt > memory {
			delete(p.zones, name)
			continue
		}
		if n > 0 && n == z.order.Count {
			z.order, z.orderUntil, z.repeats = duty.ScaleOrder{}, 0, 0
		}
		z.wanted = z.expected(s.Now)
	}
}

// countRunning counts the running upstreams of a zone. A rollout starts upstreams beside those of the old release, which leave some time
// after its end; until then only the larger release counts.
func (p *Plan) countRunning(s State, zone string) int {
	sum, most := 0, 0
	for _, n := range s.Running[zone] {
		sum += n
		most = max(most, n)
	}
	if p.inRollout(s) {
		return most
	}
	return sum
}

func (p *Plan) inRollout(s State) bool {
	return p.rolledOut && s.Now-p.rolloutAt <= startTime(s.Pool)
}

// Need returns the latest need, as a number of upstreams over all zones.
func (p *Plan) Need() float64 {
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[len(p.samples)-1].need
}

// Orders returns the orders that are due and records them as sent.
func (p *Plan) Orders(s State) []duty.ScaleOrder {
	if !s.known(riseReports) || len(p.samples) == 0 {
		return nil
	}
	p.decide(s)
	var due []duty.ScaleOrder
	for _, name := range slices.Sorted(maps.Keys(p.zones)) {
		z := p.zones[name]
		if z.running == 0 || z.wanted == z.expected(s.Now) {
			continue
		}
		order := duty.ScaleOrder{Service: s.Pool.Name, Zone: name, Count: z.wanted}
		if order == z.order {
			z.repeats++
		} else {
			z.order, z.repeats = order, 0
		}
		z.orderUntil = s.Now + repeatPause(s.Pool, z.repeats)
		due = append(due, order)
	}
	return due
}

// decide sets the number of upstreams that each zone should have.
func (p *Plan) decide(s State) {
	total := 0
	for _, z := range p.zones {
		z.wanted = z.expected(s.Now)
		total += z.wanted
	}
	start := startTime(s.Pool)
	now := p.Need()
	past := p.remembered(s.Now, start)
	for _, z := range p.zones {
		reserve := p.perZone(s.Pool, past.least)
		switch n := z.wanted; {
		case int(math.Ceil(now)) > total:
			z.wanted = max(n, p.perZone(s.Pool, now))
		case p.inRollout(s) || !past.covered:
		case z.lacks(n < reserve, s):
			// The upstreams carry the demand, but not the loss of a zone.
			z.wanted = reserve
		case past.sure && s.Now-p.lastChange >= s.Pool.Scaling.StartTime:
			z.wanted = fall(n, p.perZone(s.Pool, past.most), s.Pool.Scaling)
		}
	}
}

// lacks records whether the zone lacks upstreams, and reports whether it has for as long as a start takes: upstreams that others replace
// are missing for a shorter time.
func (z *zonePlan) lacks(lacking bool, s State) bool {
	if lacking && !z.lacking {
		z.lackingAt = s.Now
	}
	z.lacking = lacking
	return lacking && s.Now-z.lackingAt >= s.Pool.Scaling.StartTime
}

// past is the need of the last seconds.
type past struct {
	// least is the lowest need in the time that a start takes, and most the highest one that is remembered.
	least, most float64
	// covered is true if the need was observed for that time, and sure if it was known throughout.
	covered, sure bool
}

func (p *Plan) remembered(now, start clock.Millis) past {
	r, seen := past{least: math.Inf(1), sure: true}, clock.Millis(0)
	for _, n := range p.samples {
		r.most = max(r.most, n.need)
		if now-n.at <= start {
			r.least = min(r.least, n.need)
			r.sure = r.sure && n.sure
			seen += period
		}
	}
	r.covered = now-p.samples[0].at >= start && float64(seen) >= minCoverage*float64(start)
	return r
}

// perZone returns the number of upstreams in each zone with which the need is met after the loss of one zone.
func (p *Plan) perZone(pool *catalogue.Pool, need float64) int {
	left := max(1, len(p.zones)-1)
	n := int(math.Ceil(need / float64(left)))
	return min(max(n, pool.Scaling.Min, 1), pool.Scaling.Max)
}

// fall returns a lower number of upstreams if it is low enough to be worth an order.
func fall(n, lower int, limits *catalogue.ScaleLimits) int {
	if lower < n && (lower == limits.Min || float64(n-lower) >= minFall*float64(n)) {
		return lower
	}
	return n
}

// Failed records that an order was not accepted, so that it is repeated after a pause.
func (p *Plan) Failed(o duty.ScaleOrder, now clock.Millis) {
	if z := p.zones[o.Zone]; z != nil && z.order == o {
		z.orderUntil = now + min(maxRepeatPause, refusedPause<<min(z.repeats, maxDoublings))
	}
}

// Forget drops the orders of this instance, which another one may have replaced.
func (p *Plan) Forget() {
	for _, z := range p.zones {
		z.order, z.orderUntil, z.repeats = duty.ScaleOrder{}, 0, 0
	}
}

const (
	// listDelay is the time until a started or leaving upstream is in the list of this instance.
	listDelay = 3 * clock.Second
	// refusedPause is the pause after an order that was not accepted. Pauses double with each repeat, up to maxRepeatPause.
	refusedPause   = 2 * clock.Second
	maxRepeatPause = 300 * clock.Second
	maxDoublings   = 8
)

// repeatPause returns the time after which an order is repeated if other numbers of upstreams run.
func repeatPause(pool *catalogue.Pool, repeats int) clock.Millis {
	return min(maxRepeatPause, (pool.Scaling.StartTime+listDelay)<<min(repeats, maxDoublings))
}

// expected returns the number of upstreams that run once the pending order is carried out.
func (z *zonePlan) expected(now clock.Millis) int {
	if now < z.orderUntil {
		return z.order.Count
	}
	return z.running
}

// known reports whether enough is known to order, with reports of at least a share of the instances.
func (s State) known(share float64) bool {
	return s.ListAge <= maxListAge && s.Reporting >= share
}

// startTime returns the time from an order until a new upstream carries its full load.
func startTime(pool *catalogue.Pool) clock.Millis {
	return max(minStart, pool.Scaling.StartTime+pool.ColdTime)
}
