package reservation

import "carawayknot.example/carawayknot/pkg/clock"

// State is what a book knows, for the dump of a process.
type State struct {
	Ready bool
	// Keys counts the keys known, Undecided the claims of this process without a verdict, Owed the records that the log lacks.
	Keys      int
	Undecided int
	Owed      int
	// Next is the next offset to read, and ReadToEndAt the monotonic time as of which the stream was read to its end.
	Next        int64
	ReadToEndAt clock.Millis
	// OldestKeyAt is the key time below which keys are refused as too old, in wall milliseconds.
	OldestKeyAt clock.Millis
	AnswerBytes int
}

// State returns what the book knows.
func (b *Book) State() State {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{
		Ready:       b.ready(),
		Keys:        b.table.Len(),
		Undecided:   len(b.own),
		Owed:        b.outbox.Len(),
		Next:        b.table.Next(),
		ReadToEndAt: b.endAt,
		OldestKeyAt: b.table.floor,
		AnswerBytes: b.table.answerBytes,
	}
}
