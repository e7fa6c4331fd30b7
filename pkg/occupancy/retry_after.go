package occupancy

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

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
