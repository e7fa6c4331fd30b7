package dispatch

import (
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
	// servingWindow is the time within which an answer to a prompt must have begun here for a crash to tell of its prompt, in milliseconds.
	// outageProbePause and outageProbeFactor replace firstProbePause and probePauseFactor for crashes without that.
	servingWindow     = 3 * clock.Second
	outageProbePause  = 2 * clock.Second
	outageProbeFactor = 6
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
	// lastBegun is the monotonic time at which the last answer to a prompt began, in milliseconds; 0 before the first.
	lastBegun atomic.Int64

	mu    sync.Mutex
	parts map[uint64]*crashPart
	// lost are the last prompts that were lost with an upstream.
	lost lostPrompts
}

// CrashStats counts what CrashSuspects has seen and done since the start; Quarantined is the number of parts in quarantine now.
type CrashStats struct {
	Crashes, Probes, Refused, Cleared int64
	Quarantined                       int
}

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
	if s == nil || s.known.Load() == 0 || c.HeadWritten {
		// An answer that has begun before doesn't crash the upstream that goes on with it.
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
	if several && !p.inOutage {
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

// quarantined reports whether the part is quarantined at this instance; s.mu must be held. Where an answer to a prompt with it has begun
// before, prompts without it must be answered since the last crash: where nothing is, it is not the part that fails.
func (s *CrashSuspects) quarantined(p *crashPart) bool {
	return s.furtherCrashes(p) >= 0 && (p.othersBegun || !s.begun.contains(p.Part))
}

// furtherCrashes returns the number of crashes since the one that put the part into quarantine; it is negative before.
func (s *CrashSuspects) furtherCrashes(p *crashPart) int {
	if s.begun.contains(p.Part) {
		return int(p.Crashes) - soundSuspectCrashes
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
	first, factor := firstProbePause, float64(probePauseFactor)
	if p.inOutage {
		first, factor = outageProbePause, outageProbeFactor
	}
	return clock.Millis(min(float64(first)*math.Pow(factor, float64(further)), float64(maxProbePause)))
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
