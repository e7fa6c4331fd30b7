package occupancy

import (
	"strings"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// statementTTL is how long an upstream counts as fragile without an answer that says so or news of other instances.
	statementTTL = 10 * clock.Second
	// newsTime is how long an upstream counts as full after the news that it is, which come with each load report.
	newsTime clock.Millis = 500
	// newsDelay is how long an instance goes by its own answers although the others say something else; the news takes two load reports.
	newsDelay clock.Millis = 1500
)

// statement is what is known of an upstream's fragility.
type statement struct {
	fragile       bool
	maxRejections float64
	// answeredAt is when an answer last said that the upstream is fragile, or 0, and sentAt when its request was sent; heardAt is when other
	// instances last said so.
	answeredAt, sentAt, heardAt clock.Millis
	// soundAt is when an answer last said nothing of it, or 0.
	soundAt clock.Millis
}

// observe takes what an answer says, and reports whether that changes whether the upstream is fragile. Answers may overtake each other: one
// that doesn't call its upstream fragile counts only if its request was sent later than that of the last one that did.
func (s *statement) observe(room request.Room, sentAt, now clock.Millis) (changed bool) {
	if room.Fragile {
		changed = !s.fragile
		s.fragile, s.maxRejections, s.answeredAt, s.sentAt = true, room.MaxRejections, now, max(s.sentAt, sentAt)
		return changed
	}
	if s.fragile && sentAt <= s.sentAt {
		return false
	}
	changed = s.fragile
	s.fragile, s.answeredAt, s.soundAt = false, 0, now
	return changed
}

// expired reports whether nothing was heard for so long that the upstream no longer counts as fragile.
func (s *statement) expired(now clock.Millis) bool {
	return s.fragile && now-max(s.answeredAt, s.heardAt) > statementTTL
}

// verdict is what this instance takes an upstream for.
type verdict int

const (
	sound verdict = iota
	unknown
	fragile
)

// judge returns what this instance takes the upstream for. All upstreams of a service are fragile at the same time, so that one that hasn't
// said anything in this incarnation counts like the others. The caller must hold mu.
func (s *Slots) judge(u *catalogue.Upstream, k *upstream, now clock.Millis) verdict {
	if k.statement.expired(now) {
		k.statement = statement{}
		s.note(u.Name, k, true)
	}
	switch {
	case k.statement.fragile:
		return fragile
	case k.statement.soundAt > 0:
		return sound
	case k.service.fragileAt > 0 && now-k.service.fragileAt <= statementTTL:
		return fragile
	case !k.service.answered:
		return unknown
	}
	return sound
}

// Kinds of items by which instances tell each other of fragile upstreams.
const (
	fragileItem = "fragile "
	tellerItem  = "fragile teller "
	fullItem    = "fragile full "
	runningItem = "fragile running "
	freeItem    = "fragile free "
)

// AddOwn adds the fragile upstreams, by the answers to this instance, to the items that it shares with its peers.
func (s *Slots) AddOwn(now clock.Millis, items map[string]float32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, k := range s.upstreams {
		if k.statement.fragile && k.statement.answeredAt > 0 && now-k.statement.answeredAt <= statementTTL {
			items[fragileItem+name] = float32(k.statement.maxRejections)
			items[tellerItem+name] = 1
			if k.fullAt > 0 && now-k.fullAt <= k.service.fullTime() {
				items[fullItem+name] = 1
				items[runningItem+name] = float32(k.running)
			}
			if k.freeAt > 0 && now-k.freeAt <= maxFullTime {
				items[freeItem+name] = 1
			}
		}
	}
}

// SetPeers takes what the other instances know of the listed upstreams, the sums of their items; nil means that it isn't known.
func (s *Slots) SetPeers(listed []*catalogue.Upstream, now clock.Millis, items map[string]float32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if items == nil || !s.concerned(items) {
		return
	}
	for _, u := range listed {
		k := s.upstream(u, now)
		tellers := items[tellerItem+u.Name]
		if tellers <= 0 {
			s.forgetNews(u, k, now)
			continue
		}
		if k.statement.soundAt > 0 && now-k.statement.soundAt <= newsDelay {
			continue
		}
		changed := !k.statement.fragile
		k.statement.fragile, k.statement.heardAt = true, now
		if now-k.statement.answeredAt > newsDelay || k.statement.answeredAt == 0 {
			k.statement.maxRejections = float64(items[fragileItem+u.Name] / tellers)
		}
		k.service.fragileAt, k.service.maxRejections = now, k.statement.maxRejections
		s.note(u.Name, k, changed)
		if full := items[fullItem+u.Name]; full > 0 {
			k.setFull(now, min(newsTime, k.service.fullTime()))
			k.learnRoom(u, float64(items[runningItem+u.Name]/full), now)
		} else if items[freeItem+u.Name] > 0 {
			k.liftBound(now)
		}
	}
}

// concerned reports whether the items or this instance know of a fragile upstream. The caller must hold mu.
func (s *Slots) concerned(items map[string]float32) bool {
	for key := range items {
		if strings.HasPrefix(key, tellerItem) {
			return true
		}
	}
	for _, k := range s.upstreams {
		if k.statement.fragile {
			return true
		}
	}
	return false
}

// forgetNews ends a statement that only other instances knew of, once none reports it. The caller must hold mu.
func (s *Slots) forgetNews(u *catalogue.Upstream, k *upstream, now clock.Millis) {
	if !k.statement.fragile || now-k.statement.heardAt <= newsDelay || now-k.statement.answeredAt <= newsDelay && k.statement.answeredAt > 0 {
		return
	}
	if own, _ := s.part(u, k, now); own == 0 || k.statement.answeredAt == 0 {
		k.statement = statement{}
		s.note(u.Name, k, true)
	}
}
