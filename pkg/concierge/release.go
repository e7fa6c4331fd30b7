package concierge

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
)

// maxSessions bounds the sessions that are remembered; beyond it those that have ended are dropped.
const maxSessions = 20000

// Releases chooses the release of a service's software for each call while the service moves to a new one. Sessions keep the
// release they had until the move is judged. It is safe for concurrent use.
type Releases struct {
	// SessionTime is how long a session lasts after its last request, in milliseconds.
	SessionTime clock.Millis

	mu       sync.Mutex
	sessions map[string]seen
}

type seen struct {
	onTarget bool
	at       clock.Millis
}

// OnTarget tells whether the call belongs on the new release of the move.
func (r *Releases) OnTarget(m *catalogue.ReleaseMove, c *enquiry.Call, now clock.Millis) bool {
	switch m.State {
	case catalogue.ReleaseCompleted:
		return true
	case catalogue.ReleaseReverted:
		return false
	}
	key := c.Request.Session
	if key == "" {
		return enquiry.Fraction("release", c.Request.ID) < m.Share(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.sessions[key]
	if known && now-last.at < r.SessionTime && (last.onTarget || m.Keeping(now)) {
		return last.onTarget
	}
	return enquiry.Fraction("release", key) < m.Share(now)
}

// Note remembers the release on which a session's request ran; m is nil while the service does not move.
func (r *Releases) Note(m *catalogue.ReleaseMove, c *enquiry.Call, now clock.Millis) {
	key := c.Request.Session
	if key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions == nil {
		r.sessions = map[string]seen{}
	}
	if len(r.sessions) >= maxSessions {
		for k, s := range r.sessions {
			if now-s.at >= r.SessionTime {
				delete(r.sessions, k)
			}
		}
	}
	r.sessions[key] = seen{onTarget: m != nil && c.Upstream.Release == m.Target, at: now}
}
