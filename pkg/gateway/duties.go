package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/scaling"
	"carawayknot.example/carawayknot/pkg/settings"
	"carawayknot.example/carawayknot/pkg/usage"
)

const (
	// leaseCandidates is the number of members that watch the lease.
	leaseCandidates = 3
	// unaskedTimeout is how long no holder has asked for counts until other members watch the lease too, by rank in steps of
	// unaskedStep, in milliseconds.
	unaskedTimeout              = 20 * clock.Second
	unaskedStep    clock.Millis = 200
	// unheardStep takes the place of unaskedStep where no holder asks for counts.
	unheardStep = 5 * clock.Second
	// countsKept is how long counts are kept beyond the time at which their report is due, in milliseconds.
	countsKept = 20 * clock.Second
	// tellPeriod is the time between two messages with the counts of a draining instance, and tellTimeout bounds the last one, in
	// milliseconds.
	tellPeriod               = clock.Second
	tellTimeout clock.Millis = 300
)

// duties carries out the duties that one instance at a time holds; it is nil where the platform asks for none.
type duties struct {
	settings *settings.Duties
	keeper   *duty.Keeper
	guard    *duty.Guard
	// counter, service and reporter are nil unless usage is reported.
	counter  *usage.Counter
	service  *usage.Service
	reporter *usage.Reporter
	// meter and runner are nil unless upstreams are ordered.
	meter  *scaling.Meter
	runner *scaling.Runner
}

// buildDuties creates the duties that the settings ask for.
func (in *Instance) buildDuties() error {
	d := &in.Settings.Duties
	if !d.Enabled(duty.Usage) && !d.Enabled(duty.Scaling) {
		return nil
	}
	id := make([]byte, 12)
	if _, err := rand.Read(id); err != nil {
		return errors.Wrap(err, "draw process id")
	}
	in.duties = &duties{settings: d}
	in.duties.keeper = &duty.Keeper{
		Clock: in.Clock, Log: in.Log.WithName("duty"), Store: in.LeaseStore, Self: in.self.Name, ID: hex.EncodeToString(id),
		Lease: d.Lease, FencingRequired: d.FencingRequired, Candidate: in.isLeaseCandidate,
	}
	in.duties.guard = &duty.Guard{Keeper: in.duties.keeper, Caller: in.DutyCalls}
	if d.Enabled(duty.Scaling) {
		in.buildScaling(in.duties)
	}
	if !d.Enabled(duty.Usage) {
		return nil
	}
	return in.buildUsage(in.duties)
}

func (in *Instance) buildUsage(d *duties) error {
	log := in.Log.WithName("usage")
	length, delay := d.settings.ReportWindow(), d.settings.UsageDelay()
	d.counter = &usage.Counter{Clock: in.Clock, Keep: delay + 2*length + countsKept}
	d.service = &usage.Service{
		Clock: in.Clock, Log: log, Self: in.self.Name, ID: d.keeper.ID, Counter: d.counter, Network: in.network, Since: in.startedAt,
		Length: length,
	}
	d.reporter = &usage.Reporter{
		Clock: in.Clock, Log: log, Self: in.self.Name, Lease: d.keeper, Caller: d.guard, Network: in.network, Local: d.service,
		Members: func() []catalogue.Member { return in.control.Snapshot().Members },
		Order:   leaseOrder,
		Leaving: in.draining.Load,
		Length:  length, Delay: delay, Tolerance: d.settings.UsageTolerance,
	}
	d.service.OnPush, d.service.Collected = d.reporter.Push, d.reporter.Collected
	return in.network.Register(usage.ServiceName, d.service)
}

// startDuties starts the loops of the duties in a group.
func (in *Instance) startDuties(ctx context.Context, g *errgroup.Group) {
	if in.duties == nil {
		return
	}
	g.Go(func() error { return in.duties.keeper.Run(ctx) })
	if in.duties.reporter != nil {
		g.Go(func() error { return in.duties.reporter.Run(ctx) })
	}
	if in.duties.runner != nil {
		g.Go(func() error { return in.duties.runner.Run(ctx) })
	}
}

// isLeaseCandidate reports whether this instance may acquire the lease. The holder names the instances that stand by; without one, the first
// members by rank are candidates, and later ones once no holder has been heard of for long.
func (in *Instance) isLeaseCandidate(now clock.Millis) bool {
	if in.draining.Load() {
		return false
	}
	heardAt := in.startedAt
	if in.duties.service != nil {
		askedAt, standby := in.duties.service.Asked()
		if askedAt > 0 && now-askedAt < unaskedTimeout {
			return standby
		}
		heardAt = max(heardAt, askedAt)
	}
	order := leaseOrder(in.control.Snapshot().Members)
	rank := slices.IndexFunc(order, func(m catalogue.Member) bool { return m.Name == in.self.Name })
	if rank < 0 {
		return false
	}
	step := unaskedStep
	if in.duties.service == nil {
		// Nobody hears of a holder then, and each further candidate reads the store.
		step = unheardStep
	}
	return rank < leaseCandidates || now-heardAt >= unaskedTimeout+clock.Millis(rank)*step
}

// leaseOrder returns members in the order in which they are candidates for the lease: first the first one of each zone by rank, then the others.
func leaseOrder(members []catalogue.Member) []catalogue.Member {
	const key = "lease"
	zones := map[string]bool{}
	var first, others []catalogue.Member
	for _, m := range membership.Rank(key, members) {
		if zones[m.Zone] {
			others = append(others, m)
			continue
		}
		zones[m.Zone] = true
		first = append(first, m)
	}
	return append(first, others...)
}

// countUsage counts a call that an upstream has begun, once for all its attempts.
func (in *Instance) countUsage(c *request.Call) {
	if in.duties == nil || in.duties.counter == nil || c.Begun {
		return
	}
	c.Begun = true
	in.duties.counter.Add(c.Request.Workspace)
}

// leaveDuties releases the lease, and then tells the counts of this instance until ctx ends.
func (in *Instance) leaveDuties(ctx context.Context) {
	if in.duties == nil {
		return
	}
	if err := in.duties.keeper.Release(ctx); err != nil {
		in.Log.Info("releasing the lease failed", "error", err.Error())
	}
	if in.duties.service == nil {
		return
	}
	for clock.Sleep(ctx, in.Clock, tellPeriod) == nil {
		in.tellCounts(ctx)
	}
	lastCtx, cancel := clock.WithTimeout(context.Background(), in.Clock, tellTimeout)
	defer cancel()
	in.tellCounts(lastCtx)
}

// tellCounts tells the counts of this instance to the last holder that asked for them, or to the one that the store names.
func (in *Instance) tellCounts(ctx context.Context) {
	if in.duties.service.Tell(ctx, "") {
		return
	}
	holder, err := in.duties.keeper.Holder(ctx)
	if err != nil {
		in.Log.Info("the holder of the lease is unknown", "error", err.Error())
		return
	}
	in.duties.service.Tell(ctx, holder)
}
