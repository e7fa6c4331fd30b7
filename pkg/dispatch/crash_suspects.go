package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// suspectCrashes is the number of upstreams that crash one after the other under a part until it is quarantined, and
	// soundSuspectCrashes the same for a part to which answers have begun before.
	suspectCrashes      = 2
	soundSuspectCrashes = 3
	// sameCrashWindow is the time within which upstreams that end are taken to end for one cause, in milliseconds.
	sameCrashWindow clock.Millis = 40
	// soundProbePause is the time from the quarantine to the first probe of a part to which answers have begun before, in milliseconds.
	soundProbePause = 1 * clock.Second
	// firstProbePause is the time from the quarantine to the first probe of any other part, in milliseconds; it grows by
	// probePauseFactor with each further crash up to maxProbePause.
	firstProbePause  = 30 * clock.Second
	probePauseFactor = 16
	maxProbePause    = 48 * 3600 * clock.Second
	// probeSlot is the least time between the probes of two instances, in milliseconds: one crashes an upstream and is known to all
	// within it. A long pause is divided into probeSlots slots.
	probeSlot               = clock.Second / 2
	probeSlots clock.Millis = 16
	// severalSuspectsFactor extends the pause for prompts with several suspect parts: those with one of them tell which it is.
	severalSuspectsFactor = 6
	// crashTTL is how long a single crash counts, clearedTTL how long the clearing of a part is remembered, and suspectTTL how long a
	// suspect part is, all in milliseconds and since the last news.
	crashTTL   = 600 * clock.Second
	clearedTTL = 60 * clock.Second
	suspectTTL = maxProbePause + 24*3600*clock.Second
	// maxCrashParts bounds the parts that an instance remembers.
	maxCrashParts = 512
	// maxReportedParts bounds the parts in one load report, maxRumorParts those in one rumor.
	maxReportedParts = 5
	maxRumorParts    = 16
	// reportClearedFor is how long load reports carry a cleared part, in milliseconds.
	reportClearedFor = 10 * clock.Second
	// maxLoggedID bounds the part IDs in logs and refusals, in bytes.
	maxLoggedID = 48
	// minQuarantineRetryAfter and maxQuarantineRetryAfter bound the Retry-After of quarantined requests, in milliseconds.
	minQuarantineRetryAfter = 2 * clock.Second
	maxQuarantineRetryAfter = 300 * clock.Second
)

// CrashSuspects quarantines parts of prompts under which upstreams crash: after the second upstream in a row that ended before an
// answer to a prompt with the part began, such requests are refused, except for single probes after growing pauses. An answer that
// begins clears its parts. All instances exchange the evidence. It is safe for concurrent use; a nil CrashSuspects admits everything.
type CrashSuspects struct {
	Clock clock.Clock
	Log   logr.Logger
	// Self is the name of this instance, and Members returns all instances, which probe in turn; Members may be nil.
	Self    string
	Members func() []catalogue.Member
	// OnNews, if set, is called when News has something to tell.
	OnNews func()

	crashes, probes, refused, cleared atomic.Int64
	// known is the number of parts, and counted that of parts with crashes, so that requests take no lock while there are none.
	known, counted atomic.Int64

	begun begunParts
	// heard is true once the evidence of other instances was received; one crash is enough for a quarantine before.
	heard atomic.Bool

	mu    sync.Mutex
	parts map[uint64]*crashPart
}

// crashPart is the state of one part.
type crashPart struct {
	CrashEvidence
	// id is empty while only other instances have seen the part.
	id string
	// changedAt is the monotonic time of the last news, in milliseconds.
	changedAt clock.Millis
	// wasSuspect is true if the part was suspect before it was cleared.
	wasSuspect bool
	// probing is true while a probe of this instance is in flight, untold until News has returned what changed.
	probing, untold bool
}

// CrashStats counts what CrashSuspects has seen and done since the start; Quarantined is the number of parts in quarantine now.
type CrashStats struct {
	Crashes, Probes, Refused, Cleared int64
	Quarantined                       int
}

// PromptWatch follows one attempt of a prompt; Admit starts it.
type PromptWatch struct {
	suspects *CrashSuspects
	call     *request.Call
	// sent has the evidence on the parts when the attempt was sent; it is nil while there is none.
	sent    []CrashEvidence
	probing []uint64
	begun   atomic.Bool
}

func hashPart(id string) uint64 { return request.HashKey("part", id) }

// sharedParts returns the parts of the call's prompt but the last, which no other request has.
func sharedParts(c *request.Call) []request.PromptPart {
	if c.Request.Prompt == nil || len(c.Request.Prompt.Parts) == 0 {
		return nil
	}
	parts := c.Request.Prompt.Parts
	return parts[:len(parts)-1]
}

// Admit starts the watch of an attempt of the call. It returns a refusal if the prompt has a quarantined part, unless the attempt is a
// probe.
func (s *CrashSuspects) Admit(w *PromptWatch, c *request.Call) *request.Refusal {
	w.suspects, w.call = s, c
	if s == nil || s.known.Load() == 0 {
		return nil
	}
	now, parts := s.Clock.Now(), sharedParts(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*crashPart
	for _, part := range parts {
		p := s.parts[hashPart(part.ID)]
		if p == nil {
			continue
		}
		p.id = loggedID(part.ID)
		w.sent = append(w.sent, p.CrashEvidence)
		if s.quarantined(p) && !slices.Contains(found, p) {
			found = append(found, p)
		}
	}
	if len(found) == 0 {
		return nil
	}
	for _, p := range found {
		if wait := s.untilProbe(p, len(found) > 1, now); wait > 0 {
			s.refused.Add(1)
			return quarantineRefusal(c, p, wait)
		}
	}
	s.probes.Add(1)
	for _, p := range found {
		p.probing = true
		w.probing = append(w.probing, p.Part)
		s.Log.Info("probing a quarantined prompt part", "request", c.Request.ID, "part", p.id, "crashes", p.Crashes)
	}
	return nil
}

// untilProbe returns the time until this instance may probe the part; s.mu must be held.
func (s *CrashSuspects) untilProbe(p *crashPart, several bool, now clock.Millis) clock.Millis {
	pause := s.probePause(p)
	wait := pause
	if several {
		wait *= severalSuspectsFactor
	}
	wait += s.rank(p)*max(probeSlot, pause/probeSlots) + p.changedAt - now
	if p.probing {
		wait = max(wait, probeSlot)
	}
	return wait
}

// rank returns the place of this instance in the order in which instances probe a part; it is another one after each crash.
func (s *CrashSuspects) rank(p *crashPart) clock.Millis {
	if s.Members == nil {
		return 0
	}
	key := strconv.FormatUint(p.Part, 36) + " " + strconv.Itoa(int(p.Crashes))
	var before clock.Millis
	for _, m := range s.Members() {
		if m.Name != s.Self && request.CompareRendezvous(key, m.Name, s.Self) < 0 {
			before++
		}
	}
	return min(before, probeSlots)
}

// quarantined reports whether the part is quarantined at this instance; s.mu must be held.
func (s *CrashSuspects) quarantined(p *crashPart) bool { return s.furtherCrashes(p) >= 0 }

// furtherCrashes returns the number of crashes since the one that put the part into quarantine; it is negative before.
func (s *CrashSuspects) furtherCrashes(p *crashPart) int {
	if s.begun.contains(p.Part) {
		return int(p.Crashes) - soundSuspectCrashes
	}
	if !s.heard.Load() {
		return int(p.Crashes) - 1
	}
	return int(p.Crashes) - suspectCrashes
}

// probePause returns the time from the last crash to the next probe, in milliseconds.
func (s *CrashSuspects) probePause(p *crashPart) clock.Millis {
	further := s.furtherCrashes(p)
	if s.begun.contains(p.Part) {
		if further <= 0 {
			return soundProbePause
		}
		further--
	}
	return clock.Millis(min(float64(firstProbePause)*math.Pow(probePauseFactor, float64(further)), float64(maxProbePause)))
}

func quarantineRefusal(c *request.Call, p *crashPart, wait clock.Millis) *request.Refusal {
	wait = jitter(c.Request.ID, max(minQuarantineRetryAfter, min(wait, maxQuarantineRetryAfter)))
	return request.Refuse(request.ReasonQuarantined, wait, "%d upstreams crashed under the part %s of the prompt", p.Crashes, p.id)
}

// Suspect returns the ID of a suspect part of the call's prompt, or "".
func (s *CrashSuspects) Suspect(c *request.Call) string {
	if s == nil || s.counted.Load() == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range sharedParts(c) {
		if p := s.parts[hashPart(part.ID)]; p != nil && s.quarantined(p) {
			return p.id
		}
	}
	return ""
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
	if s.counted.Load() > 0 {
		s.clear(w.call, parts)
	}
	for _, part := range parts {
		s.begun.add(hashPart(part.ID))
	}
}

func (s *CrashSuspects) clear(c *request.Call, parts []request.PromptPart) {
	now := s.Clock.Now()
	s.mu.Lock()
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
// part to which no answer has begun here, if it ended later than they did. Such parts alone are blamed if the prompt has any.
func (s *CrashSuspects) recordCrash(w *PromptWatch, upstream *catalogue.Upstream, now clock.Millis) bool {
	news := false
	parts := sharedParts(w.call)
	anyNew := s.anyUnproven(parts)
	for _, part := range parts {
		hash := hashPart(part.ID)
		sound := s.begun.contains(hash)
		if sound && anyNew {
			continue
		}
		p := s.part(hash, now)
		p.id = loggedID(part.ID)
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
	p.CrashEvidence, p.changedAt, p.untold = e, now, true
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

func keys(evidence []CrashEvidence) []string {
	out := make([]string, len(evidence))
	for i, e := range evidence {
		out[i] = e.key()
	}
	return out
}

func firstParts(parts []*crashPart, n int) []CrashEvidence {
	parts = parts[:min(n, len(parts))]
	evidence := make([]CrashEvidence, len(parts))
	for i, p := range parts {
		evidence[i] = p.CrashEvidence
	}
	return evidence
}

// AddOwn adds the suspect parts and those cleared lately to the items of a load report.
func (s *CrashSuspects) AddOwn(items map[string]float32) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	for _, e := range firstParts(s.byPriority(func(p *crashPart) bool {
		return p.suspect() || p.Crashes == 0 && p.wasSuspect && now-p.changedAt <= reportClearedFor
	}), maxReportedParts) {
		items[e.key()] = 1
	}
}

// ApplyPeers merges the evidence of other instances from the items of their load reports, which are nil when there are none.
func (s *CrashSuspects) ApplyPeers(items map[string]float32) {
	if items == nil {
		return
	}
	s.heard.Store(true)
	var evidence []CrashEvidence
	for key := range items {
		if e, ok := parseCrashEvidence(key); ok {
			evidence = append(evidence, e)
		}
	}
	if len(evidence) > 0 {
		s.merge(evidence)
	}
}

// News returns what is new since its last call, the most important first, as keys for other instances.
func (s *CrashSuspects) News() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	untold := s.byPriority(func(p *crashPart) bool { return p.untold })
	for _, p := range untold {
		p.untold = false
	}
	return keys(firstParts(untold, maxRumorParts))
}

// Hear merges the news of another instance, and returns what this instance knows better.
func (s *CrashSuspects) Hear(keys []string) (newer []string) {
	var evidence []CrashEvidence
	for _, key := range keys {
		if e, ok := parseCrashEvidence(key); ok {
			evidence = append(evidence, e)
		}
	}
	s.heard.Store(true)
	return s.merge(evidence)
}

// merge adds the evidence of another instance, and returns that of this instance which is newer.
func (s *CrashSuspects) merge(evidence []CrashEvidence) (newer []string) {
	now := s.Clock.Now()
	s.mu.Lock()
	news := false
	for _, e := range evidence[:min(len(evidence), maxCrashParts/2)] {
		e.Crashes = min(e.Crashes, maxCrashCount)
		if s.parts[e.Part] == nil && e == (CrashEvidence{Part: e.Part}) {
			continue
		}
		p := s.part(e.Part, now)
		switch c := e.compare(p.CrashEvidence); {
		case c > 0:
			s.set(p, e, now)
			news = true
			s.logSuspect(p, "peer")
		case c < 0 && len(newer) < maxRumorParts:
			newer = append(newer, p.key())
		}
	}
	s.mu.Unlock()
	s.notify(news)
	return newer
}

func (s *CrashSuspects) notify(news bool) {
	if news && s.OnNews != nil {
		s.OnNews()
	}
}

// Stats returns the counters.
func (s *CrashSuspects) Stats() CrashStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := CrashStats{Crashes: s.crashes.Load(), Probes: s.probes.Load(), Refused: s.refused.Load(), Cleared: s.cleared.Load()}
	for _, p := range s.parts {
		if s.quarantined(p) {
			stats.Quarantined++
		}
	}
	return stats
}

func loggedID(id string) string {
	if len(id) <= maxLoggedID {
		return id
	}
	return id[:maxLoggedID] + "..."
}
