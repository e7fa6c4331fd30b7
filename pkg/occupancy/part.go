package occupancy

import (
	"math/rand/v2"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// reserveDivisor is the part of the slots that stay free for what takes one for a moment, such as a new connection: one in so many.
	reserveDivisor = 16
	// defaultSlots is the assumed number of slots of an upstream that reports none.
	defaultSlots = 8
	// minPart is the number of slots that an instance holds at least where there are fewer slots than instances; fewer holders waste less.
	minPart = 3
)

// ranking is the order in which instances hold slots of an upstream, for the members for which it was worked out.
type ranking struct {
	members []catalogue.Member
	known   bool
	// ordered has the names of all instances, and rank the place of this one.
	ordered []string
	rank    int
}

// part returns this instance's part of the slots of an upstream that there is room for, and the number of instances that hold one. All parts
// add up to the slots less a reserve. The caller must hold mu.
func (s *Slots) part(u *catalogue.Upstream, k *upstream, now clock.Millis) (own, holders int) {
	r := s.ranking(u, k)
	slots := k.usable(u, now)
	holders = holderCount(withoutReserve(slotsOf(u)), len(r.ordered))
	if r.rank >= holders {
		return 0, holders
	}
	own = slots / holders
	if r.rank < slots%holders {
		own++
	}
	return own, holders
}

// ranking returns the order of the instances at an upstream. The caller must hold mu.
func (s *Slots) ranking(u *catalogue.Upstream, k *upstream) *ranking {
	members := s.Members()
	r := &k.ranking
	if r.known && sameSlice(r.members, members) {
		return r
	}
	all := append(names(members, s.Self), s.Self)
	*r = ranking{members: members, known: true, ordered: request.RendezvousOrder(u.Name, all, func(name string) string { return name })}
	r.rank = slices.Index(r.ordered, s.Self)
	return r
}

// usable returns the slots that all instances together may use. Where requests wait although slots are free, memory is the limit.
func (k *upstream) usable(u *catalogue.Upstream, now clock.Millis) int {
	slots := slotsOf(u)
	if k.room > 0 {
		// More is tried only once the requests have risen to what there was room for.
		if from := max(k.roomAt, k.rampAt+rampTime); now > from {
			k.room += probeShare * k.maxRejections() * (now - from).Seconds()
			k.roomAt = now
		}
		if k.room < float64(slots) {
			slots = int(k.room)
		} else {
			k.room = 0
		}
	}
	return max(1, withoutReserve(slots))
}

func withoutReserve(slots int) int { return slots - slots/reserveDivisor }

// observeLoad learns how much room there is from a load report, which is late: requests that wait, or one that was rejected, show that the
// running ones take all of it.
func (k *upstream) observeLoad(u *catalogue.Upstream, room request.Room, now clock.Millis) {
	if room.Load == nil {
		return
	}
	if room.Load.Running >= k.peak || now-k.peakAt > peakTime {
		k.peak, k.peakAt = room.Load.Running, now
	}
	if room.Load.Waiting == 0 && !room.Rejected {
		if now < k.fullUntil {
			k.fullAt, k.fullUntil, k.rampAt = 0, now, now
		}
		if float64(room.Load.Running) <= freeShare*float64(k.usable(u, now)) {
			k.freeAt = now
			k.liftBound(now)
		}
		return
	}
	k.freeAt = 0
	k.fullAt = now
	k.setFull(now, k.service.fullTime())
	k.running = max(1, k.peak)
	k.learnRoom(u, float64(k.running), now)
}

// liftBound lets the requests rise to this instance's part again, because slots are free.
func (k *upstream) liftBound(now clock.Millis) {
	if k.hasBound && now >= k.rejectedAt+k.liftAfter {
		k.hasBound, k.rampAt, k.rampBase = false, now, k.count(now)
	}
}

// learnRoom takes the number of requests that ran at an upstream that was full.
func (k *upstream) learnRoom(u *catalogue.Upstream, running float64, now clock.Millis) {
	if running < float64(slotsOf(u)) {
		k.room, k.roomAt = running, now
	}
}

// names returns the names of the members but one.
func names(members []catalogue.Member, except string) []string {
	var out []string
	for _, m := range members {
		if m.Name != except {
			out = append(out, m.Name)
		}
	}
	return out
}

// sameSlice reports whether two slices are the same, as those of one snapshot are.
func sameSlice(a, b []catalogue.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// slotsOf returns the slots that an upstream has.
func slotsOf(u *catalogue.Upstream) int {
	if u.Slots <= 0 {
		return defaultSlots
	}
	return u.Slots
}

// holderCount returns how many of n instances hold slots of an upstream.
func holderCount(slots, n int) int {
	if slots >= n {
		return n
	}
	return min(n, max(1, slots/minPart))
}

// maxDraws bounds the search for another holder.
const maxDraws = 8

// busyTime is how long no other holder is asked after those that were asked for one call had no room. It bounds the work on calls that can't be
// served.
const busyTime clock.Millis = 10

// HoldersBusy tells that the holders that Holder named for a call of the service had no room.
func (s *Slots) HoldersBusy(name string, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.services[name]; v != nil {
		v.askAt = now + busyTime
	}
}

// Holder returns an instance that holds slots of one of the upstreams, other than this one and those tried, or "" if none is found. The calls
// are spread over the holders by their IDs.
func (s *Slots) Holder(upstreams []*catalogue.Upstream, requestID string, tried []string, now clock.Millis) string {
	if s == nil || len(upstreams) == 0 {
		return ""
	}
	rng := rand.NewPCG(request.HashKey("holder", requestID), uint64(len(tried)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(tried) == 0 && now < s.upstream(upstreams[0], now).service.askAt {
		return ""
	}
	for range maxDraws {
		u := upstreams[rng.Uint64()%uint64(len(upstreams))]
		k := s.upstream(u, now)
		_, holders := s.part(u, k, now)
		name := k.ranking.ordered[rng.Uint64()%uint64(holders)]
		if name != s.Self && !slices.Contains(tried, name) {
			return name
		}
	}
	return ""
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused call.
	minRetryAfter clock.Millis = 100
	maxRetryAfter              = 5 * clock.Second
	// unknownTime is the assumed time that a request takes a slot until one has ended.
	unknownTime clock.Millis = 400
)

// RetryAfter counts a refused call and returns when it may come back. Calls that are refused one after the other are told to come back one after
// the other, as the slots become free; one whose deadline comes before its turn takes no turn.
func (s *Slots) RetryAfter(service string, upstreams []*catalogue.Upstream, deadline, now clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused++
	v := s.services[service]
	if v == nil {
		return unknownTime
	}
	allowed := 0.0
	for _, u := range upstreams {
		allowed += s.allowance(u, s.upstream(u, now), now)
	}
	took := v.meanTime
	if took == 0 {
		took = float64(unknownTime)
	}
	at := min(max(now+minRetryAfter, v.bookedUntil), now+maxRetryAfter)
	if deadline == 0 || at < deadline {
		v.bookedUntil = at + clock.Millis(took/max(1, allowed))
	}
	return at - now
}
