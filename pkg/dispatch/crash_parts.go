package dispatch

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// crashPart is the state of one part.
type crashPart struct {
	CrashEvidence
	// id is empty while only other instances have seen the part.
	id string
	// changedAt is the monotonic time of the last news, in milliseconds.
	changedAt clock.Millis
	// wasSuspect is true if the part was suspect before it was cleared.
	wasSuspect bool
	// othersBegun is true once an answer to a prompt without the part has begun here since the last news.
	othersBegun bool
	// inOutage is true if no answer to a prompt had begun here for a while when the last news arrived.
	inOutage bool
	// probing is true while a probe of this instance is in flight, untold until News has returned what changed.
	probing, untold bool
}

func hashPart(id string) uint64 { return request.HashKey("part", id) }

// part returns the state of a part and creates it if need be; s.mu must be held.
func (s *CrashSuspects) part(hash uint64, now clock.Millis) *crashPart {
	if p := s.parts[hash]; p != nil {
		return p
	}
	if s.parts == nil {
		s.parts = map[uint64]*crashPart{}
	}
	if len(s.parts) >= maxCrashParts {
		s.evict(now)
	}
	p := &crashPart{CrashEvidence: CrashEvidence{Part: hash}, changedAt: now}
	s.parts[hash] = p
	s.known.Add(1)
	return p
}

// evict drops the expired parts, or else the half with the fewest crashes and the oldest news; s.mu must be held.
func (s *CrashSuspects) evict(now clock.Millis) {
	s.dropExpired(now)
	if len(s.parts) < maxCrashParts {
		return
	}
	for _, p := range s.byPriority(func(*crashPart) bool { return true })[maxCrashParts/2:] {
		s.drop(p)
	}
}

func (s *CrashSuspects) dropExpired(now clock.Millis) {
	for _, p := range s.parts {
		ttl := crashTTL
		switch {
		case p.suspect():
			ttl = suspectTTL
		case p.Crashes == 0:
			ttl = clearedTTL
		}
		if now-p.changedAt > ttl {
			s.drop(p)
		}
	}
}

func (s *CrashSuspects) drop(p *crashPart) {
	if p.Crashes > 0 {
		s.counted.Add(-1)
	}
	s.known.Add(-1)
	delete(s.parts, p.Part)
}

// set records newer evidence on a part; s.mu must be held.
func (s *CrashSuspects) set(p *crashPart, e CrashEvidence, now clock.Millis) {
	switch {
	case p.Crashes == 0 && e.Crashes > 0:
		s.counted.Add(1)
	case p.Crashes > 0 && e.Crashes == 0:
		s.counted.Add(-1)
		p.wasSuspect = p.suspect()
	}
	p.CrashEvidence, p.changedAt, p.untold, p.othersBegun, p.inOutage = e, now, true, false, s.inOutage(now)
}

// byPriority returns the parts that match, those with the most crashes first, then those that were suspect, then the newest; s.mu must
// be held.
func (s *CrashSuspects) byPriority(match func(p *crashPart) bool) []*crashPart {
	var found []*crashPart
	for _, p := range s.parts {
		if match(p) {
			found = append(found, p)
		}
	}
	rank := func(p *crashPart) int {
		switch {
		case p.suspect():
			return int(p.Crashes)
		case p.wasSuspect:
			return suspectCrashes
		}
		return int(p.Crashes)
	}
	slices.SortFunc(found, func(a, b *crashPart) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(a.Part, b.Part))
	})
	return found
}

func loggedID(id string) string {
	if len(id) <= maxLoggedID {
		return id
	}
	return id[:maxLoggedID] + "..."
}
