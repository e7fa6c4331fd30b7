package pricing

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Query is the input of the version choice for one request.
type Query struct {
	Snapshot *catalogue.Snapshot
	Now      clock.Millis
	Request  *request.Request
	Profile  *catalogue.Profile
	// Pinned is the version to which the session is pinned, or empty.
	Pinned catalogue.VersionID
	// Serves reports whether an upstream that may get new work serves the version.
	Serves func(catalogue.VersionID) bool
	// InputTokens is the estimated length of the prompt in tokens.
	InputTokens float64
	// NoCascade restricts the choice to single versions.
	NoCascade bool
}

// Choice is the plan for a request and the reason for it.
type Choice struct {
	Plan Plan
	// FromPin is true when the plan is the version to which the session is already pinned.
	FromPin bool
	// NeedsPin is true when the session must be pinned to the chosen version.
	NeedsPin bool
	// Explored is true when the version was chosen to gather ratings for it.
	Explored bool
	// Met is true when the expected rating reaches the quality target of the profile.
	Met bool
}

// Pick returns the plan for a request, or a NotRun refusal when no version is eligible.
func Pick(q *Query) (*Choice, *request.Refusal) {
	allowed := q.allowed()
	if pinned, refusal := q.pinnedChoice(allowed); pinned != nil || refusal != nil {
		return pinned, refusal
	}
	candidates, refusal := q.candidates(allowed)
	if refusal != nil {
		return nil, refusal
	}
	limits := q.limits()
	estimates := q.estimates(candidates)
	// When no plan meets the quality, the best version within the cost is used: a weaker answer is more useful to the caller than
	// none, and its rating shows the shortfall to the operators.
	plan, met := Cheapest(estimates, limits)
	if plan == nil {
		return nil, request.Refuse(request.ReasonNoVersion, 0, "no allowed version fits the cost of profile %s", q.Profile.Name)
	}
	choice := &Choice{Plan: *plan, Met: met, NeedsPin: q.Request.Session != "" && !q.pinValid()}
	if unproven := q.explore(estimates, plan, limits); unproven != nil {
		choice.Plan, choice.Explored = SingleStep(unproven, limits), true
	}
	return choice, nil
}

// allowed returns the versions that both the workspace and the profile allow, without those withdrawn.
func (q *Query) allowed() []*catalogue.Version {
	w := q.Snapshot.Config.Workspaces[q.Request.Workspace]
	if w == nil {
		return nil
	}
	var out []*catalogue.Version
	for _, id := range w.Versions {
		v := q.Snapshot.Config.Versions[id]
		if v == nil || v.Withdrawn || !q.allowedByProfile(id) || slices.Contains(out, v) {
			continue
		}
		out = append(out, v)
	}
	return out
}

func (q *Query) allowedByProfile(id catalogue.VersionID) bool {
	return len(q.Profile.Versions) == 0 || slices.Contains(q.Profile.Versions, id)
}

// pinnedChoice returns the session's pinned version if it is still allowed, else nil. While no upstream serves that version the
// request is refused with a time to retry, because a session must not change its version.
func (q *Query) pinnedChoice(allowed []*catalogue.Version) (*Choice, *request.Refusal) {
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
	p := SingleStep(&e, limits)
	if !limits.withinCost(&p) {
		return nil, request.Refuse(request.ReasonNoVersion, 0, "the session's version %s does not fit the cost of profile %s", q.Pinned, q.Profile.Name)
	}
	return &Choice{Plan: p, FromPin: true, Met: p.Quality >= limits.Quality}, nil
}

// pinValid reports whether the workspace still permits the pinned version; the pin is then kept for requests of the session under
// other profiles.
func (q *Query) pinValid() bool {
	return q.Pinned != "" && q.Snapshot.PermitVersion(q.Request.Workspace, q.Pinned) == nil
}

// candidates returns the allowed versions that are served and that the rollouts assign to this request. Suspect versions are
// included only when no other is left.
func (q *Query) candidates(allowed []*catalogue.Version) ([]*catalogue.Version, *request.Refusal) {
	if len(allowed) == 0 {
		return nil, request.Refuse(request.ReasonNoVersion, 0,
			"no version is allowed for workspace %s under profile %s", q.Request.Workspace, q.Profile.Name)
	}
	served := filter(allowed, func(v *catalogue.Version) bool { return q.Serves(v.ID) })
	eligible := q.applyRollouts(served)
	if len(eligible) == 0 {
		return nil, request.Refuse(request.ReasonNoUpstream, q.retryAfter(), "no upstream serves a version that takes new work")
	}
	if healthy := filter(eligible, func(v *catalogue.Version) bool { return !q.suspect(v.ID) }); len(healthy) > 0 {
		return healthy, nil
	}
	return eligible, nil
}

// takesNewWork reports whether the version is still a candidate.
func (q *Query) takesNewWork(id catalogue.VersionID) bool {
	candidates, _ := q.candidates(q.allowed())
	return slices.ContainsFunc(candidates, func(v *catalogue.Version) bool { return v.ID == id })
}

// applyRollouts keeps, for each rollout, only the version that this request is assigned to. The other one remains if it is the
// only one of the two among the versions; a held rollout never keeps the new version.
func (q *Query) applyRollouts(versions []*catalogue.Version) []*catalogue.Version {
	return filter(versions, func(v *catalogue.Version) bool {
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
		hasOther := slices.ContainsFunc(versions, func(o *catalogue.Version) bool { return o.ID == other })
		return !hasOther || q.getsNewVersion(r) == (v.ID == r.To)
	})
}

// getsNewVersion reports whether the request falls into the rollout's share of new work for the new version.
func (q *Query) getsNewVersion(r *catalogue.Rollout) bool {
	if r.Held || q.suspect(r.To) {
		return false
	}
	return request.HashFraction("rollout "+r.Model, q.hashKey()) < r.Share
}

func (q *Query) suspect(id catalogue.VersionID) bool {
	return q.Snapshot.Health[catalogue.HealthKey{Version: id, Task: q.Profile.Task}].Suspect
}

// hashKey returns the key by which requests are assigned to rollout and exploration shares: the session, else the request ID.
func (q *Query) hashKey() string {
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
		Cascade:     q.Profile.Cascade && !q.NoCascade && q.Request.Session == "" && q.Request.Repeatable,
	}
	if q.Request.Deadline > 0 {
		l.Time = max(1, q.Request.Deadline-q.Now)
	}
	return l
}

func (q *Query) estimates(versions []*catalogue.Version) []Estimate {
	out := make([]Estimate, len(versions))
	for i, v := range versions {
		out[i] = q.estimate(v)
	}
	return out
}

// estimate returns the estimate of a version. The new version of a rollout is estimated by the ratings of the old one until it
// has enough of its own.
func (q *Query) estimate(v *catalogue.Version) Estimate {
	h := q.Snapshot.Health[catalogue.HealthKey{Version: v.ID, Task: q.Profile.Task}]
	r := q.Snapshot.Config.Rollouts[v.ID.Model()]
	if r == nil || v.ID != r.To || h.Rated >= minOwnRatings {
		return NewEstimate(v, q.Profile.Task, &h, q.Request.MaxTokens)
	}
	previous := q.Snapshot.Config.Versions[r.From]
	if previous == nil {
		return NewEstimate(v, q.Profile.Task, &h, q.Request.MaxTokens)
	}
	previousHealth := q.Snapshot.Health[catalogue.HealthKey{Version: r.From, Task: q.Profile.Task}]
	e := NewEstimate(previous, q.Profile.Task, &previousHealth, q.Request.MaxTokens)
	e.Version, e.Suspect = v, h.Suspect
	return e
}

// explore returns a cheaper version whose confidence interval contains the quality target, for the profile's exploring share of
// requests; it prefers the version with the fewest ratings.
func (q *Query) explore(estimates []Estimate, plan *Plan, l *Limits) *Estimate {
	if request.HashFraction("explore", q.hashKey()) >= q.Profile.Explore {
		return nil
	}
	var unproven *Estimate
	for i := range estimates {
		e := &estimates[i]
		p := SingleStep(e, l)
		if e.Suspect || p.Cost >= plan.Cost || !l.fits(&p) || e.Lower >= l.Quality || e.Upper < l.Quality {
			continue
		}
		if unproven == nil || e.Rated < unproven.Rated {
			unproven = e
		}
	}
	return unproven
}

func (q *Query) retryAfter() clock.Millis {
	return clock.Millis(float64(clock.Second) * (1 + request.HashFraction("retry-after", q.Request.ID)))
}

func filter(versions []*catalogue.Version, keep func(*catalogue.Version) bool) []*catalogue.Version {
	out := make([]*catalogue.Version, 0, len(versions))
	for _, v := range versions {
		if keep(v) {
			out = append(out, v)
		}
	}
	return out
}
