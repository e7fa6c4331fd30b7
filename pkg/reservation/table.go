package reservation

import (
	"container/heap"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Slot is what the stream says of one key.
type Slot struct {
	Claim  Claim
	Offset int64
	// ReadAt is the monotonic time at which the claim was read here, in milliseconds.
	ReadAt clock.Millis
	// Released is true when the holder gave the claim back; the next claim wins.
	Released bool
	// Done is nil while the outcome is not known.
	Done *Done
}

// Table is the fold of the claims stream in offset order. It is pure: no locks, and time comes with the entries.
type Table struct {
	// Skew bounds how far clocks of callers may be ahead of the log's, MaxAge how long a key is kept; in milliseconds.
	Skew   clock.Millis
	MaxAge clock.Millis
	// MaxKeys bounds the keys that are kept, MaxAnswerBytes the answers kept with them.
	MaxKeys        int
	MaxAnswerBytes int

	slots map[string]*Slot
	byAge ageHeap
	// answered are the keys with a kept answer, oldest first, and answerBytes the sum of their sizes.
	answered    []string
	answerBytes int
	// next is the offset that follows the last one folded.
	next int64
	// logAt is the latest time the log has shown, in wall milliseconds; 0 before the first entry.
	logAt clock.Millis
	// floor is the key time below which keys can't be proved new.
	floor clock.Millis
	// gap is true while records were missed and no later entry has shown the log's time yet.
	gap bool
}

// Fold takes one entry and returns its record.
func (t *Table) Fold(e backoffice.Entry, readAt clock.Millis) *Record {
	if e.Offset < t.next {
		return &Record{}
	}
	if e.Offset > t.next {
		t.gap = true
	}
	t.next = e.Offset + 1
	t.logAt = max(t.logAt, e.At)
	if t.gap {
		t.closeGap()
	}
	r := decode(e.Data)
	switch {
	case r.Claim != nil:
		t.foldClaim(r.Claim, e, readAt)
	case r.Release != nil:
		t.foldRelease(r.Release)
	case r.Done != nil:
		t.Finish(r.Done)
	}
	t.prune()
	return r
}

// Skip tells which offsets the log has: records may have been trimmed unread, or the log may have lost its tail.
func (t *Table) Skip(oldest, end int64) {
	if oldest > t.next {
		t.next, t.gap = oldest, true
	}
	if end < t.next {
		t.next, t.gap = end, true
	}
}

// Missing tells whether a gap is not closed yet: no key can be proved new until an entry shows the log's time.
func (t *Table) Missing() bool { return t.gap }

// Next returns the offset that follows the last one folded.
func (t *Table) Next() int64 { return t.next }

// Len returns how many keys are kept.
func (t *Table) Len() int { return len(t.slots) }

// Provable tells whether a key of that time would be known had it ever been claimed.
func (t *Table) Provable(keyAt clock.Millis) bool { return !t.gap && keyAt >= t.floor }

// Slot returns what is known of the key, or nil.
func (t *Table) Slot(key string) *Slot { return t.slots[key] }

// closeGap raises the floor: what was missed was appended before the log's time now, and no valid claim's key is ahead
// of its entry by more than Skew.
func (t *Table) closeGap() {
	t.gap = false
	t.raise(t.logAt + t.Skew + 1)
}

func (t *Table) raise(floor clock.Millis) { t.floor = max(t.floor, floor) }

func (t *Table) foldClaim(c *Claim, e backoffice.Entry, readAt clock.Millis) {
	if c.KeyAt > e.At+t.Skew || c.ID == "" || c.Key == "" {
		return
	}
	s := t.slots[c.Key]
	if s == nil {
		if c.KeyAt < t.floor {
			return
		}
		if t.slots == nil {
			t.slots = map[string]*Slot{}
		}
		t.slots[c.Key] = &Slot{Claim: *c, Offset: e.Offset, ReadAt: readAt}
		heap.Push(&t.byAge, agedKey{at: c.KeyAt, key: c.Key})
		return
	}
	if !s.Released || s.Claim.ID == c.ID {
		return
	}
	*s = Slot{Claim: *c, Offset: e.Offset, ReadAt: readAt}
}

// foldRelease frees the key; a release by anyone but the holder of the claim in force, or after its outcome, is void.
func (t *Table) foldRelease(r *Release) {
	if s := t.slots[r.Key]; s != nil && s.Claim.ID == r.ID && s.Done == nil {
		s.Released = true
	}
}

// Finish records the outcome of the claim in force; its holder may do so before the record is read back.
func (t *Table) Finish(d *Done) {
	if s := t.slots[d.Key]; s != nil && s.Claim.ID == d.ID && !s.Released && s.Done == nil {
		s.Done = d
		t.keepAnswer(d)
	}
}

// keepAnswer bounds the answers by dropping the oldest ones; their outcomes stay.
func (t *Table) keepAnswer(d *Done) {
	if d.Answer == nil {
		return
	}
	t.answered = append(t.answered, d.Key)
	t.answerBytes += d.Answer.size()
	for t.answerBytes > t.MaxAnswerBytes && len(t.answered) > 0 {
		t.dropAnswer(t.slots[t.answered[0]])
		t.answered = t.answered[1:]
	}
}

func (t *Table) dropAnswer(s *Slot) {
	if s == nil || s.Done == nil || s.Done.Answer == nil {
		return
	}
	t.answerBytes -= s.Done.Answer.size()
	bare := *s.Done
	bare.Answer = nil
	s.Done = &bare
}

// prune drops keys that are too old or too many, and raises the floor so that they can't be claimed again.
func (t *Table) prune() {
	for len(t.byAge) > 0 {
		first := t.byAge[0]
		if len(t.byAge) <= t.MaxKeys && first.at >= t.logAt-t.MaxAge {
			return
		}
		heap.Pop(&t.byAge)
		t.dropAnswer(t.slots[first.key])
		delete(t.slots, first.key)
		t.raise(first.at + 1)
	}
}

type agedKey struct {
	at  clock.Millis
	key string
}

// ageHeap has the oldest key first.
type ageHeap []agedKey

func (h ageHeap) Len() int           { return len(h) }
func (h ageHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h ageHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a key.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(agedKey)) }

// Pop removes the last key.
func (h *ageHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
