package trace

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// configPropagationDelay is the time until a change of the configuration takes effect at the instances.
	configPropagationDelay = 1 * clock.Second
	// listingDelay is the time until the lists of upstreams and instances show a change.
	listingDelay = 2 * clock.Second
	// balancerDelay is the time until the load balancer notices that a zone left or returned.
	balancerDelay = 1 * clock.Second
)

// environment simulates everything around the router: upstreams, service discovery, configuration, load balancer and ratings.
type environment struct {
	trace        *Trace
	loop         *eventLoop
	engines      []*engine
	engineByName map[string]*engine
	speeds       map[catalogue.VersionID]Speed
	truths       map[catalogue.HealthKey]*ratingDistribution
	defaultTruth *ratingDistribution
	// meanTokens has the mean number of output tokens by task.
	meanTokens map[string]float64
	// shiftedAt has the time of the last quality shift of a version.
	shiftedAt map[catalogue.VersionID]clock.Millis
	// config is the newest configuration, and activeConfig the one in force at the instances.
	config       *catalogue.State
	activeConfig *catalogue.State
	// listedUpstreams and listedMembers are the upstreams and instances as service discovery reports them.
	listedUpstreams []catalogue.Upstream
	listedMembers   []catalogue.Member
	// balancerExcluded has the zones whose instances get no requests from the load balancer.
	balancerExcluded map[string]bool
	// stoppedZones has the zones in which all processes are stopped.
	stoppedZones map[string]bool
	// syncRatings has the ratings of answers that were rated at once, and delayedRatings those of sampled answers.
	syncRatings    []timedRating
	delayedRatings []timedRating
	pins           map[string]catalogue.VersionID
}

// timedRating is a rating with the time at which it became available and the time of the answer.
type timedRating struct {
	availableAt clock.Millis
	answeredAt  clock.Millis
	rating      backoffice.Rating
}

func newEnvironment(t *Trace, l *eventLoop) *environment {
	env := &environment{
		trace:            t,
		loop:             l,
		engineByName:     map[string]*engine{},
		speeds:           map[catalogue.VersionID]Speed{},
		truths:           map[catalogue.HealthKey]*ratingDistribution{},
		defaultTruth:     newRatingDistribution(0.5, 0.1),
		meanTokens:       t.meanOutputTokens(),
		shiftedAt:        map[catalogue.VersionID]clock.Millis{},
		balancerExcluded: map[string]bool{},
		stoppedZones:     map[string]bool{},
		pins:             map[string]catalogue.VersionID{},
	}
	for i := range t.Upstreams {
		e := newEngine(&t.Upstreams[i], l)
		env.engines = append(env.engines, e)
		env.engineByName[e.spec.Name] = e
	}
	for _, s := range t.Speeds {
		env.speeds[s.Version] = s
	}
	for _, v := range t.Truths {
		env.truths[catalogue.HealthKey{Version: v.Version, Task: v.Task}] = newRatingDistribution(v.Mean, v.Deviation)
	}
	env.config = initialConfig(t)
	env.activeConfig = env.config
	env.refreshListing()
	for i := range t.Events {
		e := &t.Events[i]
		l.schedule(e.At, func() { env.applyEvent(e) })
	}
	return env
}

// initialConfig returns the configuration at the start of the trace.
func initialConfig(t *Trace) *catalogue.State {
	s, c := catalogue.NewState(), &t.Configuration
	for i := range c.Workspaces {
		s = putObject(s, catalogue.KindWorkspace, c.Workspaces[i].Name, &c.Workspaces[i])
	}
	for i := range c.Profiles {
		s = putObject(s, catalogue.KindProfile, c.Profiles[i].Name, &c.Profiles[i])
	}
	for i := range c.Versions {
		s = putObject(s, catalogue.KindVersion, string(c.Versions[i].ID), &c.Versions[i])
	}
	for i := range c.Services {
		s = putObject(s, catalogue.KindService, c.Services[i].Name, &c.Services[i])
	}
	for i := range c.Rollouts {
		s = putObject(s, catalogue.KindRollout, c.Rollouts[i].Model, &c.Rollouts[i])
	}
	return s
}

// putObject returns the state after a change that creates or replaces the object.
func putObject(s *catalogue.State, kind catalogue.Kind, name string, object any) *catalogue.State {
	raw, err := json.Marshal(object)
	if err != nil {
		panic(errors.Wrap(err, "encoding a configuration object of a trace"))
	}
	at := s.Revision + 1
	change := &catalogue.Change{
		ID:    strconv.FormatInt(int64(at), 10),
		Edits: []catalogue.Edit{{Kind: kind, Name: name, AnyBase: true, Object: raw}},
	}
	return s.Fold(at, &catalogue.Record{Change: change})
}

// updateConfig creates or replaces a configuration object, which takes effect after configPropagationDelay.
func (env *environment) updateConfig(kind catalogue.Kind, name string, object any) {
	s := putObject(env.config, kind, name, object)
	env.config = s
	env.loop.schedule(env.loop.clock.Now()+configPropagationDelay, func() { env.activeConfig = s })
}

// refreshListing updates the lists of upstreams and instances to the current state.
func (env *environment) refreshListing() {
	var upstreams []catalogue.Upstream
	for _, e := range env.engines {
		if e.stopped {
			continue
		}
		u := catalogue.Upstream{
			Name:        e.spec.Name,
			Role:        catalogue.RoleEngine,
			Zone:        e.spec.Zone,
			Versions:    slices.Clone(e.versions),
			Service:     e.spec.Service,
			Incarnation: e.incarnation,
		}
		if u.Service != "" {
			u.Role = catalogue.RoleService
		}
		u.Rule = catalogue.UpstreamRule{Name: u.Name, ColdLimit: e.spec.ColdLimit, RefusalIsNotRun: true}
		upstreams = append(upstreams, u)
	}
	slices.SortFunc(upstreams, func(a, b catalogue.Upstream) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	env.listedUpstreams = upstreams
	env.listedMembers = nil
	for _, m := range env.trace.Members {
		if !env.stoppedZones[m.Zone] {
			env.listedMembers = append(env.listedMembers, catalogue.Member{Name: m.Name, Zone: m.Zone, Leaving: env.balancerExcluded[m.Zone]})
		}
	}
}

func (env *environment) scheduleListing() {
	env.loop.schedule(env.loop.clock.Now()+listingDelay, env.refreshListing)
}

// balancedMembers returns the instances to which the load balancer sends requests.
func (env *environment) balancedMembers() []Member {
	var members []Member
	for _, m := range env.trace.Members {
		if !env.balancerExcluded[m.Zone] {
			members = append(members, m)
		}
	}
	return members
}

// scheduleRating schedules the delayed rating of the answer if it is sampled for rating.
func (env *environment) scheduleRating(r *Request, k catalogue.HealthKey) {
	t := env.trace
	if t.seededFraction("rated", r.ID+string(k.Version)) >= t.Ratings.Share {
		return
	}
	span := float64(t.Ratings.MaxDelay - t.Ratings.MinDelay)
	delay := t.Ratings.MinDelay + clock.Millis(span*t.seededFraction("delay", r.ID))
	rating := backoffice.Rating{RequestID: r.ID, Version: k.Version, Task: k.Task, Score: env.trueScore(r, k)}
	now := env.loop.clock.Now()
	delayed := timedRating{availableAt: now + delay, answeredAt: now, rating: rating}
	env.loop.schedule(delayed.availableAt, func() { env.delayedRatings = append(env.delayedRatings, delayed) })
}
