package reservation

import "carawayknot.example/carawayknot/pkg/clock"

// State is a snapshot of the state of a Coordinator for diagnostics.
type State struct {
	Ready bool
	// Keys is the number of known keys, Undecided that of the undecided claims of this process, and Owed that of the records
	// not in the log yet.
	Keys      int
	Undecided int
	Owed      int
	// Next is the next offset to read; ReadToEndAt is the monotonic time as of which the stream was last read to its end.
	Next        int64
	ReadToEndAt clock.Millis
	// OldestKeyAt is the wall time in milliseconds before which new keys are refused as too old.
	OldestKeyAt clock.Millis
	AnswerBytes int
}

// State returns a snapshot of counts and stream positions.
func (b *Coordinator) State() State {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{
		Ready:       b.ready(),
		Keys:        b.table.Len(),
		Undecided:   len(b.pending),
		Owed:        b.outbox.Len(),
		Next:        b.table.Next(),
		ReadToEndAt: b.caughtUpAt,
		OldestKeyAt: b.table.minKeyTime,
		AnswerBytes: b.table.answerBytes,
	}
}
