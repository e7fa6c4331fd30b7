package dispatch

import (
	"math"
	"strings"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// holderBurst is the number of requests that an instance may send at once after a pause, and burstTime the time for which its part of a
	// limit is sent at once if that is more.
	holderBurst              = 1.5
	burstTime   clock.Millis = 50
	// burstPerLimit and burstSlack bound the bursts of all instances together: the first times the limit, and the second more.
	burstPerLimit = 0.4
	burstSlack    = 5.0
	// limitTTL is how long a limit counts without an answer of its upstream or news of other instances, and limitTTLRequests how many times
	// the interval between the requests of one instance, if that is longer.
	limitTTL         clock.Millis = 10 * clock.Second
	limitTTLRequests              = 3.0
	// limitNewsDelay is how long an instance keeps the limit that an answer named although no other one reports it; the news takes two
	// load reports.
	limitNewsDelay clock.Millis = 1500
	// minLimitedRetryAfter and maxLimitedRetryAfter bound the Retry-After of a call that is refused because all upstreams have named limits.
	minLimitedRetryAfter clock.Millis = 100
	maxLimitedRetryAfter clock.Millis = 5 * clock.Second
	// minHolderRate is the least rate of an instance, in requests a second, so that the end of a limit of 0 is seen.
	minHolderRate = 0.05
	// loggedChange is the smallest change of a limit that is logged, as a part of it.
	loggedChange = 0.1
)

// NamedLimits keeps the limits that upstreams named in their answers, which hold for all instances together: of each limit, a few instances
// hold equal parts. It is safe for concurrent use, and its exported fields must be set before its first use.
type NamedLimits struct {
	Log logr.Logger
	// Self is the name of this instance, and Members returns all instances.
	Self    string
	Members func() []catalogue.Member

	mu        sync.Mutex
	upstreams map[string]*namedLimit
	// bookedUntil is, by service, the time up to which the limits of its upstreams are promised to calls that were refused.
	bookedUntil map[string]clock.Millis
	heldBack    int64
}

// namedLimit is the limit of one upstream.
type namedLimit struct {
	perSecond float64
	// answeredAt is when an answer last named it, or 0 if only other instances told of it, and heardAt when they last did.
	answeredAt, heardAt clock.Millis
	// holding has the part of this instance for the members and the limit for which it was worked out.
	holding holding
	// nextAt is when this instance's part of the rate has the next whole request, if it sends none until then.
	nextAt float64
}

// holding is the part of an instance of a limit, in requests a second.
type holding struct {
	members   []catalogue.Member
	perSecond float64
	rate      float64
	known     bool
}

// Observe takes what an answer says to a request that was sent at sentAt. An answer without a limit ends it only if the request was sent
// after the limit was last named, because answers may overtake each other.
func (l *NamedLimits) Observe(upstream string, limit request.NamedLimit, sentAt, now clock.Millis) {
	if l == nil || !limit.Read {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.upstreams[upstream]
	if limit.Named {
		l.set(upstream, limit.PerSecond, now).answeredAt = now
		return
	}
	if known != nil && sentAt >= known.answeredAt {
		l.end(upstream, "an answer names none")
	}
}

// set notes the limit of an upstream. The caller must hold mu.
func (l *NamedLimits) set(upstream string, perSecond float64, now clock.Millis) *namedLimit {
	n := l.upstreams[upstream]
	if n == nil {
		if l.upstreams == nil {
			l.upstreams = map[string]*namedLimit{}
		}
		n = &namedLimit{perSecond: perSecond}
		rate := l.rate(upstream, n)
		n.nextAt = float64(now)
		if rate > 0 {
			// Each instance begins at its own phase, so that those that learn of the limit at once don't send at once.
			n.nextAt += request.HashFraction("limit "+upstream, l.Self) * float64(clock.Second) / rate
		}
		l.upstreams[upstream] = n
		l.Log.Info("upstream named a limit", "upstream", upstream, "perSecond", perSecond, "ownPerSecond", rate)
	}
	if math.Abs(perSecond-n.perSecond) > loggedChange*n.perSecond {
		l.Log.Info("upstream changed its limit", "upstream", upstream, "perSecond", perSecond, "before", n.perSecond)
	}
	n.perSecond = perSecond
	return n
}

// end drops the limit of an upstream. The caller must hold mu.
func (l *NamedLimits) end(upstream, reason string) {
	l.Log.Info("limit of an upstream ended", "upstream", upstream, "perSecond", l.upstreams[upstream].perSecond, "reason", reason)
	delete(l.upstreams, upstream)
}

// Forget drops the limit of a removed upstream.
func (l *NamedLimits) Forget(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.upstreams, upstream)
}

// Open returns the upstreams to which this instance may send a request now.
func (l *NamedLimits) Open(upstreams []*catalogue.Upstream, now clock.Millis) []*catalogue.Upstream {
	if l == nil {
		return upstreams
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.upstreams) == 0 {
		return upstreams
	}
	open := make([]*catalogue.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if l.isOpen(u.Name, now) {
			open = append(open, u)
		}
	}
	return open
}

// TryTake counts a request that is about to be sent, and reports whether the limit of the upstream allows it.
func (l *NamedLimits) TryTake(upstream string, now clock.Millis) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOpen(upstream, now) {
		return false
	}
	if n := l.upstreams[upstream]; n != nil {
		interval := l.interval(upstream, n)
		burst := max(holderBurst*interval, float64(burstTime))
		n.nextAt = max(n.nextAt, float64(now)+interval-burst) + interval
	}
	return true
}

// isOpen reports whether a request may be sent to the upstream now. The caller must hold mu.
func (l *NamedLimits) isOpen(upstream string, now clock.Millis) bool {
	n := l.upstreams[upstream]
	if n == nil {
		return true
	}
	if now-max(n.answeredAt, n.heardAt) > l.ttl(upstream, n) {
		l.end(upstream, "nothing was heard of it")
		return true
	}
	return l.rate(upstream, n) > 0 && float64(now) >= n.nextAt
}

// ttl returns how long a limit counts without news. The caller must hold mu.
func (l *NamedLimits) ttl(upstream string, n *namedLimit) clock.Millis {
	if l.rate(upstream, n) == 0 {
		return limitTTL
	}
	return max(limitTTL, clock.Millis(limitTTLRequests*l.interval(upstream, n)))
}

// rate returns this instance's part of a limit, in requests a second, which is 0 unless it holds one. The first instances in rendezvous order
// hold equal parts; they are so few that their bursts together stay small beside the limit.
func (l *NamedLimits) rate(upstream string, n *namedLimit) float64 {
	members := l.Members()
	h := &n.holding
	if !h.known || h.perSecond != n.perSecond || !catalogue.SameMembers(h.members, members) {
		*h = holding{members: members, perSecond: n.perSecond, rate: l.part(upstream, n, members), known: true}
	}
	return h.rate
}

// part returns what rate caches.
func (l *NamedLimits) part(upstream string, n *namedLimit, members []catalogue.Member) float64 {
	holders := min(max(1, len(members)), max(1, int((burstPerLimit*n.perSecond+burstSlack)/holderBurst)))
	ahead := 0
	for _, m := range members {
		if m.Name != l.Self && request.CompareRendezvous(upstream, m.Name, l.Self) < 0 {
			ahead++
		}
	}
	if ahead >= holders {
		return 0
	}
	return max(minHolderRate, n.perSecond/float64(holders))
}

// interval returns the time between requests of this instance, in milliseconds.
func (l *NamedLimits) interval(upstream string, n *namedLimit) float64 {
	rate := l.rate(upstream, n)
	if rate == 0 {
		return math.Inf(1)
	}
	return float64(clock.Second) / rate
}

// Refuse returns the refusal of a call to a service of which all upstreams are at their limits. Calls that are refused one after the other are
// told to come back one after the other, as the limits allow.
func (l *NamedLimits) Refuse(c *request.Call, service string, upstreams []*catalogue.Upstream, now clock.Millis) *request.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldBack++
	earliest, perSecond := math.Inf(1), 0.0
	for _, u := range upstreams {
		n := l.upstreams[u.Name]
		if n == nil {
			continue
		}
		if rate := l.rate(u.Name, n); rate > 0 {
			perSecond += rate
			earliest = min(earliest, n.nextAt)
		}
	}
	retryAfter := jitter(c.Request.ID, declinedRetryAfter)
	if perSecond > 0 {
		if l.bookedUntil == nil {
			l.bookedUntil = map[string]clock.Millis{}
		}
		at := max(clock.Millis(earliest), now, l.bookedUntil[service])
		at = min(at, now+maxLimitedRetryAfter)
		l.bookedUntil[service] = at + clock.Millis(float64(clock.Second)/perSecond)
		retryAfter = max(minLimitedRetryAfter, at-now)
	}
	return request.Refuse(request.ReasonNoUpstream, retryAfter, "all upstreams of %s have named limits that are used up", service)
}

// Kinds of items by which instances share limits.
const (
	limitItem       = "limit "
	limitTellerItem = "limiter "
)

// AddOwn adds the limits that answers to this instance named to the items that it shares with its peers.
func (l *NamedLimits) AddOwn(now clock.Millis, items map[string]float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream, n := range l.upstreams {
		if n.answeredAt > 0 && now-n.answeredAt <= l.ttl(upstream, n) {
			items[limitItem+upstream] = float32(n.perSecond)
			items[limitTellerItem+upstream] = 1
		}
	}
}

// SetPeers takes the limits that answers to other instances named, the sums of their items; nil means that they aren't known. A limit that
// an answer to this instance named some time ago ends if none of the others reports it and this instance holds no part of it: those that do
// would know.
func (l *NamedLimits) SetPeers(now clock.Millis, items map[string]float32) {
	if items == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, tellers := range items {
		upstream, ok := strings.CutPrefix(key, limitTellerItem)
		if !ok || tellers <= 0 {
			continue
		}
		mean := float64(items[limitItem+upstream] / tellers)
		n := l.upstreams[upstream]
		if n == nil || now-n.answeredAt > limitNewsDelay {
			n = l.set(upstream, mean, now)
		}
		n.heardAt = now
	}
	for upstream, n := range l.upstreams {
		if items[limitTellerItem+upstream] == 0 && now-n.answeredAt > limitNewsDelay && (n.answeredAt == 0 || l.rate(upstream, n) == 0) {
			l.end(upstream, "no instance reports it")
		}
	}
}

// LimitState is the limit of an upstream as this instance sees it.
type LimitState struct {
	// PerSecond is the limit in requests a second, and OwnPerSecond the part of this instance.
	PerSecond, OwnPerSecond float64
	// AnsweredAt is when an answer to this instance last named it, or 0.
	AnsweredAt clock.Millis
}

// States returns the limits by upstream, and the number of calls refused because of limits.
func (l *NamedLimits) States() (limits map[string]LimitState, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits = make(map[string]LimitState, len(l.upstreams))
	for upstream, n := range l.upstreams {
		limits[upstream] = LimitState{PerSecond: n.perSecond, OwnPerSecond: l.rate(upstream, n), AnsweredAt: n.answeredAt}
	}
	return limits, l.heldBack
}
