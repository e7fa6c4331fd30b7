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
	// queueLimit bounds the requests that wait at one instance.
	queueLimit = 200
	// eventDelay is how late cache events come in, in milliseconds.
	eventDelay = 1500
	// eventLoss is the share of cache events that are lost.
	eventLoss = 0.1
)

// instance is one entry instance of a replay: the real filters and the real control state, driven by the loop.
type instance struct {
	common   settings.Common
	world    *world
	run      *run
	peers    []*instance
	snapshot *catalogue.Snapshot
	watch    dispatch.ColdWatch
	book     rating.Book
	flights  dispatch.Flights
	queue    dispatch.Queue
	prefixes dispatch.Prefixes
	reports  map[string]catalogue.Load
	cursor   int
	events   map[string]int
	line     request.Handler
}

func newInstance(r *run, m Member) *instance {
	cfg := settings.Default()
	cfg.Name, cfg.Zone = m.Name, m.Zone
	in := &instance{
		common:  settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: r.loop.clock},
		world:   r.world,
		run:     r,
		reports: map[string]catalogue.Load{},
		events:  map[string]int{},
	}
	in.queue.Limit = queueLimit
	in.flights.OnRelease = in.queue.Wake
	in.book.Config = func() *catalogue.State { return r.world.inForce }
	in.line = request.Line(in.admit(), r.policy.choose(in), r.policy.place(in), &sender{instance: in})
	return in
}

func (in *instance) current() *catalogue.Snapshot { return in.snapshot }

func (in *instance) admit() *dispatch.Admit {
	a := &dispatch.Admission{Limit: in.common.Settings.Limits.InFlight}
	return &dispatch.Admit{Common: in.common, Snapshot: in.current, Admission: a}
}

func (in *instance) place() *dispatch.Place {
	return &dispatch.Place{
		Common:   in.common,
		Snapshot: in.current,
		Flights:  &in.flights,
		Budget:   &dispatch.RetryBudget{Share: in.common.Settings.Limits.RetryShare},
		Outliers: &dispatch.Outliers{},
		Queue:    &in.queue,
		Prefixes: &in.prefixes,
		Started:  in.watch.TakeSample,
		Waiter:   loopWaiter{},
	}
}

func (in *instance) choose() *pricing.Choose {
	return &pricing.Choose{
		Common:   in.common,
		Snapshot: in.current,
		Pins:     worldPins{in.world},
		Rater:    worldRater{in.world},
		Rated:    func(r backoffice.Rating) { in.book.TakeRatings([]backoffice.Rating{r}) },
		Verify:   in.verify,
	}
}

// verify gives the true rating of an answer after the time a verdict takes.
func (in *instance) verify(q backoffice.RateRequest) {
	w, now := in.world, in.run.loop.clock.Now()
	score := w.score(&Request{ID: q.RequestID}, catalogue.HealthKey{Version: q.Version, Task: q.Task})
	r := backoffice.Rating{RequestID: q.RequestID, Version: q.Version, Task: q.Task, Score: score}
	at := now + verdictTime
	in.run.loop.at(at, func() {
		w.verdicts = append(w.verdicts, timedRating{at: at, answered: now, rating: r})
		in.book.TakeRatings([]backoffice.Rating{r})
		in.hold()
	})
}

// start puts the periodic work of the control thread on the loop; phase keeps the instances apart.
func (in *instance) start(phase clock.Millis, end clock.Millis) {
	t := in.common.Settings.Times
	in.publish()
	in.run.loop.every(phase, t.LoadPoll, end, in.poll)
	in.run.loop.every(phase, probePeriod, end, in.probe)
	in.run.loop.every(phase, t.RatingPoll, end, in.readRatings)
	in.run.loop.every(phase, t.PeerTick, end, in.mergePeers)
}

// poll reads load reports and cache events and publishes a new snapshot.
func (in *instance) poll() {
	for _, e := range in.world.engines {
		if e.down() {
			continue
		}
		in.pollEngine(e)
	}
	in.publish()
}

func (in *instance) pollEngine(e *engine) {
	now, report := in.run.loop.clock.Now(), e.report()
	in.watch.TakeLoad(e.spec.Name, in.listedIncarnation(e.spec.Name), report, now)
	in.reports[e.spec.Name] = catalogue.Load{
		At:             now,
		InFlight:       report.InFlight,
		Bearable:       report.Bearable,
		TokenTime:      report.TokenTime,
		FirstTokenTime: report.FirstTokenTime,
	}
	in.readEvents(e)
}

// readEvents delivers cache events late and loses some of them.
func (in *instance) readEvents(e *engine) {
	from := in.events[e.spec.Name]
	in.events[e.spec.Name] = len(e.events)
	fresh := e.events[from:]
	if len(fresh) == 0 {
		return
	}
	var kept []backoffice.CacheEvent
	for _, ev := range fresh {
		if in.world.trace.fraction("event", e.spec.Name+string(rune(ev.Seq))) >= eventLoss {
			kept = append(kept, ev)
		}
	}
	name := e.spec.Name
	in.run.loop.at(in.run.loop.clock.Now()+eventDelay, func() {
		in.prefixes.TakeEvents(name, backoffice.CacheEvents{Events: kept})
	})
}

func (in *instance) listedIncarnation(name string) int64 {
	for i := range in.world.listed {
		if in.world.listed[i].Name == name {
			return in.world.listed[i].Incarnation
		}
	}
	return 0
}

// publish makes the snapshot that requests are decided on.
func (in *instance) publish() {
	now := in.run.loop.clock.Now()
	s := &catalogue.Snapshot{At: now, Config: in.world.inForce, Health: in.book.Health(), Members: in.world.listedMembers}
	if in.run.policy.truths != nil {
		s.Health = in.run.policy.truths(in.world)
	}
	for i := range in.world.listed {
		u := in.world.listed[i]
		u.Load = in.reports[u.Name]
		u.Cold = in.watch.Cold(u.Name)
		u.Share = in.share(&u, s.Members)
		s.Upstreams = append(s.Upstreams, &u)
	}
	in.snapshot = s
}

// share is this instance's part of what the upstream bears.
func (in *instance) share(u *catalogue.Upstream, members []catalogue.Member) int {
	self := in.common.Settings.Name
	if u.Cold {
		return membership.ColdPart(u.Name, self, u.Rule.ColdLimit, members)
	}
	return membership.WarmPart(u.Name, self, in.watch.WarmRoom(u.Name), members)
}

func (in *instance) readRatings() {
	all := in.world.ratings
	var fresh []backoffice.Rating
	for _, r := range all[in.cursor:] {
		fresh = append(fresh, r.rating)
	}
	in.cursor = len(all)
	in.book.TakeRatings(fresh)
	in.hold()
}

// mergePeers takes in the counters of all other instances.
func (in *instance) mergePeers() {
	for _, p := range in.peers {
		in.book.Merge(p.common.Settings.Name, p.book.Own())
		in.watch.TakeVerdicts(p.watch.Verdicts())
	}
	in.hold()
}

// hold holds the roll-outs of versions that were found to be bad.
func (in *instance) hold() {
	for _, x := range in.book.Suspects() {
		in.run.suspected(x)
		r := in.world.config.Rollouts[x.Version.Model()]
		if r == nil || r.To != x.Version || r.Held {
			continue
		}
		held := *r
		held.Held, held.Evidence = true, x.Evidence
		in.world.change(catalogue.KindRollout, held.Model, &held)
	}
}

// worldPins keeps the pins of all instances in one place.
type worldPins struct{ world *world }

// Pinned returns the version of the session.
func (p worldPins) Pinned(_ context.Context, c *request.Call) (catalogue.VersionID, bool) {
	id, ok := p.world.pins[c.Request.Workspace+"/"+c.Request.Session]
	return id, ok
}

// Settle pins the session.
func (p worldPins) Settle(_ context.Context, c *request.Call, id catalogue.VersionID) (catalogue.VersionID, string) {
	p.world.pins[c.Request.Workspace+"/"+c.Request.Session] = id
	return id, string(id)
}

// worldRater gives the true rating after the time a verdict takes.
type worldRater struct{ world *world }

// verdictTime is how long the service that rates answers takes, in milliseconds.
const verdictTime = 100

// Rate waits and returns the rating.
func (r worldRater) Rate(ctx context.Context, q backoffice.RateRequest) (float64, error) {
	processOf(ctx).sleep(verdictTime)
	return r.world.score(&Request{ID: q.RequestID}, catalogue.HealthKey{Version: q.Version, Task: q.Task}), nil
}
