package occupancy

import (
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// abandonedHold is how long a request that was given up counts as being at its upstream, which may work on it for a while.
const abandonedHold = clock.Second

// Slots bounds the requests of this instance at fragile upstreams. It is safe for concurrent use, and its exported fields must be set before
// its first use; a nil Slots bounds nothing.
type Slots struct {
	Log logr.Logger
	// Self is the name of this instance, and Members returns all instances.
	Self    string
	Members func() []catalogue.Member

	mu        sync.Mutex
	upstreams map[string]*upstream
	services  map[string]*service
	counts    Counts
}

// Counts has numbers since the start of the instance.
type Counts struct {
	// Rejected counts the requests that upstreams rejected for want of room, and Refused the calls refused because the slots of fragile
	// upstreams were taken.
	Rejected, Refused int64
}

// upstream is what is known of one upstream.
type upstream struct {
	service     *service
	incarnation int64
	inFlight    int
	// abandoned has the times until which requests that were given up count, in order.
	abandoned []clock.Millis
	statement statement
	ranking   ranking
	// bound is the number of requests that may be in flight as of boundAt, if hasBound is set; it rises with time.
	bound    float64
	boundAt  clock.Millis
	hasBound bool
	// rejectedAt is when this instance was last rejected, and liftAfter how long free slots don't end the bound after that.
	rejectedAt, liftAfter clock.Millis
	// room is the number of requests that there was room for as of roomAt, if that is less than the slots; it rises with time. It is 0 while
	// the slots are the limit.
	room   float64
	roomAt clock.Millis
	// rampAt is when the requests began to rise from rampBase to this instance's part, or will begin to.
	rampAt   clock.Millis
	rampBase int
	// fullAt is when an answer to this instance last reported that the upstream is full, and fullUntil the time until which it gets no request.
	// peak is the largest number of running requests reported in the last peakTime, at peakAt, and running what it was at fullAt. A single report
	// may be made when some of the requests that took the room have ended.
	fullAt, fullUntil clock.Millis
	running, peak     int
	peakAt            clock.Millis
	// freeAt is when an answer to this instance last reported free slots, or 0 if none did since the upstream was full.
	freeAt clock.Millis
}

// service is what the upstreams of a service have in common.
type service struct {
	// answered is true once an answer told whether an upstream is fragile.
	answered bool
	// fragileAt is when one was last known to be fragile, or 0, and maxRejections what it bears.
	fragileAt     clock.Millis
	maxRejections float64
	// meanTime is the smoothed time that a request takes a slot, and bookedUntil the time up to which slots are promised to refused calls.
	meanTime    float64
	bookedUntil clock.Millis
	// askAt is when other holders may be asked for room again.
	askAt clock.Millis
}

// isSound reports whether no upstream of the service can be fragile; it is false for a service of which nothing is known.
func (v *service) isSound(now clock.Millis) bool {
	return v != nil && v.answered && (v.fragileAt == 0 || now-v.fragileAt > statementTTL)
}

// Observe takes what an answer of an upstream to a request that was sent at sentAt says of its room.
func (s *Slots) Observe(u *catalogue.Upstream, room request.Room, sentAt, now clock.Millis) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.upstream(u, now)
	if room.Read {
		k.service.answered = true
		s.note(u.Name, k, k.statement.observe(room, sentAt, now))
		if room.Fragile {
			k.service.fragileAt, k.service.maxRejections = now, room.MaxRejections
		}
	}
	k.observeLoad(u, room, now)
}

// note logs a change of what an upstream says, and drops the bounds that were learned before it ended. The caller must hold mu.
func (s *Slots) note(name string, k *upstream, changed bool) {
	if !changed {
		return
	}
	if k.statement.fragile {
		s.Log.Info("upstream bears few rejections", "upstream", name, "maxRejectionsPerSecond", k.statement.maxRejections)
		return
	}
	k.hasBound, k.room = false, 0
	s.Log.Info("upstream bears rejections again", "upstream", name)
}

// Open returns those of the upstreams of one service at which this instance may have one more request now.
func (s *Slots) Open(upstreams []*catalogue.Upstream, now clock.Millis) []*catalogue.Upstream {
	if s == nil || len(upstreams) == 0 {
		return upstreams
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services[upstreams[0].Service].isSound(now) {
		return upstreams
	}
	for i, u := range upstreams {
		if s.hasRoom(u, now) {
			continue
		}
		open := append(make([]*catalogue.Upstream, 0, len(upstreams)-1), upstreams[:i]...)
		for _, other := range upstreams[i+1:] {
			if s.hasRoom(other, now) {
				open = append(open, other)
			}
		}
		return open
	}
	return upstreams
}

// Stay is a request that counts as being at its upstream.
type Stay struct {
	upstream  *upstream
	listed    *catalogue.Upstream
	enteredAt clock.Millis
}

// TryEnter counts a request that is about to be sent, and reports whether there is room for it.
func (s *Slots) TryEnter(u *catalogue.Upstream, now clock.Millis) (stay *Stay, ok bool) {
	if s == nil {
		return nil, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasRoom(u, now) {
		return nil, false
	}
	k := s.upstream(u, now)
	k.inFlight++
	return &Stay{upstream: k, listed: u, enteredAt: now}, true
}

// End tells how a request has ended.
type End int

const (
	// Answered means that the upstream is done with it, or never got it.
	Answered End = iota
	// Rejected means that the upstream had no room for it.
	Rejected
	// Abandoned means that it was given up, and that the upstream may still work on it.
	Abandoned
)

// Leave counts the end of a request that TryEnter counted.
func (s *Slots) Leave(stay *Stay, end End, now clock.Millis) {
	if s == nil || stay == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := stay.upstream
	k.inFlight--
	switch end {
	case Rejected:
		s.counts.Rejected++
		if s.judge(stay.listed, k, now) == fragile {
			s.bind(stay.listed, k, stay.enteredAt, now)
		}
	case Abandoned:
		k.abandoned = append(k.abandoned, now+abandonedHold)
	case Answered:
		k.service.sampleTime(now - stay.enteredAt)
	}
}

// count returns the requests that count as being at the upstream.
func (k *upstream) count(now clock.Millis) int {
	for len(k.abandoned) > 0 && k.abandoned[0] <= now {
		k.abandoned = k.abandoned[1:]
	}
	return k.inFlight + len(k.abandoned)
}

// upstream returns what is known of an upstream; a new incarnation begins with no requests. The caller must hold mu.
func (s *Slots) upstream(u *catalogue.Upstream, now clock.Millis) *upstream {
	k := s.upstreams[u.Name]
	if k != nil && k.incarnation >= u.Incarnation {
		return k
	}
	if s.upstreams == nil {
		s.upstreams, s.services = map[string]*upstream{}, map[string]*service{}
	}
	v := s.services[u.Service]
	if v == nil {
		v = &service{}
		s.services[u.Service] = v
	}
	k = &upstream{service: v, incarnation: u.Incarnation, rampAt: now}
	s.upstreams[u.Name] = k
	return k
}

// Forget drops what is known of an upstream that has been gone for long.
func (s *Slots) Forget(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.upstreams, upstream)
}

// hasRoom reports whether one more request may be sent to the upstream. The caller must hold mu.
func (s *Slots) hasRoom(u *catalogue.Upstream, now clock.Millis) bool {
	k := s.upstream(u, now)
	switch s.judge(u, k, now) {
	case sound:
		return true
	case unknown:
		// The first answer tells more.
		return k.count(now) < max(1, slotsOf(u)/(len(s.Members())+1))
	default:
		return now >= k.fullUntil && float64(k.count(now)+1) <= s.allowance(u, k, now)
	}
}

// meanTimeWeight is the weight of a new sample of the time that a request takes.
const meanTimeWeight = 0.1

// fullTime returns how long an upstream of the service counts as full after a report.
func (v *service) fullTime() clock.Millis {
	return max(minFullTime, min(clock.Millis(fullRequests*v.meanTime), maxFullTime))
}

func (v *service) sampleTime(took clock.Millis) {
	if v.meanTime == 0 {
		v.meanTime = float64(took)
		return
	}
	v.meanTime += meanTimeWeight * (float64(took) - v.meanTime)
}
