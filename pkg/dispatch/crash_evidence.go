package dispatch

import (
	"cmp"
	"strconv"
	"strings"
)

// CrashEvidence counts the upstreams that crashed one after the other under a part of prompts. Of two reports on a part the newer one
// holds: an answer that begins clears the part by a new generation, and within a generation the larger count is newer.
type CrashEvidence struct {
	// Part is the hash of the part's ID.
	Part       uint64
	Generation uint32
	Crashes    uint8
}

// maxCrashCount bounds CrashEvidence.Crashes.
const maxCrashCount = 16

// crashEvidenceKey is the prefix of the keys under which instances exchange evidence beside their load reports.
const crashEvidenceKey = "crash "

func (e CrashEvidence) compare(other CrashEvidence) int {
	return cmp.Or(cmp.Compare(e.Generation, other.Generation), cmp.Compare(e.Crashes, other.Crashes))
}

func (e CrashEvidence) suspect() bool { return e.Crashes >= suspectCrashes }

// key encodes the evidence as a key; the presence of the key alone carries it.
func (e CrashEvidence) key() string {
	return crashEvidenceKey + strconv.FormatUint(e.Part, 36) + " " + strconv.FormatUint(uint64(e.Generation), 36) + " " +
		strconv.FormatUint(uint64(e.Crashes), 36)
}

// parseCrashEvidence decodes a key; ok is false for all other keys.
func parseCrashEvidence(key string) (e CrashEvidence, ok bool) {
	rest, ok := strings.CutPrefix(key, crashEvidenceKey)
	if !ok {
		return e, false
	}
	fields := strings.Split(rest, " ")
	if len(fields) != 3 {
		return e, false
	}
	part, err1 := strconv.ParseUint(fields[0], 36, 64)
	generation, err2 := strconv.ParseUint(fields[1], 36, 32)
	crashes, err3 := strconv.ParseUint(fields[2], 36, 8)
	if err1 != nil || err2 != nil || err3 != nil {
		return e, false
	}
	return CrashEvidence{Part: part, Generation: uint32(generation), Crashes: uint8(crashes)}, true
}
