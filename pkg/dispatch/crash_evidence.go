package dispatch

import (
	"cmp"
	"strconv"
	"strings"
)

// CrashSubject is what upstreams may crash under: a request, whenever it comes again, or a part that prompts share.
type CrashSubject struct {
	// Request is true for the fingerprint of a request, and false for the hash of a part's ID.
	Request bool
	Hash    uint64
}

// String returns the hash and what it is of.
func (s CrashSubject) String() string {
	if s.Request {
		return "request " + strconv.FormatUint(s.Hash, 36)
	}
	return "part " + strconv.FormatUint(s.Hash, 36)
}

// CrashEvidence counts the upstreams that crashed one after the other under a subject. Of two reports on a subject the newer one
// holds: an answer that begins clears the subject by a new generation, and within a generation the larger count is newer.
type CrashEvidence struct {
	Subject    CrashSubject
	Generation uint32
	Crashes    uint8
	// OneRequest is true if all crashes under a part were under one request that has it.
	OneRequest bool
}

// maxCrashCount bounds CrashEvidence.Crashes.
const maxCrashCount = 16

// The prefixes of the keys under which instances exchange evidence beside their load reports: on parts, on parts all of whose crashes were
// under one request, and on requests.
const (
	crashEvidenceKey      = "crash "
	oneRequestEvidenceKey = "crash-one "
	requestEvidenceKey    = "crash-request "
)

// merge returns what two reports on a subject say together.
func (e CrashEvidence) merge(other CrashEvidence) CrashEvidence {
	switch c := cmp.Or(cmp.Compare(e.Generation, other.Generation), cmp.Compare(min(e.Crashes, 1), min(other.Crashes, 1))); {
	case c > 0:
		return e
	case c < 0:
		return other
	}
	e.Crashes, e.OneRequest = max(e.Crashes, other.Crashes), e.OneRequest && other.OneRequest
	return e
}

func (e CrashEvidence) suspect() bool { return e.Crashes >= suspectCrashes && !e.OneRequest }

// key encodes the evidence as a key; the presence of the key alone carries it.
func (e CrashEvidence) key() string {
	prefix := crashEvidenceKey
	switch {
	case e.Subject.Request:
		prefix = requestEvidenceKey
	case e.OneRequest:
		prefix = oneRequestEvidenceKey
	}
	return prefix + strconv.FormatUint(e.Subject.Hash, 36) + " " + strconv.FormatUint(uint64(e.Generation), 36) + " " +
		strconv.FormatUint(uint64(e.Crashes), 36)
}

// parseCrashEvidence decodes a key; ok is false for all other keys.
func parseCrashEvidence(key string) (e CrashEvidence, ok bool) {
	fields := strings.Split(key, " ")
	if len(fields) != 4 {
		return e, false
	}
	switch fields[0] + " " {
	case crashEvidenceKey:
	case oneRequestEvidenceKey:
		e.OneRequest = true
	case requestEvidenceKey:
		e.Subject.Request = true
	default:
		return e, false
	}
	hash, err1 := strconv.ParseUint(fields[1], 36, 64)
	generation, err2 := strconv.ParseUint(fields[2], 36, 32)
	crashes, err3 := strconv.ParseUint(fields[3], 36, 8)
	if err1 != nil || err2 != nil || err3 != nil {
		return e, false
	}
	e.Subject.Hash, e.Generation, e.Crashes = hash, uint32(generation), uint8(crashes)
	return e, true
}
