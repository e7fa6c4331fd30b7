package dispatch

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// crashSubject is the state of one subject.
type crashSubject struct {
	CrashEvidence
	// id is the ID of a part; it is empty for a request, and while only other instances have seen the part.
	id string
	// changedAt is the monotonic time of the last news, in milliseconds.
	changedAt clock.Millis
	// answered is true if answers to the request have begun here before.
	answered bool
	// wasSuspect is true if the subject was suspect before it was cleared.
	wasSuspect bool
	// othersBegun is true once an answer to a prompt without the part has begun here since the last news; a request needs none.
	othersBegun bool
	// inOutage is true if no answer to a prompt had begun here for a while when the last news arrived.
	inOutage bool
	// probing is true while a probe of this instance is in flight, untold until News has returned what changed.
	probing, untold bool
}

func hashPart(id string) uint64 { return request.HashKey("part", id) }

// partSubject returns the subject of a part that prompts share.
func partSubject(id string) CrashSubject { return CrashSubject{Hash: hashPart(id)} }

// subject returns the state of a subject and creates it if need be; s.mu must be held.
func (s *CrashSuspects) subject(key CrashSubject, now clock.Millis) *crashSubject {
	if p := s.subjects[key]; p != nil {
		return p
	}
	if s.subjects == nil {
		s.subjects = map[CrashSubject]*crashSubject{}
	}
	if len(s.subjects) >= maxCrashSubjects {
		s.evict(now)
	}
	p := &crashSubject{CrashEvidence: CrashEvidence{Subject: key}, changedAt: now}
	s.subjects[key] = p
	s.known.Add(1)
	return p
}

// evict drops the expired subjects, or else the half with the fewest crashes and the oldest news; s.mu must be held.
func (s *CrashSuspects) evict(now clock.Millis) {
	s.dropExpired(now)
	if len(s.subjects) < maxCrashSubjects {
		return
	}
	for _, p := range s.byPriority(func(*crashSubject) bool { return true })[maxCrashSubjects/2:] {
		s.drop(p)
	}
}

func (s *CrashSuspects) dropExpired(now clock.Millis) {
	for _, p := range s.subjects {
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

func (s *CrashSuspects) drop(p *crashSubject) {
	if p.Crashes > 0 {
		s.counted.Add(-1)
	}
	s.known.Add(-1)
	delete(s.subjects, p.Subject)
}

// set records newer evidence on a subject; s.mu must be held.
func (s *CrashSuspects) set(p *crashSubject, e CrashEvidence, now clock.Millis) {
	switch {
	case p.Crashes == 0 && e.Crashes > 0:
		s.counted.Add(1)
	case p.Crashes > 0 && e.Crashes == 0:
		s.counted.Add(-1)
		p.wasSuspect = p.suspect()
	}
	p.CrashEvidence, p.changedAt, p.untold, p.othersBegun, p.inOutage = e, now, true, false, s.inOutage(now)
}

// byPriority returns the subjects that match, those with the most crashes first, then those that were suspect, then the newest; s.mu must
// be held.
func (s *CrashSuspects) byPriority(match func(p *crashSubject) bool) []*crashSubject {
	var found []*crashSubject
	for _, p := range s.subjects {
		if match(p) {
			found = append(found, p)
		}
	}
	rank := func(p *crashSubject) int {
		switch {
		case p.suspect():
			return int(p.Crashes)
		case p.wasSuspect:
			return suspectCrashes
		}
		return int(p.Crashes)
	}
	slices.SortFunc(found, func(a, b *crashSubject) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(a.Subject.Hash, b.Subject.Hash))
	})
	return found
}

// describe returns what the subject is, for logs and refusals.
func (p *crashSubject) describe() string {
	if p.id != "" {
		return "part " + p.id
	}
	return p.Subject.String()
}

func loggedID(id string) string {
	if len(id) <= maxLoggedID {
		return id
	}
	return id[:maxLoggedID] + "..."
}
