package dispatch

import (
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
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
	// kept are the sessions that were on the old release when a move began and that the hash gives to the new one, by move. All
	// instances tell each other theirs before a session is moved, since callers change between instances.
	kept map[string]map[string]bool
}

// keepMark begins the keys under which instances tell each other the sessions that they keep on the old release.
const keepMark = "keep "

// moveKey names a move.
func moveKey(m *catalogue.ReleaseMove) string { return m.Service + " " + m.Target + " " }

// Own adds to sum the sessions that this instance keeps on the old release of a move.
func (r *Releases) Own(m *catalogue.ReleaseMove, now clock.Millis, sum map[string]float32) {
	if !m.Keeping(now) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.keptOf(m)
	if m.Settling(now) {
		for session, s := range r.sessions {
			if !s.onTarget && now-s.at < r.SessionTime && request.Fraction("release", session) < m.Canary {
				kept[session] = true
			}
		}
	}
	for session := range kept {
		sum[moveKey(m)+keepMark+session] = 1
	}
}

// Tell takes the sessions that other instances keep on the old release of a move.
func (r *Releases) Tell(m *catalogue.ReleaseMove, seen map[string]float32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.keptOf(m)
	for key := range seen {
		if session, ok := strings.CutPrefix(key, moveKey(m)+keepMark); ok && len(kept) < maxSessions {
			kept[session] = true
		}
	}
}

func (r *Releases) keptOf(m *catalogue.ReleaseMove) map[string]bool {
	kept := r.kept[moveKey(m)]
	if kept == nil {
		if r.kept == nil || len(r.kept) >= maxMoves {
			r.kept = map[string]map[string]bool{}
		}
		kept = map[string]bool{}
		r.kept[moveKey(m)] = kept
	}
	return kept
}

// maxMoves bounds the moves whose sessions are remembered.
const maxMoves = 64

type seen struct {
	onTarget bool
	at       clock.Millis
}

// OnTarget tells whether the call belongs on the new release of the move.
func (r *Releases) OnTarget(m *catalogue.ReleaseMove, c *request.Call, now clock.Millis) bool {
	switch m.State {
	case catalogue.ReleaseCompleted:
		return true
	case catalogue.ReleaseReverted:
		return false
	}
	key := c.Request.Session
	if key == "" {
		return request.Fraction("release", c.Request.ID) < m.Share(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.sessions[key]
	if m.Keeping(now) && r.kept[moveKey(m)][key] {
		return false
	}
	if known && now-last.at < r.SessionTime && (last.onTarget || m.Keeping(now)) {
		return last.onTarget
	}
	return request.Fraction("release", key) < m.Share(now)
}

// Note remembers the release on which a session's request ran; m is nil while the service does not move.
func (r *Releases) Note(m *catalogue.ReleaseMove, c *request.Call, now clock.Millis) {
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
