package scaling

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
)

const (
	// period is the time between two decisions.
	period = clock.Second
	// orderTimeout bounds the time that an order may take.
	orderTimeout = 2 * clock.Second
)

// LeaseHolder knows whether this instance holds the lease.
type LeaseHolder interface {
	// Held returns the lease, and true only while this instance knows that it holds it.
	Held(now clock.Millis) (duty.Lease, bool)
}

// Platform carries out orders.
type Platform interface {
	Scale(ctx context.Context, lease duty.Lease, order duty.ScaleOrder) error
}

// Runner plans the number of upstreams of all services that have limits, and orders them while this instance holds the lease; its exported
// fields must be set before Run.
type Runner struct {
	Clock    clock.Clock
	Log      logr.Logger
	Meter    *Meter
	Lease    LeaseHolder
	Platform Platform
	Snapshot func() *catalogue.Snapshot
	// ListAge returns the age of the upstream list.
	ListAge func() clock.Millis
	// OnZone is called when a zone of a service is seen for the first time; it may be nil.
	OnZone func(service, zone string)

	mu sync.Mutex
	// plans is by service, and zones has all zones ever seen.
	plans map[string]*Plan
	zones map[ZoneKey]bool
}

// ZoneKey identifies the upstreams of a service in an availability zone.
type ZoneKey struct {
	Service string
	Zone    string
}

// ZoneState is what is known of the upstreams of a service in an availability zone.
type ZoneState struct {
	Service string
	Zone    string
	// Running, Wanted and Ordered are numbers of upstreams; Ordered is 0 without an order under way.
	Running int
	Wanted  int
	Ordered int
}

// Run plans and orders until ctx ends, and returns the error of ctx.
func (r *Runner) Run(ctx context.Context) error {
	for {
		if err := clock.Sleep(ctx, r.Clock, period); err != nil {
			return err
		}
		r.step(ctx)
	}
}

// step plans once and sends the orders that are due.
func (r *Runner) step(ctx context.Context) {
	snapshot := r.Snapshot()
	if snapshot.Routes == nil {
		return
	}
	_, held := r.Lease.Held(r.Clock.Now())
	reporting := r.Meter.Reporting(len(snapshot.Members))
	var due []duty.ScaleOrder
	r.mu.Lock()
	maps.DeleteFunc(r.plans, func(service string, _ *Plan) bool {
		pool := snapshot.Routes.Pools[service]
		return pool == nil || pool.Scaling == nil
	})
	for service, pool := range snapshot.Routes.Pools {
		if pool.Scaling == nil {
			continue
		}
		s := r.state(snapshot, pool, reporting)
		p := r.plan(service)
		p.Observe(s)
		if !held {
			p.Forget()
			continue
		}
		due = append(due, r.logged(s, p.Need(), p.Orders(s))...)
	}
	added := r.addZones()
	r.mu.Unlock()
	if r.OnZone != nil {
		for _, key := range added {
			r.OnZone(key.Service, key.Zone)
		}
	}
	var wg sync.WaitGroup
	for _, order := range due {
		wg.Go(func() { r.send(ctx, order) })
	}
	wg.Wait()
}

func (r *Runner) plan(service string) *Plan {
	p := r.plans[service]
	if p == nil {
		if r.plans == nil {
			r.plans, r.zones = map[string]*Plan{}, map[ZoneKey]bool{}
		}
		p = &Plan{}
		r.plans[service] = p
	}
	return p
}

func (r *Runner) state(snapshot *catalogue.Snapshot, pool *catalogue.Pool, reporting float64) State {
	s := State{
		Now: r.Clock.Now(), Pool: pool, Target: callerTarget(snapshot.Routes, pool.Name), Demand: r.Meter.Demand(pool.Name),
		Running: map[string]map[string]int{}, Reporting: reporting, ListAge: r.ListAge(),
	}
	if rollout := snapshot.Moves[pool.Name]; rollout != nil {
		s.Rollout = rollout.State == catalogue.ReleaseRunning
	}
	for _, u := range snapshot.Pools[pool.Name] {
		if s.Running[u.Zone] == nil {
			s.Running[u.Zone] = map[string]int{}
		}
		s.Running[u.Zone][u.Release]++
	}
	return s
}

// logged logs the orders with the figures behind them and returns them.
func (r *Runner) logged(s State, need float64, orders []duty.ScaleOrder) []duty.ScaleOrder {
	for _, o := range orders {
		running := 0
		for _, n := range s.Running[o.Zone] {
			running += n
		}
		r.Log.Info("ordering upstreams", "service", o.Service, "zone", o.Zone, "count", o.Count, "running", running,
			"need", need, "requestsPerSecond", s.Demand.Requests, "atUpstreams", s.Demand.UnderWay,
			"reading", s.Demand.Reading, "latePerSecond", s.Demand.Late, "targetMs", s.Target, "reporting", s.Reporting,
			"listAgeMs", s.ListAge, "rollout", s.Rollout)
	}
	return orders
}

// send sends an order if this instance still holds the lease. An order whose fate is unknown counts as accepted until its time is up.
func (r *Runner) send(ctx context.Context, o duty.ScaleOrder) {
	log := r.Log.WithValues("service", o.Service, "zone", o.Zone, "count", o.Count)
	lease, held := r.Lease.Held(r.Clock.Now())
	if !held {
		log.Info("order not sent, the lease has ended")
		r.failed(o)
		return
	}
	ctx, cancel := clock.WithTimeout(ctx, r.Clock, orderTimeout)
	defer cancel()
	err := r.Platform.Scale(ctx, lease, o)
	if err == nil {
		log.Info("order accepted", "token", lease.Token)
		return
	}
	log.Info("order failed", "token", lease.Token, "error", err.Error())
	if notCarriedOut(err) {
		r.failed(o)
	}
}

// notCarriedOut reports whether the platform has not carried out an order and won't.
func notCarriedOut(err error) bool {
	var throttled *duty.ThrottledError
	var fenced *duty.FencedError
	var expired *duty.ExpiredError
	var notHeld *duty.NotHeldError
	return errors.As(err, &throttled) || errors.As(err, &fenced) || errors.As(err, &expired) || errors.As(err, &notHeld)
}

func (r *Runner) failed(o duty.ScaleOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.plans[o.Service]; p != nil {
		p.Failed(o, r.Clock.Now())
	}
}

// addZones records the zones that are new and returns them.
func (r *Runner) addZones() []ZoneKey {
	var added []ZoneKey
	for service, p := range r.plans {
		for zone := range p.zones {
			if key := (ZoneKey{Service: service, Zone: zone}); !r.zones[key] {
				r.zones[key] = true
				added = append(added, key)
			}
		}
	}
	return added
}

// Zones returns the state of all zones, in order of service and zone.
func (r *Runner) Zones() []ZoneState {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var states []ZoneState
	for service, p := range r.plans {
		for zone, z := range p.zones {
			st := ZoneState{Service: service, Zone: zone, Running: z.running, Wanted: z.wanted}
			if now < z.orderUntil {
				st.Ordered = z.order.Count
			}
			states = append(states, st)
		}
	}
	slices.SortFunc(states, func(a, b ZoneState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return states
}
