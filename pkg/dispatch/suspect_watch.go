package dispatch

import (
	"slices"
	"sync/atomic"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// SuspectWatch follows one attempt of a call; Admit starts it.
type SuspectWatch struct {
	suspects *CrashSuspects
	call     *request.Call
	// sent has the evidence on the subjects when the attempt was sent; it is nil while there is none.
	sent    []CrashEvidence
	probing []CrashSubject
	begun   atomic.Bool
}

// anyUnproven reports whether no answer to a prompt with one of the parts has begun here.
func (s *CrashSuspects) anyUnproven(parts []request.PromptPart) bool {
	return slices.ContainsFunc(parts, func(part request.PromptPart) bool { return !s.begun.contains(hashPart(part.ID)) })
}

// FirstEvent records that the answer has begun, which clears the request and the parts of its prompt.
func (w *SuspectWatch) FirstEvent() {
	w.begun.Store(true)
	s := w.suspects
	if s == nil {
		return
	}
	parts := sharedParts(w.call)
	if len(parts) > 0 {
		s.lastBegun.Store(int64(s.Clock.Now()))
	}
	if s.counted.Load() > 0 {
		s.clear(w.call)
	}
	for _, part := range parts {
		s.begun.add(hashPart(part.ID))
	}
	s.answered.add(localHash(w.call.Request))
}

func (s *CrashSuspects) clear(c *request.Call) {
	now, keys := s.Clock.Now(), subjectsOf(c)
	s.mu.Lock()
	if len(keys) > 1 {
		for _, p := range s.subjects {
			// Set for the subjects of the call as well, whose crashes are cleared below.
			p.othersBegun = true
		}
	}
	news := false
	for _, key := range keys {
		p := s.subjects[key]
		if p == nil || p.Crashes == 0 {
			continue
		}
		news = true
		if s.quarantined(p) {
			s.cleared.Add(1)
			s.Log.Info("quarantine ended: an answer has begun", "request", c.Request.ID, "subject", p.describe(), "crashes", p.Crashes)
		}
		s.set(p, CrashEvidence{Subject: key, Generation: p.Generation + 1}, now)
	}
	s.mu.Unlock()
	s.notifyOwn(news)
}

// End ends the watch; crashed is true if the connection to the upstream ended although the request was sent.
func (w *SuspectWatch) End(upstream *catalogue.Upstream, crashed bool) {
	s := w.suspects
	if s == nil {
		return
	}
	crashed = crashed && !w.begun.Load()
	if len(w.probing) == 0 && !crashed {
		return
	}
	now := s.Clock.Now()
	s.mu.Lock()
	for _, key := range w.probing {
		if p := s.subjects[key]; p != nil {
			p.probing = false
		}
	}
	news := crashed && s.recordCrash(w, upstream, now)
	s.mu.Unlock()
	s.notifyOwn(news)
}

// recordCrash counts a crash for the request and for the parts of its prompt, and reports whether there is news; s.mu must be held.
func (s *CrashSuspects) recordCrash(w *SuspectWatch, upstream *catalogue.Upstream, now clock.Millis) bool {
	p := s.subject(requestSubject(w.call), now)
	p.answered = p.answered || s.answered.contains(localHash(w.call.Request))
	first := p.Crashes == 0
	news := s.countCrash(w, p, false, upstream, now)
	if parts := sharedParts(w.call); len(parts) > 0 {
		s.lost.add(parts, now)
		news = s.recordPartCrash(w, parts, first, upstream, now) || news
	}
	if news {
		s.crashes.Add(1)
	}
	return news
}

// recordPartCrash counts a crash for the parts of a prompt and reports whether there is news; s.mu must be held. first is true if the
// request had not crashed an upstream before. Parts to which no answer has begun here are blamed alone if the prompt has any. The crash that would quarantine any other part counts only if prompts without it
// are answered meanwhile: where nothing is, links or upstreams fail whatever they are sent.
func (s *CrashSuspects) recordPartCrash(w *SuspectWatch, parts []request.PromptPart, first bool, upstream *catalogue.Upstream, now clock.Millis) bool {
	news := false
	anyNew := s.anyUnproven(parts)
	inOutage := s.inOutage(now)
	for _, part := range parts {
		key := partSubject(part.ID)
		sound := s.begun.contains(key.Hash)
		if sound && anyNew {
			continue
		}
		p := s.subject(key, now)
		p.id = loggedID(part.ID)
		if sound && p.Crashes == soundSuspectCrashes-1 && !p.othersBegun {
			continue
		}
		if inOutage && s.lost.anyWithout(key.Hash, now-servingWindow) {
			// Prompts are lost whatever their parts.
			continue
		}
		oneRequest := p.Crashes == 0 || p.OneRequest && !first
		if oneRequest && p.Crashes > 0 && !sound {
			// Further crashes under one request tell of that request alone.
			continue
		}
		news = s.countCrash(w, p, oneRequest, upstream, now) || news
	}
	return news
}

// countCrash counts a crash for a subject and reports whether it is news; s.mu must be held. Attempts that are lost together, at one
// upstream or with a whole rack, count once: a further one counts if it was sent after the others were known, or for a subject to which no
// answer has begun here, if it ended later than they did.
func (s *CrashSuspects) countCrash(w *SuspectWatch, p *crashSubject, oneRequest bool, upstream *catalogue.Upstream, now clock.Millis) bool {
	if p.Crashes >= maxCrashCount || !w.sentKnowing(p) && (!p.Subject.Request && s.wasSound(p) || now-p.changedAt < sameCrashWindow) {
		return false
	}
	s.set(p, CrashEvidence{Subject: p.Subject, Generation: p.Generation, Crashes: p.Crashes + 1, OneRequest: oneRequest}, now)
	s.Log.Info("upstream ended before it began an answer", "request", w.call.Request.ID, "upstream", upstream.Name,
		"subject", p.describe(), "crashes", p.Crashes)
	s.logSuspect(p, "own")
	return true
}

// inOutage reports whether no answer to a prompt has begun here for a while.
func (s *CrashSuspects) inOutage(now clock.Millis) bool {
	at := clock.Millis(s.lastBegun.Load())
	return at == 0 || now-at > servingWindow
}

// sentKnowing reports whether the attempt was sent when the crashes under the subject were known.
func (w *SuspectWatch) sentKnowing(p *crashSubject) bool {
	return p.Crashes == 0 || slices.Contains(w.sent, p.CrashEvidence)
}

func (s *CrashSuspects) logSuspect(p *crashSubject, source string) {
	if s.quarantined(p) {
		s.Log.Info("quarantined", "subject", p.describe(), "hash", p.Subject.String(), "crashes", p.Crashes,
			"nextProbeMs", s.probePause(p), "source", source)
	}
}
