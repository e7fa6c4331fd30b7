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
	// OnSend is called for each request that is sent to a service with a running rollout, and returns a function that is called when
	// the attempt has ended; it is optional.
	OnSend func(c *request.Call, rollout *catalogue.ReleaseRollout, onTarget bool) (ended func())

	mu       sync.Mutex
	sessions map[string]sessionRelease
	// pinned are, by rollout, the sessions that were on the old release when it began although their hash selects the new one. The
	// instances exchange them before any session changes its release, since callers switch between instances.
	pinned map[string]map[string]bool
	// shifted has, by rollout, the share of the sessions that the shift has given to the new release.
	shifted map[string]float64
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
			if !s.isOn(rollout) && now-s.lastSeen < r.SessionTimeout && request.HashFraction("release", session) < rollout.Canary {
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

// SetShare sets the share of the sessions that belong to the new release of a rollout once its canary phase has ended.
func (r *Releases) SetShare(rollout *catalogue.ReleaseRollout, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shifted == nil || len(r.shifted) >= maxRollouts {
		r.shifted = map[string]float64{}
	}
	r.shifted[rolloutKey(rollout)] = share
}

// loaded returns the upstreams of the new release that get its share of the requests: as many as make each of them about as busy as one
// of the old release, so that the release is judged under load before it has all requests. The upstreams are in the order of their
// names, and all instances choose the same ones.
func (r *Releases) loaded(rollout *catalogue.ReleaseRollout, target []*catalogue.Upstream, old int, now clock.Millis) []*catalogue.Upstream {
	r.mu.Lock()
	share := rollout.Share(now, r.shifted[rolloutKey(rollout)])
	r.mu.Unlock()
	n := max(minLoaded, int(share*float64(max(old, len(target)))))
	if n >= len(target) {
		return target
	}
	var warm []*catalogue.Upstream
	for _, u := range target {
		if now >= u.ColdUntil {
			warm = append(warm, u)
		}
	}
	if len(warm) < n {
		return target
	}
	return warm[:n]
}

// minLoaded is the least number of upstreams of a new release that get requests: what happens at one of them alone may be its own doing.
const minLoaded = 2

// RecordSend notes that a call is sent to its upstream, and returns a function to call when the attempt has ended; rollout is nil if the
// service has no rollout.
func (r *Releases) RecordSend(c *request.Call, rollout *catalogue.ReleaseRollout) (ended func()) {
	if r.OnSend == nil || rollout == nil || rollout.State != catalogue.ReleaseRunning {
		return func() {}
	}
	return r.OnSend(c, rollout, c.Upstream.Release == rollout.Target)
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

// sessionRelease tells whether the last request of a session ran on the new release of a rollout.
type sessionRelease struct {
	// service and target are those of the rollout; they are empty if the request ran on another release, or without a rollout.
	service, target string
	lastSeen        clock.Millis
}

// isOn reports whether the request ran on the new release of this rollout.
func (s sessionRelease) isOn(rollout *catalogue.ReleaseRollout) bool {
	return s.service == rollout.Service && s.target == rollout.Target
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
	r.mu.Lock()
	defer r.mu.Unlock()
	share := rollout.Share(now, r.shifted[rolloutKey(rollout)])
	if key == "" {
		return request.HashFraction("release", c.Request.ID) < share
	}
	last, known := r.sessions[key]
	if rollout.KeepsSessions(now) && r.pinned[rolloutKey(rollout)][key] {
		return false
	}
	if onTarget := last.isOn(rollout); known && now-last.lastSeen < r.SessionTimeout && (onTarget || rollout.KeepsSessions(now)) {
		return onTarget
	}
	return request.HashFraction("release", key) < share
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
	s := sessionRelease{lastSeen: now}
	if rollout != nil && c.Upstream.Release == rollout.Target {
		s.service, s.target = rollout.Service, rollout.Target
	}
	r.sessions[key] = s
}
