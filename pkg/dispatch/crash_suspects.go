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
	// suspectCrashes is the number of upstreams that crash one after the other under a subject until it is quarantined, and
	// soundSuspectCrashes the same for one to which answers have begun before.
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
	// requestProbePause is the same for a request, which may have been in bad company twice.
	requestProbePause clock.Millis = 600
	// firstProbePause is the time from the quarantine to the first probe of any other part, and to the second one of a request, in
	// milliseconds; it grows by probePauseFactor with each further crash up to maxProbePause.
	firstProbePause  = 30 * clock.Second
	probePauseFactor = 16
	maxProbePause    = 48 * 3600 * clock.Second
	// probeSlot is the least time between the probes of two instances, in milliseconds: one crashes an upstream and is known to all
	// within it. A long pause is divided into probeSlots slots. requestProbeSlot is the same for the first probe of a request.
	probeSlot                     = clock.Second / 2
	requestProbeSlot              = clock.Second / 5
	probeSlots       clock.Millis = 16
	// severalSuspectsFactor extends the pause for calls with several suspect subjects: those with one of them tell which it is.
	severalSuspectsFactor = 6
	// crashTTL is how long a single crash counts, clearedTTL how long the clearing of a part is remembered, and suspectTTL how long a
	// suspect subject is, all in milliseconds and since the last news.
	crashTTL   = 600 * clock.Second
	clearedTTL = 60 * clock.Second
	suspectTTL = maxProbePause + 24*3600*clock.Second
	// maxCrashSubjects bounds the subjects that an instance remembers.
	maxCrashSubjects = 512
	// maxReportedSubjects bounds the subjects in one load report, maxRumorSubjects those in one rumor.
	maxReportedSubjects = 5
	maxRumorSubjects    = 16
	// keptCrashes is the number of crashes from which on the evidence on a subject is kept in the store, and maxKeptSubjects bounds those.
	keptCrashes     = 3
	maxKeptSubjects = 32
	// reportClearedFor is how long load reports carry a cleared subject, in milliseconds.
	reportClearedFor = 10 * clock.Second
	// maxLoggedID bounds the part IDs in logs and refusals, in bytes.
	maxLoggedID = 48
	// minQuarantineRetryAfter and maxQuarantineRetryAfter bound the Retry-After of quarantined requests, in milliseconds.
	minQuarantineRetryAfter = 2 * clock.Second
	maxQuarantineRetryAfter = 300 * clock.Second
)

// CrashSuspects quarantines requests under which upstreams crash whenever they come again, and parts that crashing prompts share. After the
// second upstream in a row that ended before an answer began, such requests are refused, except for single probes after growing pauses. An
// answer that begins clears its request and its parts. All instances exchange the evidence. It is safe for concurrent use; a nil CrashSuspects admits everything.
type CrashSuspects struct {
	Clock clock.Clock
	Log   logr.Logger
	// Self is the name of this instance, and Members returns all instances, which probe in turn; Members may be nil.
	Self    string
	Members func() []catalogue.Member
	// OnNews, if set, is called when News has something to tell, and OnOwnNews when this instance has met it itself.
	OnNews, OnOwnNews func()

	crashes, probes, refused, cleared atomic.Int64
	// known is the number of subjects, and counted that of subjects with crashes, so that requests take no lock while there are none.
	known, counted atomic.Int64

	// begun has the parts of prompts to which answers have begun here, answered the requests.
	begun, answered begunSet
	// lastBegun is the monotonic time at which the last answer to a prompt began, in milliseconds; 0 before the first.
	lastBegun atomic.Int64

	mu       sync.Mutex
	subjects map[CrashSubject]*crashSubject
	// lost are the last prompts that were lost with an upstream.
	lost lostPrompts
}

// CrashStats counts what CrashSuspects has seen and done since the start; Quarantined and QuarantinedRequests are the numbers of parts and
// of requests in quarantine now.
type CrashStats struct {
	Crashes, Probes, Refused, Cleared int64
	Quarantined, QuarantinedRequests  int
}

// sharedParts returns the parts of the call's prompt but the last, which no other request has.
func sharedParts(c *request.Call) []request.PromptPart {
	if c.Request.Prompt == nil || len(c.Request.Prompt.Parts) == 0 {
		return nil
	}
	parts := c.Request.Prompt.Parts
	return parts[:len(parts)-1]
}

// requestSubject returns the subject of the call's request.
func requestSubject(c *request.Call) CrashSubject {
	return CrashSubject{Request: true, Hash: c.Request.Fingerprint()}
}

// subjectsOf returns what an upstream may crash under when it runs the call.
func subjectsOf(c *request.Call) []CrashSubject {
	subjects := []CrashSubject{requestSubject(c)}
	for _, part := range sharedParts(c) {
		subjects = append(subjects, partSubject(part.ID))
	}
	return subjects
}

// Admit starts the watch of an attempt of the call. It returns a refusal if the request or a part of its prompt is quarantined, unless the
// attempt is a probe.
func (s *CrashSuspects) Admit(w *SuspectWatch, c *request.Call) *request.Refusal {
	w.suspects, w.call = s, c
	if s == nil || s.known.Load() == 0 || c.HeadWritten {
		// An answer that has begun before doesn't crash the upstream that goes on with it.
		return nil
	}
	now, keys, parts := s.Clock.Now(), subjectsOf(c), sharedParts(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*crashSubject
	for i, key := range keys {
		p := s.subjects[key]
		if p == nil {
			continue
		}
		if key.Request {
			p.answered = p.answered || s.answered.contains(localHash(c.Request))
		} else {
			p.id = loggedID(parts[i-1].ID)
		}
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
		w.probing = append(w.probing, p.Subject)
		s.Log.Info("probing what is quarantined", "request", c.Request.ID, "subject", p.describe(), "crashes", p.Crashes)
	}
	return nil
}

// untilProbe returns the time until this instance may probe the subject; s.mu must be held.
func (s *CrashSuspects) untilProbe(p *crashSubject, several bool, now clock.Millis) clock.Millis {
	pause := s.probePause(p)
	wait := pause
	if several && !p.inOutage {
		wait *= severalSuspectsFactor
	}
	slot := probeSlot
	if p.Subject.Request && pause == requestProbePause {
		slot = requestProbeSlot
	}
	wait += s.rank(p)*max(slot, pause/probeSlots) + p.changedAt - now
	if p.probing {
		wait = max(wait, probeSlot)
	}
	return wait
}

// rank returns the place of this instance in the order in which instances probe a subject; it is another one after each crash.
func (s *CrashSuspects) rank(p *crashSubject) clock.Millis {
	if s.Members == nil {
		return 0
	}
	key := strconv.FormatUint(p.Subject.Hash, 36) + " " + strconv.Itoa(int(p.Crashes))
	var before clock.Millis
	for _, m := range s.Members() {
		if m.Name != s.Self && request.CompareRendezvous(key, m.Name, s.Self) < 0 {
			before++
		}
	}
	return min(before, probeSlots)
}

// quarantined reports whether the subject is quarantined at this instance; s.mu must be held. Where an answer to a prompt with a part has
// begun before, prompts without it must be answered since the last crash: where nothing is, it is not the part that fails.
func (s *CrashSuspects) quarantined(p *crashSubject) bool {
	return s.furtherCrashes(p) >= 0 && (p.Subject.Request || p.othersBegun || !s.wasSound(p))
}

// wasSound reports whether answers to a request, or to prompts with a part, have begun here before.
func (s *CrashSuspects) wasSound(p *crashSubject) bool {
	if p.Subject.Request {
		return p.answered
	}
	return s.begun.contains(p.Subject.Hash)
}

// furtherCrashes returns the number of crashes since the one that put the subject into quarantine; it is negative before.
func (s *CrashSuspects) furtherCrashes(p *crashSubject) int {
	if p.OneRequest {
		return -1
	}
	if s.wasSound(p) {
		return int(p.Crashes) - soundSuspectCrashes
	}
	return int(p.Crashes) - suspectCrashes
}

// probePause returns the time from the last crash to the next probe, in milliseconds.
func (s *CrashSuspects) probePause(p *crashSubject) clock.Millis {
	further := s.furtherCrashes(p)
	if soon := s.soonProbePause(p); soon > 0 {
		if further <= 0 {
			return soon
		}
		further--
	}
	first, factor := firstProbePause, float64(probePauseFactor)
	if p.inOutage && !p.Subject.Request {
		first, factor = outageProbePause, outageProbeFactor
	}
	return clock.Millis(min(float64(first)*math.Pow(factor, float64(further)), float64(maxProbePause)))
}

// soonProbePause returns the time to the first probe of a subject that may have been in bad company, in milliseconds; 0 for all others.
func (s *CrashSuspects) soonProbePause(p *crashSubject) clock.Millis {
	switch {
	case p.Subject.Request:
		return requestProbePause
	case s.wasSound(p):
		return soundProbePause
	}
	return 0
}

func quarantineRefusal(c *request.Call, p *crashSubject, wait clock.Millis) *request.Refusal {
	wait = jitter(c.Request.ID, max(minQuarantineRetryAfter, min(wait, maxQuarantineRetryAfter)))
	return request.Refuse(request.ReasonQuarantined, wait, "%d upstreams crashed under the %s", p.Crashes, p.describe())
}

// Suspect returns what is quarantined of the call, its request or a part of its prompt, or "".
func (s *CrashSuspects) Suspect(c *request.Call) string {
	if s == nil || s.counted.Load() == 0 {
		return ""
	}
	keys := subjectsOf(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if p := s.subjects[key]; p != nil && s.quarantined(p) {
			return p.describe()
		}
	}
	return ""
}

// Stats returns the counters.
func (s *CrashSuspects) Stats() CrashStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := CrashStats{Crashes: s.crashes.Load(), Probes: s.probes.Load(), Refused: s.refused.Load(), Cleared: s.cleared.Load()}
	for _, p := range s.subjects {
		switch {
		case !s.quarantined(p):
		case p.Subject.Request:
			stats.QuarantinedRequests++
		default:
			stats.Quarantined++
		}
	}
	return stats
}
