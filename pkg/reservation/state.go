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
func (co *Coordinator) State() State {
	co.init()
	co.mu.Lock()
	defer co.mu.Unlock()
	return State{
		Ready:       co.ready(),
		Keys:        co.table.Len(),
		Undecided:   len(co.pending),
		Owed:        co.outbox.Len(),
		Next:        co.table.Next(),
		ReadToEndAt: co.caughtUpAt,
		OldestKeyAt: co.table.minKeyTime,
		AnswerBytes: co.table.answerBytes,
	}
}
