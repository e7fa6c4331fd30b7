package reservation

import (
	"container/heap"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// KeyState is the state of one key according to the stream.
type KeyState struct {
	Claim  Claim
	Offset int64
	// ReadAt is the monotonic time at which this process read the claim.
	ReadAt clock.Millis
	// Released is true once the holder has released the claim; the next claim wins.
	Released bool
	// Done is nil while the outcome is unknown.
	Done *Done
}

// Table is the state machine built from the claims stream in offset order; it is deterministic and not safe for concurrent use.
type Table struct {
	// Skew bounds how far the clocks of callers may be ahead of the log's; MaxAge is how long a key is kept.
	Skew   clock.Millis
	MaxAge clock.Millis
	// MaxKeys bounds the number of keys, MaxAnswerBytes the total size of the answers kept with them.
	MaxKeys        int
	MaxAnswerBytes int

	keys   map[string]*KeyState
	byTime keyTimeHeap
	// answered has the keys whose answers are kept, oldest first; answerBytes is the total size of these answers.
	answered    []string
	answerBytes int
	// nextOffset is the offset after the last applied entry.
	nextOffset int64
	// logTime is the latest timestamp of an entry, a wall time; 0 before the first entry.
	logTime clock.Millis
	// minKeyTime is the wall time before which an unknown key may have been claimed.
	minKeyTime clock.Millis
	// gap is true after records were missed, until a later entry gives the time of the log.
	gap bool
}

// Apply applies one entry, read at the monotonic time readAt, and returns its record, which is empty for an entry already applied.
func (t *Table) Apply(e backoffice.Entry, readAt clock.Millis) *Record {
	if e.Offset < t.nextOffset {
		return &Record{}
	}
	if e.Offset > t.nextOffset {
		t.gap = true
	}
	t.nextOffset = e.Offset + 1
	t.logTime = max(t.logTime, e.At)
	if t.gap {
		t.closeGap()
	}
	r := decode(e.Data)
	switch {
	case r.Claim != nil:
		t.applyClaim(r.Claim, e, readAt)
	case r.Release != nil:
		t.applyRelease(r.Release)
	case r.Done != nil:
		t.SetOutcome(r.Done)
	}
	t.prune()
	return r
}

// SetLogRange sets the offsets that the log has, from oldest to before end; it detects records trimmed unread and a lost tail.
func (t *Table) SetLogRange(oldest, end int64) {
	if oldest > t.nextOffset {
		t.nextOffset, t.gap = oldest, true
	}
	if end < t.nextOffset {
		t.nextOffset, t.gap = end, true
	}
}

// HasGap reports whether records were missed and no later entry has been applied; until then no key is known to be unclaimed.
func (t *Table) HasGap() bool { return t.gap }

// Next returns the offset after the last applied entry.
func (t *Table) Next() int64 { return t.nextOffset }

// Len returns the number of keys kept.
func (t *Table) Len() int { return len(t.keys) }

// Covers reports whether the table has every claimed key with the timestamp keyAt, so that an unknown key is unclaimed.
func (t *Table) Covers(keyAt clock.Millis) bool { return !t.gap && keyAt >= t.minKeyTime }

// Lookup returns the state of the key, or nil if it is unknown.
func (t *Table) Lookup(key string) *KeyState { return t.keys[key] }

// closeGap raises minKeyTime past all missed claims: they were appended before the current log time, and the timestamp of
// a valid claim's key is at most Skew ahead of its entry.
func (t *Table) closeGap() {
	t.gap = false
	t.raiseMinKeyTime(t.logTime + t.Skew + 1)
}

func (t *Table) raiseMinKeyTime(minKeyTime clock.Millis) {
	t.minKeyTime = max(t.minKeyTime, minKeyTime)
}

func (t *Table) applyClaim(c *Claim, e backoffice.Entry, readAt clock.Millis) {
	if c.KeyAt > e.At+t.Skew || c.ID == "" || c.Key == "" {
		return
	}
	s := t.keys[c.Key]
	if s == nil {
		if c.KeyAt < t.minKeyTime {
			return
		}
		if t.keys == nil {
			t.keys = map[string]*KeyState{}
		}
		t.keys[c.Key] = &KeyState{Claim: *c, Offset: e.Offset, ReadAt: readAt}
		heap.Push(&t.byTime, timedKey{at: c.KeyAt, key: c.Key})
		return
	}
	if !s.Released || s.Claim.ID == c.ID {
		return
	}
	*s = KeyState{Claim: *c, Offset: e.Offset, ReadAt: readAt}
}

// applyRelease releases the key. A release that is not by the current holder, or comes after the outcome, is ignored.
func (t *Table) applyRelease(r *Release) {
	if s := t.keys[r.Key]; s != nil && s.Claim.ID == r.ID && s.Done == nil {
		s.Released = true
	}
}

// SetOutcome sets the outcome of the current claim, which its holder may do before the record is read back.
func (t *Table) SetOutcome(d *Done) {
	if s := t.keys[d.Key]; s != nil && s.Claim.ID == d.ID && !s.Released && s.Done == nil {
		s.Done = d
		t.retainAnswer(d)
	}
}

// retainAnswer accounts for a new answer and drops the oldest answers above MaxAnswerBytes. Their outcomes are kept.
func (t *Table) retainAnswer(d *Done) {
	if d.Answer == nil {
		return
	}
	t.answered = append(t.answered, d.Key)
	t.answerBytes += d.Answer.size()
	for t.answerBytes > t.MaxAnswerBytes && len(t.answered) > 0 {
		t.dropAnswer(t.keys[t.answered[0]])
		t.answered = t.answered[1:]
	}
}

func (t *Table) dropAnswer(s *KeyState) {
	if s == nil || s.Done == nil || s.Done.Answer == nil {
		return
	}
	t.answerBytes -= s.Done.Answer.size()
	withoutAnswer := *s.Done
	withoutAnswer.Answer = nil
	s.Done = &withoutAnswer
}

// prune drops keys older than MaxAge or beyond MaxKeys, and raises minKeyTime so that they can't be claimed again.
func (t *Table) prune() {
	for len(t.byTime) > 0 {
		oldest := t.byTime[0]
		if len(t.byTime) <= t.MaxKeys && oldest.at >= t.logTime-t.MaxAge {
			return
		}
		heap.Pop(&t.byTime)
		t.dropAnswer(t.keys[oldest.key])
		delete(t.keys, oldest.key)
		t.raiseMinKeyTime(oldest.at + 1)
	}
}

type timedKey struct {
	at  clock.Millis
	key string
}

// keyTimeHeap is a min-heap by key timestamp.
type keyTimeHeap []timedKey

func (h keyTimeHeap) Len() int           { return len(h) }
func (h keyTimeHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h keyTimeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a key; it is called by container/heap only.
func (h *keyTimeHeap) Push(x any) { *h = append(*h, x.(timedKey)) }

// Pop removes the last key of the slice; it is called by container/heap only.
func (h *keyTimeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
