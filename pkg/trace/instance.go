package trace

import (
	"context"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/pricing"
	"carawayknot.example/carawayknot/pkg/rating"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// queueLimit is the number of requests that may wait at one instance.
	queueLimit = 200
	// cacheEventDelayMillis is the delivery delay of cache events.
	cacheEventDelayMillis = 1500
	// cacheEventLoss is the fraction of cache events that are lost.
	cacheEventLoss = 0.1
)

// instance is one instance of the router, with the request filters and control state of the daemon driven by the event loop.
type instance struct {
	common       settings.Common
	env          *environment
	run          *run
	peers        []*instance
	snapshot     *catalogue.Snapshot
	coldStarts   dispatch.ColdStartDetector
	ratings      rating.HealthTracker
	inFlight     dispatch.InFlightLimiter
	queue        dispatch.Queue
	prefixes     dispatch.PrefixIndex
	loads        map[string]catalogue.Load
	ratingCursor int
	eventCursors map[string]int
	chain        request.Handler
}

func newInstance(r *run, m Member) *instance {
	cfg := settings.Default()
	cfg.Name, cfg.Zone = m.Name, m.Zone
	in := &instance{
		common:       settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: r.loop.clock},
		env:          r.env,
		run:          r,
		loads:        map[string]catalogue.Load{},
		eventCursors: map[string]int{},
	}
	in.queue.Limit = queueLimit
	in.inFlight.OnRelease = in.queue.Wake
	in.ratings.Config = func() *catalogue.State { return r.env.activeConfig }
	in.chain = request.Chain(in.admissionFilter(), r.policy.versionFilter(in), r.policy.placementFilter(in), &sender{instance: in})
	return in
}

func (in *instance) currentSnapshot() *catalogue.Snapshot { return in.snapshot }

func (in *instance) admissionFilter() *dispatch.Admit {
	a := &dispatch.Admission{Limit: in.common.Settings.Limits.InFlight}
	return &dispatch.Admit{Common: in.common, Snapshot: in.currentSnapshot, Admission: a}
}

func (in *instance) placementFilter() *dispatch.Balancer {
	return &dispatch.Balancer{
		Common:   in.common,
		Snapshot: in.currentSnapshot,
		InFlight: &in.inFlight,
		Budget:   &dispatch.RetryBudget{Share: in.common.Settings.Limits.RetryShare},
		Outliers: &dispatch.OutlierDetector{},
		Queue:    &in.queue,
		Prefixes: &in.prefixes,
		Started:  in.coldStarts.RecordSample,
		Waiter:   eventLoopWaiter{},
	}
}

func (in *instance) versionFilter() *pricing.VersionFilter {
	return &pricing.VersionFilter{
		Common:       in.common,
		Snapshot:     in.currentSnapshot,
		Pins:         sharedPins{in.env},
		Rater:        groundTruthRater{in.env},
		Rated:        func(r backoffice.Rating) { in.ratings.RecordRatings([]backoffice.Rating{r}) },
		VerifyAnswer: in.verifyAnswer,
	}
}

// verifyAnswer rates an answer asynchronously: it delivers the true rating after raterLatencyMillis.
func (in *instance) verifyAnswer(q backoffice.RateRequest) {
	env, now := in.env, in.run.loop.clock.Now()
	score := env.trueScore(&Request{ID: q.RequestID}, catalogue.HealthKey{Version: q.Version, Task: q.Task})
	r := backoffice.Rating{RequestID: q.RequestID, Version: q.Version, Task: q.Task, Score: score}
	at := now + raterLatencyMillis
	in.run.loop.schedule(at, func() {
		env.syncRatings = append(env.syncRatings, timedRating{availableAt: at, answeredAt: now, rating: r})
		in.ratings.RecordRatings([]backoffice.Rating{r})
		in.holdRollouts()
	})
}

// start schedules the periodic work of the control thread; phase keeps the instances from running in lockstep.
func (in *instance) start(phase clock.Millis, end clock.Millis) {
	t := in.common.Settings.Times
	in.publishSnapshot()
	in.run.loop.repeat(phase, t.LoadPoll, end, in.pollUpstreams)
	in.run.loop.repeat(phase, probePeriod, end, in.probeColdUpstreams)
	in.run.loop.repeat(phase, t.RatingPoll, end, in.readRatings)
	in.run.loop.repeat(phase, t.PeerTick, end, in.mergePeers)
}

// pollUpstreams reads the load reports and cache events of all reachable upstreams and publishes a new snapshot.
func (in *instance) pollUpstreams() {
	for _, e := range in.env.engines {
		if e.down() {
			continue
		}
		in.pollEngine(e)
	}
	in.publishSnapshot()
}

func (in *instance) pollEngine(e *engine) {
	now, report := in.run.loop.clock.Now(), e.loadReport()
	in.coldStarts.RecordLoad(e.spec.Name, in.listedIncarnation(e.spec.Name), report, now)
	in.loads[e.spec.Name] = catalogue.Load{
		At:             now,
		InFlight:       report.InFlight,
		Bearable:       report.Bearable,
		TokenTime:      report.TokenTime,
		FirstTokenTime: report.FirstTokenTime,
	}
	in.readCacheEvents(e)
}

// readCacheEvents delivers new cache events after cacheEventDelayMillis and drops the fraction cacheEventLoss of them.
func (in *instance) readCacheEvents(e *engine) {
	from := in.eventCursors[e.spec.Name]
	in.eventCursors[e.spec.Name] = len(e.cacheEvents)
	fresh := e.cacheEvents[from:]
	if len(fresh) == 0 {
		return
	}
	var kept []backoffice.CacheEvent
	for _, ev := range fresh {
		if in.env.trace.seededFraction("event", e.spec.Name+string(rune(ev.Seq))) >= cacheEventLoss {
			kept = append(kept, ev)
		}
	}
	name := e.spec.Name
	in.run.loop.schedule(in.run.loop.clock.Now()+cacheEventDelayMillis, func() {
		in.prefixes.ApplyEvents(name, backoffice.CacheEvents{Events: kept})
	})
}

func (in *instance) listedIncarnation(name string) int64 {
	for i := range in.env.listedUpstreams {
		if in.env.listedUpstreams[i].Name == name {
			return in.env.listedUpstreams[i].Incarnation
		}
	}
	return 0
}

// publishSnapshot replaces the snapshot on which the request filters decide.
func (in *instance) publishSnapshot() {
	now := in.run.loop.clock.Now()
	s := &catalogue.Snapshot{At: now, Config: in.env.activeConfig, Health: in.ratings.Health(), Members: in.env.listedMembers}
	if in.run.policy.healthOverride != nil {
		s.Health = in.run.policy.healthOverride(in.env)
	}
	for i := range in.env.listedUpstreams {
		u := in.env.listedUpstreams[i]
		u.Load = in.loads[u.Name]
		u.Cold = in.coldStarts.Cold(u.Name)
		u.Share = in.shareOf(&u, s.Members)
		s.Upstreams = append(s.Upstreams, &u)
	}
	in.snapshot = s
}

// shareOf returns this instance's share of the concurrent requests that the upstream sustains.
func (in *instance) shareOf(u *catalogue.Upstream, members []catalogue.Member) int {
	self := in.common.Settings.Name
	if u.Cold {
		return membership.ColdPart(u.Name, self, u.Rule.ColdLimit, members)
	}
	return membership.WarmPart(u.Name, self, in.coldStarts.WarmCapacity(u.Name), members)
}

func (in *instance) readRatings() {
	all := in.env.delayedRatings
	var fresh []backoffice.Rating
	for _, r := range all[in.ratingCursor:] {
		fresh = append(fresh, r.rating)
	}
	in.ratingCursor = len(all)
	in.ratings.RecordRatings(fresh)
	in.holdRollouts()
}

// mergePeers merges the rating counters and cold-start verdicts of all other instances.
func (in *instance) mergePeers() {
	for _, p := range in.peers {
		in.ratings.Merge(p.common.Settings.Name, p.ratings.LocalCounters())
		in.coldStarts.MergeVerdicts(p.coldStarts.Verdicts())
	}
	in.holdRollouts()
}

// holdRollouts records the versions detected as degraded and halts their rollouts.
func (in *instance) holdRollouts() {
	for _, suspect := range in.ratings.Suspects() {
		in.run.recordDetection(suspect)
		r := in.env.config.Rollouts[suspect.Version.Model()]
		if r == nil || r.To != suspect.Version || r.Held {
			continue
		}
		held := *r
		held.Held, held.Evidence = true, suspect.Evidence
		in.env.updateConfig(catalogue.KindRollout, held.Model, &held)
	}
}

// sharedPins stores the session pins of all instances in one map.
type sharedPins struct{ env *environment }

// Pinned returns the version to which the session is pinned, and false without a pin.
func (p sharedPins) Pinned(_ context.Context, c *request.Call) (catalogue.VersionID, bool) {
	id, ok := p.env.pins[c.Request.Workspace+"/"+c.Request.Session]
	return id, ok
}

// EnsurePin pins the session to the version, in place of an earlier pin, and returns the version and its id as pin token.
func (p sharedPins) EnsurePin(_ context.Context, c *request.Call, id catalogue.VersionID) (catalogue.VersionID, string) {
	p.env.pins[c.Request.Workspace+"/"+c.Request.Session] = id
	return id, string(id)
}

// groundTruthRater simulates the rating service with the true ratings.
type groundTruthRater struct{ env *environment }

// raterLatencyMillis is the time that the rating service takes per answer.
const raterLatencyMillis = 100

// Rate returns the true rating of the answer after raterLatencyMillis of simulated time.
func (r groundTruthRater) Rate(ctx context.Context, q backoffice.RateRequest) (float64, error) {
	processOf(ctx).sleep(raterLatencyMillis)
	return r.env.trueScore(&Request{ID: q.RequestID}, catalogue.HealthKey{Version: q.Version, Task: q.Task}), nil
}
