package pricing

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Query asks for the version of one request.
type Query struct {
	Snapshot *catalogue.Snapshot
	Now      clock.Millis
	Request  *request.Request
	Profile  *catalogue.Profile
	// Pinned is the version the session keeps, or empty.
	Pinned catalogue.VersionID
	// Serves tells whether an upstream that may get new work has the version.
	Serves func(catalogue.VersionID) bool
	// InputTokens is the estimated length of the prompt.
	InputTokens float64
	// OneStep leaves cascades out.
	OneStep bool
}

// Choice is the plan for a request, and how it came about.
type Choice struct {
	Plan Plan
	// Keep is true when the session keeps the version it is pinned to.
	Keep bool
	// Repin is true when the session shall be pinned to the chosen version.
	Repin bool
	// Explored is true when an unproved version is tried.
	Explored bool
	// Met is true when the expected rating meets the profile's quality.
	Met bool
}

// Pick chooses the version or the cascade of a request, or refuses it.
// When nothing meets the quality, the best version within the cost is taken: an answer of less quality
// serves the caller better than none, and the ratings show it to the operators.
func Pick(q *Query) (*Choice, *request.Refusal) {
	allowed := q.allowed()
	if keep, refusal := q.keep(allowed); keep != nil || refusal != nil {
		return keep, refusal
	}
	candidates, refusal := q.candidates(allowed)
	if refusal != nil {
		return nil, refusal
	}
	limits := q.limits()
	estimates := q.estimates(candidates)
	plan, met := Cheapest(estimates, limits)
	if plan == nil {
		return nil, request.Refuse(request.ReasonNoVersion, 0, "no allowed version fits the cost of profile %s", q.Profile.Name)
	}
	choice := &Choice{Plan: *plan, Met: met, Repin: q.Request.Session != "" && !q.pinStays()}
	if try := q.explore(estimates, plan, limits); try != nil {
		choice.Plan, choice.Explored = Single(try, limits), true
	}
	return choice, nil
}

// allowed returns the versions that the workspace and the profile allow and that are not withdrawn.
func (q *Query) allowed() []*catalogue.Version {
	w := q.Snapshot.Config.Workspaces[q.Request.Workspace]
	if w == nil {
		return nil
	}
	var out []*catalogue.Version
	for _, id := range w.Versions {
		v := q.Snapshot.Config.Versions[id]
		if v == nil || v.Withdrawn || !q.inProfile(id) || slices.Contains(out, v) {
			continue
		}
		out = append(out, v)
	}
	return out
}

func (q *Query) inProfile(id catalogue.VersionID) bool {
	return len(q.Profile.Versions) == 0 || slices.Contains(q.Profile.Versions, id)
}

// keep returns the choice of the pinned version when it is still allowed.
// A pinned version that no upstream serves right now is waited for, since the session must not change its version.
func (q *Query) keep(allowed []*catalogue.Version) (*Choice, *request.Refusal) {
	if q.Pinned == "" {
		return nil, nil
	}
	i := slices.IndexFunc(allowed, func(v *catalogue.Version) bool { return v.ID == q.Pinned })
	if i < 0 {
		return nil, nil
	}
	if !q.Serves(q.Pinned) {
		return nil, request.Refuse(request.ReasonNoUpstream, q.retryAfter(), "no upstream serves %s, which the session keeps", q.Pinned)
	}
	limits := q.limits()
	e := q.estimate(allowed[i])
	p := Single(&e, limits)
	if !limits.affords(&p) {
		return nil, request.Refuse(request.ReasonNoVersion, 0, "the session's version %s does not fit the cost of profile %s", q.Pinned, q.Profile.Name)
	}
	return &Choice{Plan: p, Keep: true, Met: p.Quality >= limits.Quality}, nil
}

// pinStays tells whether the session's version is still good for other profiles of the workspace.
func (q *Query) pinStays() bool {
	return q.Pinned != "" && q.Snapshot.PermitVersion(q.Request.Workspace, q.Pinned) == nil
}

// candidates narrows the allowed versions to those that roll-outs and upstreams leave.
func (q *Query) candidates(allowed []*catalogue.Version) ([]*catalogue.Version, *request.Refusal) {
	if len(allowed) == 0 {
		return nil, request.Refuse(request.ReasonNoVersion, 0,
			"no version is allowed for workspace %s under profile %s", q.Request.Workspace, q.Profile.Name)
	}
	served := filter(allowed, func(v *catalogue.Version) bool { return q.Serves(v.ID) })
	left := q.rollOuts(served)
	if len(left) == 0 {
		return nil, request.Refuse(request.ReasonNoUpstream, q.retryAfter(), "no upstream serves a version that takes new work")
	}
	if sound := filter(left, func(v *catalogue.Version) bool { return !q.suspect(v.ID) }); len(sound) > 0 {
		return sound, nil
	}
	return left, nil
}

// takesNew tells whether the version may still be chosen.
func (q *Query) takesNew(id catalogue.VersionID) bool {
	candidates, _ := q.candidates(q.allowed())
	return slices.ContainsFunc(candidates, func(v *catalogue.Version) bool { return v.ID == id })
}

// rollOuts drops of each roll-out the version that this request does not get.
func (q *Query) rollOuts(from []*catalogue.Version) []*catalogue.Version {
	return filter(from, func(v *catalogue.Version) bool {
		r := q.Snapshot.Config.Rollouts[v.ID.Model()]
		if r == nil || r.From == r.To || (v.ID != r.From && v.ID != r.To) {
			return true
		}
		other := r.From
		if v.ID == r.From {
			other = r.To
		}
		if v.ID == r.To && r.Held {
			return false
		}
		hasOther := slices.ContainsFunc(from, func(o *catalogue.Version) bool { return o.ID == other })
		return !hasOther || q.getsNew(r) == (v.ID == r.To)
	})
}

// getsNew tells whether the request is in the part of new work that gets the roll-out's new version.
func (q *Query) getsNew(r *catalogue.Rollout) bool {
	if r.Held || q.suspect(r.To) {
		return false
	}
	return request.Fraction("rollout "+r.Model, q.subject()) < r.Share
}

func (q *Query) suspect(id catalogue.VersionID) bool {
	return q.Snapshot.Health[catalogue.HealthKey{Version: id, Task: q.Profile.Task}].Suspect
}

// subject is what shares of roll-outs and exploration are drawn by: the session, or else the request.
func (q *Query) subject() string {
	if q.Request.Session != "" {
		return q.Request.Workspace + "/" + q.Request.Session
	}
	return q.Request.ID
}

func (q *Query) limits() *Limits {
	l := &Limits{
		Quality:     q.Profile.Quality,
		MaxCost:     q.Profile.MaxCost,
		InputTokens: q.InputTokens,
		MaxTokens:   q.Request.MaxTokens,
		Cascade:     q.Profile.Cascade && !q.OneStep && q.Request.Session == "" && q.Request.Repeatable,
	}
	if q.Request.Deadline > 0 {
		l.Time = max(1, q.Request.Deadline-q.Now)
	}
	return l
}

func (q *Query) estimates(from []*catalogue.Version) []Estimate {
	out := make([]Estimate, len(from))
	for i, v := range from {
		out[i] = q.estimate(v)
	}
	return out
}

// estimate lets a roll-out's new version stand on the old one's ratings until it has its own.
func (q *Query) estimate(v *catalogue.Version) Estimate {
	h := q.Snapshot.Health[catalogue.HealthKey{Version: v.ID, Task: q.Profile.Task}]
	r := q.Snapshot.Config.Rollouts[v.ID.Model()]
	if r == nil || v.ID != r.To || h.Rated >= provedRatings {
		return EstimateOf(v, q.Profile.Task, &h, q.Request.MaxTokens)
	}
	from := q.Snapshot.Config.Versions[r.From]
	if from == nil {
		return EstimateOf(v, q.Profile.Task, &h, q.Request.MaxTokens)
	}
	old := q.Snapshot.Health[catalogue.HealthKey{Version: r.From, Task: q.Profile.Task}]
	e := EstimateOf(from, q.Profile.Task, &old, q.Request.MaxTokens)
	e.Version, e.Suspect = v, h.Suspect
	return e
}

// explore returns a cheaper version that is not proved and may still be good enough, for a bounded share of requests.
func (q *Query) explore(from []Estimate, plan *Plan, l *Limits) *Estimate {
	if request.Fraction("explore", q.subject()) >= q.Profile.Explore {
		return nil
	}
	var try *Estimate
	for i := range from {
		e := &from[i]
		p := Single(e, l)
		if e.Suspect || p.Cost >= plan.Cost || !l.fits(&p) || e.Lower >= l.Quality || e.Upper < l.Quality {
			continue
		}
		if try == nil || e.Rated < try.Rated {
			try = e
		}
	}
	return try
}

func (q *Query) retryAfter() clock.Millis {
	return clock.Millis(float64(clock.Second) * (1 + request.Fraction("retry-after", q.Request.ID)))
}

func filter(from []*catalogue.Version, keep func(*catalogue.Version) bool) []*catalogue.Version {
	out := make([]*catalogue.Version, 0, len(from))
	for _, v := range from {
		if keep(v) {
			out = append(out, v)
		}
	}
	return out
}
