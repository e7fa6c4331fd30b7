package dispatch

import (
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// maxSessions is the number of tracked sessions from which expired ones are dropped.
const maxSessions = 20000

// Releases selects the old or the new release of a service for each call during a rollout, in which sessions keep their release until
// the canary phase ends; it is safe for concurrent use.
type Releases struct {
	// SessionTimeout is the idle time after which a session expires, in milliseconds.
	SessionTimeout clock.Millis

	mu       sync.Mutex
	sessions map[string]sessionRelease
	// pinned are, by rollout, the sessions that were on the old release when it began although their hash selects the new one. The
	// instances exchange them before any session changes its release, since callers switch between instances.
	pinned map[string]map[string]bool
}

// pinnedKeyPrefix is the prefix, after that of the rollout, of the keys under which instances exchange their pinned sessions.
const pinnedKeyPrefix = "keep "

// rolloutKey identifies a rollout; it is also the prefix of its shared keys.
func rolloutKey(r *catalogue.ReleaseRollout) string { return r.Service + " " + r.Target + " " }

// AddOwnSessions adds the sessions that are pinned to the old release of a rollout to the items that this instance shares with its
// peers.
func (r *Releases) AddOwnSessions(rollout *catalogue.ReleaseRollout, now clock.Millis, items map[string]float32) {
	if !rollout.KeepsSessions(now) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	pinned := r.pinnedSessions(rollout)
	if rollout.Preparing(now) {
		for session, s := range r.sessions {
			if !s.onTarget && now-s.lastSeen < r.SessionTimeout && request.HashFraction("release", session) < rollout.Canary {
				pinned[session] = true
			}
		}
	}
	for session := range pinned {
		items[rolloutKey(rollout)+pinnedKeyPrefix+session] = 1
	}
}

// PinPeerSessions pins the sessions to the old release of a rollout that peers have pinned, according to their shared items.
func (r *Releases) PinPeerSessions(rollout *catalogue.ReleaseRollout, items map[string]float32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pinned := r.pinnedSessions(rollout)
	for key := range items {
		if session, ok := strings.CutPrefix(key, rolloutKey(rollout)+pinnedKeyPrefix); ok && len(pinned) < maxSessions {
			pinned[session] = true
		}
	}
}

func (r *Releases) pinnedSessions(rollout *catalogue.ReleaseRollout) map[string]bool {
	pinned := r.pinned[rolloutKey(rollout)]
	if pinned == nil {
		if r.pinned == nil || len(r.pinned) >= maxRollouts {
			r.pinned = map[string]map[string]bool{}
		}
		pinned = map[string]bool{}
		r.pinned[rolloutKey(rollout)] = pinned
	}
	return pinned
}

// maxRollouts is the number of rollouts after which the pinned sessions of all are dropped.
const maxRollouts = 64

// sessionRelease is the release on which the last request of a session ran.
type sessionRelease struct {
	onTarget bool
	lastSeen clock.Millis
}

// UseTarget reports whether the call goes to the new release of the rollout.
func (r *Releases) UseTarget(rollout *catalogue.ReleaseRollout, c *request.Call, now clock.Millis) bool {
	switch rollout.State {
	case catalogue.ReleaseCompleted:
		return true
	case catalogue.ReleaseReverted:
		return false
	}
	key := c.Request.Session
	if key == "" {
		return request.HashFraction("release", c.Request.ID) < rollout.Share(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.sessions[key]
	if rollout.KeepsSessions(now) && r.pinned[rolloutKey(rollout)][key] {
		return false
	}
	if known && now-last.lastSeen < r.SessionTimeout && (last.onTarget || rollout.KeepsSessions(now)) {
		return last.onTarget
	}
	return request.HashFraction("release", key) < rollout.Share(now)
}

// RecordSession records the release on which a request of a session ran; rollout is nil if the service has no rollout.
func (r *Releases) RecordSession(rollout *catalogue.ReleaseRollout, c *request.Call, now clock.Millis) {
	key := c.Request.Session
	if key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions == nil {
		r.sessions = map[string]sessionRelease{}
	}
	if len(r.sessions) >= maxSessions {
		for k, s := range r.sessions {
			if now-s.lastSeen >= r.SessionTimeout {
				delete(r.sessions, k)
			}
		}
	}
	r.sessions[key] = sessionRelease{onTarget: rollout != nil && c.Upstream.Release == rollout.Target, lastSeen: now}
}
