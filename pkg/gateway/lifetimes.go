package gateway

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// keepUnlisted is how long what is known of an upstream is kept after it was last listed: entries lapse, and come back within one lifetime of
// their upstreams.
const keepUnlisted = 600 * clock.Second

// lifetimes tells when what is known of an upstream no longer applies. It is used by one goroutine.
type lifetimes struct {
	known map[string]lifetime
}

type lifetime struct {
	incarnation int64
	listedAt    clock.Millis
}

// update takes the listed upstreams, and returns those that have begun another lifetime and those that haven't been listed for long. An entry
// without its start begins no other lifetime.
func (l *lifetimes) update(listed []*catalogue.Upstream, now clock.Millis) (restarted, gone []string) {
	if l.known == nil {
		l.known = map[string]lifetime{}
	}
	for _, u := range listed {
		old := l.known[u.Name]
		if old.incarnation > 0 && u.Incarnation > old.incarnation {
			restarted = append(restarted, u.Name)
		}
		l.known[u.Name] = lifetime{incarnation: max(old.incarnation, u.Incarnation), listedAt: now}
	}
	for name, known := range l.known {
		if now-known.listedAt > keepUnlisted {
			delete(l.known, name)
			gone = append(gone, name)
		}
	}
	return restarted, gone
}

// forgetEnded drops what is known of upstreams whose lifetime has ended. Notices and slots tell lifetimes apart themselves.
func (in *Instance) forgetEnded(now clock.Millis) {
	restarted, gone := in.lifetimes.update(in.control.Snapshot().Upstreams, now)
	for _, name := range append(restarted, gone...) {
		in.loadTracker.Forget(name)
		in.outliers.Forget(name)
		in.limits.Forget(name)
	}
	for _, name := range gone {
		in.notices.Forget(name, now)
		in.slots.Forget(name)
		in.planner.Forget(name)
	}
}
