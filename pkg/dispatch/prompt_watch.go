package dispatch

import (
	"slices"
	"strconv"
	"sync/atomic"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// PromptWatch follows one attempt of a prompt; Admit starts it.
type PromptWatch struct {
	suspects *CrashSuspects
	call     *request.Call
	// sent has the evidence on the parts when the attempt was sent; it is nil while there is none.
	sent    []CrashEvidence
	probing []uint64
	begun   atomic.Bool
}

// anyUnproven reports whether no answer to a prompt with one of the parts has begun here.
func (s *CrashSuspects) anyUnproven(parts []request.PromptPart) bool {
	return slices.ContainsFunc(parts, func(part request.PromptPart) bool { return !s.begun.contains(hashPart(part.ID)) })
}

// FirstEvent records that the answer has begun, which clears the parts of the prompt.
func (w *PromptWatch) FirstEvent() {
	w.begun.Store(true)
	s := w.suspects
	if s == nil {
		return
	}
	parts := sharedParts(w.call)
	if len(parts) > 0 {
		s.lastBegun.Store(int64(s.Clock.Now()))
		if s.counted.Load() > 0 {
			s.clear(w.call, parts)
		}
	}
	for _, part := range parts {
		s.begun.add(hashPart(part.ID))
	}
}

func (s *CrashSuspects) clear(c *request.Call, parts []request.PromptPart) {
	now := s.Clock.Now()
	s.mu.Lock()
	for _, p := range s.parts {
		// Set for the parts of the prompt as well, whose crashes are cleared below.
		p.othersBegun = true
	}
	news := false
	for _, part := range parts {
		p := s.parts[hashPart(part.ID)]
		if p == nil || p.Crashes == 0 {
			continue
		}
		news = true
		if s.quarantined(p) {
			s.cleared.Add(1)
			s.Log.Info("prompt part cleared: an answer has begun", "request", c.Request.ID, "part", p.id, "crashes", p.Crashes)
		}
		s.set(p, CrashEvidence{Part: p.Part, Generation: p.Generation + 1}, now)
	}
	s.mu.Unlock()
	s.notify(news)
}

// End ends the watch; crashed is true if the connection to the upstream ended although the request was sent.
func (w *PromptWatch) End(upstream *catalogue.Upstream, crashed bool) {
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
	for _, part := range w.probing {
		if p := s.parts[part]; p != nil {
			p.probing = false
		}
	}
	news := crashed && s.recordCrash(w, upstream, now)
	s.mu.Unlock()
	s.notify(news)
}

// recordCrash counts a crash for the parts of a prompt and reports whether there is news; s.mu must be held. Attempts that are lost
// together, at one upstream or with a whole rack, count once: a further one counts if it was sent after the others were known, or for a
// part to which no answer has begun here, if it ended later than they did. Such parts alone are blamed if the prompt has any. The
// crash that would quarantine any other part counts only if prompts without it are answered meanwhile: where nothing is, links or upstreams
// fail whatever they are sent.
func (s *CrashSuspects) recordCrash(w *PromptWatch, upstream *catalogue.Upstream, now clock.Millis) bool {
	news := false
	parts := sharedParts(w.call)
	anyNew := s.anyUnproven(parts)
	inOutage := s.inOutage(now)
	s.lost.add(parts, now)
	for _, part := range parts {
		hash := hashPart(part.ID)
		sound := s.begun.contains(hash)
		if sound && anyNew {
			continue
		}
		p := s.part(hash, now)
		p.id = loggedID(part.ID)
		if sound && p.Crashes == soundSuspectCrashes-1 && !p.othersBegun {
			continue
		}
		if inOutage && s.lost.anyWithout(hash, now-servingWindow) {
			// Prompts are lost whatever their parts.
			continue
		}
		if p.Crashes >= maxCrashCount || !w.sentKnowing(p) && (sound || now-p.changedAt < sameCrashWindow) {
			continue
		}
		s.set(p, CrashEvidence{Part: hash, Generation: p.Generation, Crashes: p.Crashes + 1}, now)
		news = true
		s.Log.Info("upstream ended before it began an answer", "request", w.call.Request.ID, "upstream", upstream.Name,
			"part", p.id, "crashes", p.Crashes)
		s.logSuspect(p, "own")
	}
	if news {
		s.crashes.Add(1)
	}
	return news
}

// inOutage reports whether no answer to a prompt has begun here for a while.
func (s *CrashSuspects) inOutage(now clock.Millis) bool {
	at := clock.Millis(s.lastBegun.Load())
	return at == 0 || now-at > servingWindow
}

// sentKnowing reports whether the attempt was sent when the crashes under the part were known.
func (w *PromptWatch) sentKnowing(p *crashPart) bool {
	return p.Crashes == 0 || slices.Contains(w.sent, p.CrashEvidence)
}

func (s *CrashSuspects) logSuspect(p *crashPart, source string) {
	if s.quarantined(p) {
		s.Log.Info("prompt part quarantined", "part", p.id, "partHash", strconv.FormatUint(p.Part, 36), "crashes", p.Crashes,
			"nextProbeMs", s.probePause(p), "source", source)
	}
}
