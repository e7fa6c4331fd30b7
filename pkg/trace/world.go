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
	// configDelay is how late a change of the configuration comes into force at an instance, in milliseconds.
	configDelay = 1 * clock.Second
	// listDelay is how late the list shows a change, in milliseconds.
	listDelay = 2 * clock.Second
	// balancerDelay is how late the balancer in front of the instances notices that one is gone, in milliseconds.
	balancerDelay = 1 * clock.Second
)

// world is the fake of everything around the entry instances.
type world struct {
	trace   *Trace
	loop    *loop
	engines []*engine
	byName  map[string]*engine
	speeds  map[catalogue.VersionID]Speed
	truths  map[catalogue.HealthKey]*distribution
	unknown *distribution
	// tokens are the mean lengths of answers by task.
	tokens map[string]float64
	// turned has the time at which a version turned bad.
	turned map[catalogue.VersionID]clock.Millis
	// config is the newest configuration, inForce the one that all instances have.
	config  *catalogue.State
	inForce *catalogue.State
	// listed is the list of upstreams as instances see it, and listedMembers that of the instances themselves.
	listed        []catalogue.Upstream
	listedMembers []catalogue.Member
	// balancerStopped has the zones to whose instances the balancer sends nothing.
	balancerStopped map[string]bool
	// zonesStopped has the zones in which nothing runs.
	zonesStopped map[string]bool
	// verdicts are the ratings of answers that were rated at once, ratings the late ones.
	verdicts []timedRating
	ratings  []timedRating
	pins     map[string]catalogue.VersionID
}

// timedRating is a rating, the time at which it was out, and the time of the answer.
type timedRating struct {
	at       clock.Millis
	answered clock.Millis
	rating   backoffice.Rating
}

func newWorld(t *Trace, l *loop) *world {
	w := &world{
		trace:           t,
		loop:            l,
		byName:          map[string]*engine{},
		speeds:          map[catalogue.VersionID]Speed{},
		truths:          map[catalogue.HealthKey]*distribution{},
		unknown:         newDistribution(0.5, 0.1),
		tokens:          t.taskTokens(),
		turned:          map[catalogue.VersionID]clock.Millis{},
		balancerStopped: map[string]bool{},
		zonesStopped:    map[string]bool{},
		pins:            map[string]catalogue.VersionID{},
	}
	for i := range t.Upstreams {
		e := newEngine(&t.Upstreams[i], l)
		w.engines = append(w.engines, e)
		w.byName[e.spec.Name] = e
	}
	for _, s := range t.Speeds {
		w.speeds[s.Version] = s
	}
	for _, v := range t.Truths {
		w.truths[catalogue.HealthKey{Version: v.Version, Task: v.Task}] = newDistribution(v.Mean, v.Deviation)
	}
	w.config = startState(t)
	w.inForce = w.config
	w.list()
	for i := range t.Events {
		e := &t.Events[i]
		l.at(e.At, func() { w.happen(e) })
	}
	return w
}

// startState folds the configuration at the start of the trace.
func startState(t *Trace) *catalogue.State {
	s, c := catalogue.NewState(), &t.Configuration
	for i := range c.Workspaces {
		s = put(s, catalogue.KindWorkspace, c.Workspaces[i].Name, &c.Workspaces[i])
	}
	for i := range c.Profiles {
		s = put(s, catalogue.KindProfile, c.Profiles[i].Name, &c.Profiles[i])
	}
	for i := range c.Versions {
		s = put(s, catalogue.KindVersion, string(c.Versions[i].ID), &c.Versions[i])
	}
	for i := range c.Services {
		s = put(s, catalogue.KindService, c.Services[i].Name, &c.Services[i])
	}
	for i := range c.Rollouts {
		s = put(s, catalogue.KindRollout, c.Rollouts[i].Model, &c.Rollouts[i])
	}
	return s
}

// put folds a change that puts the object.
func put(s *catalogue.State, kind catalogue.Kind, name string, object any) *catalogue.State {
	raw, err := json.Marshal(object)
	if err != nil {
		panic(errors.Wrap(err, "encoding an object of a trace"))
	}
	at := s.Revision + 1
	change := &catalogue.Change{
		ID:    strconv.FormatInt(int64(at), 10),
		Edits: []catalogue.Edit{{Kind: kind, Name: name, AnyBase: true, Object: raw}},
	}
	return s.Fold(at, &catalogue.Record{Change: change})
}

// change puts an object of the configuration, which comes into force a little later.
func (w *world) change(kind catalogue.Kind, name string, object any) {
	s := put(w.config, kind, name, object)
	w.config = s
	w.loop.at(w.loop.clock.Now()+configDelay, func() { w.inForce = s })
}

// list makes the list show the upstreams as they are now.
func (w *world) list() {
	var listed []catalogue.Upstream
	for _, e := range w.engines {
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
		listed = append(listed, u)
	}
	slices.SortFunc(listed, func(a, b catalogue.Upstream) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	w.listed = listed
	w.listedMembers = nil
	for _, m := range w.trace.Members {
		if !w.zonesStopped[m.Zone] {
			w.listedMembers = append(w.listedMembers, catalogue.Member{Name: m.Name, Zone: m.Zone, Leaving: w.balancerStopped[m.Zone]})
		}
	}
}

func (w *world) listLater() { w.loop.at(w.loop.clock.Now()+listDelay, w.list) }

// members returns the entry instances that the balancer sends requests to.
func (w *world) members() []Member {
	var up []Member
	for _, m := range w.trace.Members {
		if !w.balancerStopped[m.Zone] {
			up = append(up, m)
		}
	}
	return up
}

// rate puts the late rating of a sampled answer.
func (w *world) rate(r *Request, k catalogue.HealthKey) {
	t := w.trace
	if t.fraction("rated", r.ID+string(k.Version)) >= t.Ratings.Share {
		return
	}
	span := float64(t.Ratings.MaxDelay - t.Ratings.MinDelay)
	delay := t.Ratings.MinDelay + clock.Millis(span*t.fraction("delay", r.ID))
	rating := backoffice.Rating{RequestID: r.ID, Version: k.Version, Task: k.Task, Score: w.score(r, k)}
	now := w.loop.clock.Now()
	late := timedRating{at: now + delay, answered: now, rating: rating}
	w.loop.at(late.at, func() { w.ratings = append(w.ratings, late) })
}
