package occupancy

import (
	"math/rand/v2"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

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
