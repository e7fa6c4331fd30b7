package dispatch

import (
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// minNoticeRetryAfter and maxNoticeRetryAfter bound the Retry-After of a call that is refused because all upstreams want no requests.
	minNoticeRetryAfter = clock.Second / 5
	maxNoticeRetryAfter = 60 * clock.Second
)

// Notices keeps which upstreams want no requests from this instance, by what they said in their answers: those that leave for the rest of their
// lifetime, those that named a time to come back until then. It is safe for concurrent use; a nil Notices keeps none.
type Notices struct {
	Log logr.Logger

	mu        sync.RWMutex
	upstreams map[string]noticed
}

type noticed struct {
	// incarnation is 0 if the upstream's entry had no start when it was said.
	incarnation int64
	leaving     bool
	// until is the monotonic time at which the upstream takes requests again, in milliseconds.
	until clock.Millis
}

// appliesTo reports whether what was said is of the upstream's present lifetime. An entry may come without its start; it isn't another one then.
func (n noticed) appliesTo(u *catalogue.Upstream) bool {
	return n.incarnation == u.Incarnation || n.incarnation == 0 || u.Incarnation == 0
}

// Observe takes what an answer of an upstream says of it.
func (n *Notices) Observe(u *catalogue.Upstream, notice request.Notice, now clock.Millis) {
	if n == nil || notice == (request.Notice{}) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	stored, known := n.upstreams[u.Name]
	old := stored
	switch {
	case !known, !old.leaving && now >= old.until:
		old = noticed{incarnation: u.Incarnation}
	case old.appliesTo(u):
		// What was said without a start may be of any lifetime.
		old.incarnation = min(old.incarnation, u.Incarnation)
	case u.Incarnation < old.incarnation:
		// It was said by an earlier lifetime.
		return
	default:
		old = noticed{incarnation: u.Incarnation}
	}
	// An answer that overtook another one takes nothing back.
	next := old
	next.leaving = old.leaving || notice.Leaving
	if notice.PauseFor > 0 {
		next.until = max(old.until, now+notice.PauseFor)
	}
	if next == stored {
		return
	}
	if n.upstreams == nil {
		n.upstreams = map[string]noticed{}
	}
	n.upstreams[u.Name] = next
	if next.leaving != old.leaving || now >= old.until {
		n.Log.Info("upstream wants no requests", "upstream", u.Name, "leaving", next.leaving, "pauseMs", notice.PauseFor)
	}
}

// Takes reports whether the upstream takes requests from this instance now.
func (n *Notices) Takes(u *catalogue.Upstream, now clock.Millis) bool {
	if n == nil {
		return true
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	known, ok := n.upstreams[u.Name]
	return !ok || known.takes(u, now)
}

// takes reports whether what was said lets the upstream get requests.
func (n noticed) takes(u *catalogue.Upstream, now clock.Millis) bool {
	return !n.appliesTo(u) || !n.leaving && now >= n.until
}

// Open returns the upstreams that take requests from this instance now, and for how long none of the others does, in milliseconds.
func (n *Notices) Open(upstreams []*catalogue.Upstream, now clock.Millis) (open []*catalogue.Upstream, soonest clock.Millis) {
	if n == nil {
		return upstreams, 0
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	if len(n.upstreams) == 0 {
		return upstreams, 0
	}
	open = make([]*catalogue.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		known, ok := n.upstreams[u.Name]
		switch {
		case !ok || known.takes(u, now):
			open = append(open, u)
		case !known.leaving && (soonest == 0 || known.until-now < soonest):
			soonest = known.until - now
		}
	}
	return open, soonest
}

// Forget drops what an upstream has said that has been gone for long, unless the time that it named is yet to come.
func (n *Notices) Forget(upstream string, now clock.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, known := range n.upstreams {
		if name == upstream && now >= known.until || !known.leaving && now >= known.until {
			delete(n.upstreams, name)
		}
	}
}

// refuse returns the refusal of a call whose upstreams want no requests before soonest, in milliseconds.
func (n *Notices) refuse(c *request.Call, service string, soonest clock.Millis) *request.Refusal {
	wait := max(minNoticeRetryAfter, min(soonest, maxNoticeRetryAfter))
	if soonest == 0 {
		wait = clock.Second / 2
	}
	return request.Refuse(request.ReasonNoUpstream, jitter(c.Request.ID, wait), "all upstreams of %s are leaving or want no requests for now", service)
}
