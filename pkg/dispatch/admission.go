package dispatch

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// lowPriorityShare is the fraction of the instance's limit that requests of the lowest priority may fill.
	lowPriorityShare = 0.7
	// fairShareThreshold is the fraction of the limit in use from which each workspace is held to an equal share of it.
	fairShareThreshold = 0.5
	// initialHoldMillis is the mean time from admission to release that is assumed until a request has completed.
	initialHoldMillis = 2000.0
	// holdTimeWeight is the weight of the newest sample in the moving average of the time from admission to release.
	holdTimeWeight = 0.05
)

// Admission enforces the concurrency and rate limits of one instance, by priority and by workspace; it is safe for concurrent use.
type Admission struct {
	// Limit is the maximum number of requests in flight at this instance.
	Limit int

	mu               sync.Mutex
	inFlight         int
	activeWorkspaces int
	holdMillis       float64
	workspaces       map[string]*workspaceUsage
	refused          map[request.Reason]int
}

// workspaceUsage is the usage of one workspace at this instance.
type workspaceUsage struct {
	inFlight int
	limiter  *rate.Limiter
}

// Admit admits the call or returns a refusal; each admitted call must be released exactly once.
func (a *Admission) Admit(s *catalogue.Snapshot, c *request.Call, now clock.Millis) *request.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.check(s, c, now)
	if r == nil {
		a.add(c.Request.Workspace)
		return nil
	}
	if a.refused == nil {
		a.refused = map[request.Reason]int{}
	}
	a.refused[r.Reason]++
	return r
}

// Release ends an admitted call; held is the time since its admission, in milliseconds.
func (a *Admission) Release(c *request.Call, held clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdMillis += holdTimeWeight * (float64(held) - a.meanHold())
	u := a.workspaces[c.Request.Workspace]
	u.inFlight--
	a.inFlight--
	if u.inFlight == 0 {
		a.activeWorkspaces--
	}
}

// Refused returns a copy of the number of refused calls by reason.
func (a *Admission) Refused() map[request.Reason]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[request.Reason]int, len(a.refused))
	for reason, n := range a.refused {
		counts[reason] = n
	}
	return counts
}

// InFlight returns the number of admitted calls that were not released yet.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

func (a *Admission) check(s *catalogue.Snapshot, c *request.Call, now clock.Millis) *request.Refusal {
	q := c.Request
	if s.Draining {
		return request.Refuse(request.ReasonDraining, jitter(q.ID, minRetryAfter), "the instance is shutting down")
	}
	if q.Deadline > 0 && q.Deadline <= now {
		return request.Refuse(request.ReasonDeadline, 0, "the deadline passed before the request was let in")
	}
	if a.inFlight >= a.priorityLimit(s, c) {
		return a.refuseFull(q.ID, request.ReasonOverloaded, "the instance has no room for this priority")
	}
	u := a.usage(s, q.Workspace)
	if fair := a.fairShare(u); float64(a.inFlight) >= fairShareThreshold*float64(a.Limit) && u.inFlight >= fair {
		return a.refuseFull(q.ID, request.ReasonOverloaded, "the workspace holds its part of a busy instance")
	}
	if c.Workspace == nil {
		return nil
	}
	return a.checkWorkspace(s, c, u, now)
}

func (a *Admission) checkWorkspace(s *catalogue.Snapshot, c *request.Call, u *workspaceUsage, now clock.Millis) *request.Refusal {
	id, members := c.Request.ID, max(1, len(s.Members))
	if limit := c.Workspace.MaxInFlight; limit > 0 && u.inFlight >= equalShare(limit, members) {
		return a.refuseFull(id, request.ReasonWorkspaceLimit, "the workspace has its limit of requests in flight")
	}
	if c.Workspace.RequestsPerSecond <= 0 {
		return nil
	}
	if wait := u.takeToken(c.Workspace.RequestsPerSecond/float64(members), now); wait > 0 {
		return request.Refuse(request.ReasonWorkspaceLimit, jitter(id, wait), "the workspace is over its rate of requests")
	}
	return nil
}

// equalShare divides a limit into equal parts, rounded up so that no part is zero.
func equalShare(limit, parts int) int { return (limit + parts - 1) / parts }

// priorityLimit returns the number of requests in flight up to which a call of this priority is admitted; it rises linearly with the
// priority.
func (a *Admission) priorityLimit(s *catalogue.Snapshot, c *request.Call) int {
	low, high := priorityRange(s)
	if high <= low {
		return a.Limit
	}
	rank := float64(callPriority(c)-low) / float64(high-low)
	rank = math.Min(1, math.Max(0, rank))
	return int(float64(a.Limit) * (lowPriorityShare + (1-lowPriorityShare)*rank))
}

// fairShare returns the number of requests in flight that the workspace may have when all active workspaces share the limit equally.
func (a *Admission) fairShare(u *workspaceUsage) int {
	active := a.activeWorkspaces
	if u.inFlight == 0 {
		active++
	}
	return equalShare(a.Limit, active)
}

func (a *Admission) usage(s *catalogue.Snapshot, workspace string) *workspaceUsage {
	u := a.workspaces[workspace]
	if u != nil {
		return u
	}
	if a.workspaces == nil {
		a.workspaces = map[string]*workspaceUsage{}
	}
	a.forgetRemoved(s)
	u = &workspaceUsage{}
	a.workspaces[workspace] = u
	return u
}

// forgetRemoved drops idle workspaces that are no longer configured.
func (a *Admission) forgetRemoved(s *catalogue.Snapshot) {
	if len(a.workspaces) <= len(s.Config.Workspaces) {
		return
	}
	for name, u := range a.workspaces {
		if u.inFlight == 0 && s.Config.Workspaces[name] == nil {
			delete(a.workspaces, name)
		}
	}
}

func (a *Admission) add(workspace string) {
	u := a.workspaces[workspace]
	if u.inFlight == 0 {
		a.activeWorkspaces++
	}
	u.inFlight++
	a.inFlight++
}

// refuseFull refuses a request for lack of capacity. Retry-After is the mean time until one of the requests in flight completes.
func (a *Admission) refuseFull(id string, reason request.Reason, detail string) *request.Refusal {
	wait := clock.Millis(a.meanHold() / float64(max(1, a.inFlight)))
	return request.Refuse(reason, jitter(id, max(wait, minRetryAfter)), "%s", detail)
}

func (a *Admission) meanHold() float64 {
	if a.holdMillis == 0 {
		a.holdMillis = initialHoldMillis
	}
	return a.holdMillis
}

// takeToken takes one token from the workspace's bucket and returns 0, or returns the milliseconds until a token is available.
func (u *workspaceUsage) takeToken(perSecond float64, now clock.Millis) clock.Millis {
	burst := max(1, int(math.Ceil(perSecond)))
	at := time.UnixMilli(int64(now))
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	} else if u.limiter.Limit() != rate.Limit(perSecond) {
		u.limiter.SetLimitAt(at, rate.Limit(perSecond))
		u.limiter.SetBurstAt(at, burst)
	}
	if u.limiter.AllowN(at, 1) {
		return 0
	}
	missingTokens := 1 - u.limiter.TokensAt(at)
	return clock.Millis(missingTokens/perSecond*1000) + 1
}
