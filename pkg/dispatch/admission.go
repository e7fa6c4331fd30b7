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
	// lowPriorityRoom is the part of the instance's room that the lowest priority may fill.
	lowPriorityRoom = 0.7
	// fairFill is the fill from which on no workspace may hold more than an equal part of the room.
	fairFill = 0.5
	// firstHold is the time a request is taken to stay, in milliseconds, before any has left.
	firstHold = 2000.0
	// holdWeight is the weight of the newest request in the mean time that requests stay.
	holdWeight = 0.05
)

// Admission counts the requests that an instance has let in; it is safe for concurrent use.
type Admission struct {
	// Limit bounds the requests in flight at this instance.
	Limit int

	mu         sync.Mutex
	inFlight   int
	active     int
	hold       float64
	workspaces map[string]*room
	refused    map[request.Reason]int
}

// room is what one workspace uses of an instance.
type room struct {
	inFlight int
	limiter  *rate.Limiter
}

// Enter lets the call in or returns a refusal; each call that was let in must leave once.
func (a *Admission) Enter(s *catalogue.Snapshot, c *request.Call, now clock.Millis) *request.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.decide(s, c, now)
	if r == nil {
		a.take(c.Request.Workspace)
		return nil
	}
	if a.refused == nil {
		a.refused = map[request.Reason]int{}
	}
	a.refused[r.Reason]++
	return r
}

// Leave ends a call that was let in; held is the time it stayed, in milliseconds.
func (a *Admission) Leave(c *request.Call, held clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hold += holdWeight * (float64(held) - a.meanHold())
	w := a.workspaces[c.Request.Workspace]
	w.inFlight--
	a.inFlight--
	if w.inFlight == 0 {
		a.active--
	}
}

// Refused returns how many calls were refused, by reason.
func (a *Admission) Refused() map[request.Reason]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[request.Reason]int, len(a.refused))
	for reason, n := range a.refused {
		counts[reason] = n
	}
	return counts
}

// InFlight returns how many calls are in.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

func (a *Admission) decide(s *catalogue.Snapshot, c *request.Call, now clock.Millis) *request.Refusal {
	q := c.Request
	if s.Draining {
		return request.Refuse(request.ReasonDraining, jitter(q.ID, minRetryAfter), "the instance is shutting down")
	}
	if q.Deadline > 0 && q.Deadline <= now {
		return request.Refuse(request.ReasonDeadline, 0, "the deadline passed before the request was let in")
	}
	if a.inFlight >= a.roomFor(s, c) {
		return a.full(q.ID, request.ReasonOverloaded, "the instance has no room for this priority")
	}
	w := a.room(s, q.Workspace)
	if fair := a.fairRoom(w); float64(a.inFlight) >= fairFill*float64(a.Limit) && w.inFlight >= fair {
		return a.full(q.ID, request.ReasonOverloaded, "the workspace holds its part of a busy instance")
	}
	if c.Workspace == nil {
		return nil
	}
	return a.decideWorkspace(s, c, w, now)
}

func (a *Admission) decideWorkspace(s *catalogue.Snapshot, c *request.Call, w *room, now clock.Millis) *request.Refusal {
	id, members := c.Request.ID, max(1, len(s.Members))
	if limit := c.Workspace.MaxInFlight; limit > 0 && w.inFlight >= memberLimit(limit, members) {
		return a.full(id, request.ReasonWorkspaceLimit, "the workspace has its limit of requests in flight")
	}
	if c.Workspace.RequestsPerSecond <= 0 {
		return nil
	}
	if wait := w.wait(c.Workspace.RequestsPerSecond/float64(members), now); wait > 0 {
		return request.Refuse(request.ReasonWorkspaceLimit, jitter(id, wait), "the workspace is over its rate of requests")
	}
	return nil
}

// memberLimit is one member's part of a limit, rounded up so that no part is zero.
func memberLimit(limit, members int) int { return (limit + members - 1) / members }

// roomFor returns the part of the limit that the priority of the call may fill.
func (a *Admission) roomFor(s *catalogue.Snapshot, c *request.Call) int {
	low, high := priorityRange(s)
	if high <= low {
		return a.Limit
	}
	rank := float64(callPriority(c)-low) / float64(high-low)
	rank = math.Min(1, math.Max(0, rank))
	return int(float64(a.Limit) * (lowPriorityRoom + (1-lowPriorityRoom)*rank))
}

func (a *Admission) fairRoom(w *room) int {
	active := a.active
	if w.inFlight == 0 {
		active++
	}
	return memberLimit(a.Limit, active)
}

func (a *Admission) room(s *catalogue.Snapshot, workspace string) *room {
	w := a.workspaces[workspace]
	if w != nil {
		return w
	}
	if a.workspaces == nil {
		a.workspaces = map[string]*room{}
	}
	a.forget(s)
	w = &room{}
	a.workspaces[workspace] = w
	return w
}

// forget drops the idle workspaces that were removed from the configuration.
func (a *Admission) forget(s *catalogue.Snapshot) {
	if len(a.workspaces) <= len(s.Config.Workspaces) {
		return
	}
	for name, w := range a.workspaces {
		if w.inFlight == 0 && s.Config.Workspaces[name] == nil {
			delete(a.workspaces, name)
		}
	}
}

func (a *Admission) take(workspace string) {
	w := a.workspaces[workspace]
	if w.inFlight == 0 {
		a.active++
	}
	w.inFlight++
	a.inFlight++
}

// full refuses for want of room; room is expected as soon as one of the requests in flight leaves.
func (a *Admission) full(id string, reason request.Reason, detail string) *request.Refusal {
	wait := clock.Millis(a.meanHold() / float64(max(1, a.inFlight)))
	return request.Refuse(reason, jitter(id, max(wait, minRetryAfter)), "%s", detail)
}

func (a *Admission) meanHold() float64 {
	if a.hold == 0 {
		a.hold = firstHold
	}
	return a.hold
}

// wait takes a request off the rate, or returns the milliseconds until the rate allows one.
func (w *room) wait(perSecond float64, now clock.Millis) clock.Millis {
	burst := max(1, int(math.Ceil(perSecond)))
	at := time.UnixMilli(int64(now))
	if w.limiter == nil {
		w.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	} else if w.limiter.Limit() != rate.Limit(perSecond) {
		w.limiter.SetLimitAt(at, rate.Limit(perSecond))
		w.limiter.SetBurstAt(at, burst)
	}
	if w.limiter.AllowN(at, 1) {
		return 0
	}
	missing := 1 - w.limiter.TokensAt(at)
	return clock.Millis(missing/perSecond*1000) + 1
}
