package archive

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// verifyAfter is the pause between reads after which the last folded record is read again and compared, in milliseconds.
const verifyAfter = 5 * clock.Second

// peerWait is how long a fresh instance waits for news of another one, in milliseconds.
const peerWait = 2 * clock.Second

// Journal folds the configuration stream; it is used by one thread only.
type Journal struct {
	Clock clock.Clock
	// Name is the name of this instance, by which instances take turns in writing checkpoints.
	Name string

	state    *catalogue.State
	whole    bool
	replaced bool
	// scan is the offset at which the search for a checkpoint goes on; -1 when the state can be folded on.
	scan      int64
	started   bool
	startedAt clock.Millis
	empty     bool
	heard     bool
	provedAt  clock.Millis
	tookAt    clock.Millis
	highest   catalogue.Revision
	highestAt clock.Millis
	marks     checkpointMarks
}

// State returns the configuration, which is empty before anything was read.
func (j *Journal) State() *catalogue.State {
	if j.state == nil {
		j.state = catalogue.NewState()
		j.scan = -1
	}
	return j.state
}

// ProvedAt returns the monotonic time at which the log last proved the state to be current; 0 means never.
func (j *Journal) ProvedAt() clock.Millis { return j.provedAt }

// Ready tells whether the state is known to be whole: the log was read to its end, or enough members vouched for it.
// Before another member was heard of it waits for a moment, so that a log that lost its records is noticed.
func (j *Journal) Ready() bool { return j.whole && j.asked() }

// Empty tells whether the log has no record and no instance is known to have had one.
func (j *Journal) Empty() bool {
	return j.started && j.empty && j.State().Revision == 0 && j.highest == 0 && j.asked()
}

// asked tells whether another instance was heard of, or none is heard of at all.
func (j *Journal) asked() bool { return j.heard || j.started && j.Clock.Now()-j.startedAt >= peerWait }

// Vouch notes that enough other members hold no revision above the one held here.
func (j *Journal) Vouch() {
	if j.State().Revision > 0 && j.highest <= j.state.Revision && j.scan < 0 {
		j.whole = true
	}
}

// Replaced tells whether the log lost records that were folded; its records are not used until they are back.
func (j *Journal) Replaced() bool { return j.replaced }

// NeedsPeer tells whether only another instance can supply what is missing.
func (j *Journal) NeedsPeer() bool {
	return !j.whole || j.highest > j.State().Revision
}

// Next returns the offset at which the next read starts.
func (j *Journal) Next() int64 {
	s := j.State()
	if j.scan >= 0 {
		return j.scan
	}
	if s.Last != 0 && (j.replaced || j.Clock.Now()-j.tookAt > verifyAfter) {
		return int64(s.Revision) - 1
	}
	return int64(s.Revision)
}

// TakeRead takes what a read of the stream returned; sentAt is the monotonic time before it was sent.
// It returns the error of the read, or one of Take.
func (j *Journal) TakeRead(sentAt clock.Millis, b backoffice.Batch, err error) error {
	var trimmed *backoffice.TrimmedError
	var ahead *backoffice.AheadError
	switch {
	case err == nil:
		return j.Take(sentAt, b)
	case errors.As(err, &trimmed):
		j.TakeTrimmed(trimmed)
	case errors.As(err, &ahead):
		j.TakeAhead(sentAt, ahead)
	}
	return err
}

// Take folds a batch; sentAt is the monotonic time before the read was sent.
// Its errors are *GapError and *ReplacedError.
func (j *Journal) Take(sentAt clock.Millis, b backoffice.Batch) error {
	s := j.State()
	j.start()
	if known, at := j.known(); b.End < int64(known) {
		if sentAt <= at {
			return nil
		}
		return j.replace(b.End)
	}
	if j.replaced && !j.restored(b) {
		return &ReplacedError{Revision: s.Revision, End: b.End}
	}
	j.tookAt = j.Clock.Now()
	j.marks.take(j.Clock, b)
	if j.scan >= 0 || b.Oldest > int64(s.Revision) {
		return j.search(b)
	}
	return j.fold(sentAt, b)
}

// TakeTrimmed notes that the log dropped the records that were asked for; the state is no longer known to be current.
func (j *Journal) TakeTrimmed(e *backoffice.TrimmedError) {
	s := j.State()
	j.start()
	if int64(s.Revision) >= e.Oldest && j.scan < 0 {
		// Only the record before the next one is gone, which was to be compared.
		j.tookAt = j.Clock.Now()
		return
	}
	j.whole = false
	j.scan = max(j.scan, e.Oldest)
}

// TakeAhead notes that the log ends below the offset that was asked for, by a read sent at the monotonic time sentAt.
func (j *Journal) TakeAhead(sentAt clock.Millis, e *backoffice.AheadError) {
	j.State()
	if _, at := j.known(); sentAt > at {
		_ = j.replace(e.End)
	}
}

// TakeRevision notes that another instance holds a revision.
func (j *Journal) TakeRevision(r catalogue.Revision) {
	j.heard = true
	if r > j.highest {
		j.highest = r
		j.highestAt = j.Clock.Now()
	}
}

// TakePeer adopts the state of another instance when it has a higher revision.
func (j *Journal) TakePeer(state *catalogue.State) {
	if state == nil || state.Revision <= j.State().Revision {
		return
	}
	j.TakeRevision(state.Revision)
	j.adopt(state)
}

// TakeProof notes that another instance knows the log to have ended at the revision at the monotonic time at.
func (j *Journal) TakeProof(r catalogue.Revision, at clock.Millis) {
	if j.whole && !j.replaced && j.State().Revision == r && j.highest <= r {
		j.provedAt = max(j.provedAt, at)
	}
}

func (j *Journal) adopt(state *catalogue.State) {
	j.state = state
	j.scan = -1
}

func (j *Journal) start() {
	if !j.started {
		j.started = true
		j.startedAt = j.Clock.Now()
	}
}

// known returns the highest revision that any instance is known to hold, and since when.
func (j *Journal) known() (catalogue.Revision, clock.Millis) {
	if j.highest >= j.state.Revision {
		return j.highest, j.highestAt
	}
	return j.state.Revision, j.tookAt
}

// restored tells whether the batch has the last record that was folded, so that the log is the old one again.
func (j *Journal) restored(b backoffice.Batch) bool {
	for _, e := range b.Entries {
		if catalogue.Revision(e.Offset)+1 == j.state.Revision && xxhash.Sum64(e.Data) == j.state.Last {
			j.replaced = false
			return true
		}
	}
	return false
}

func (j *Journal) replace(end int64) error {
	j.replaced = true
	return &ReplacedError{Revision: j.state.Revision, End: end}
}

// search looks for a checkpoint whose following records the log still has.
func (j *Journal) search(b backoffice.Batch) error {
	j.whole = false
	j.scan = max(j.scan, b.Oldest)
	for _, e := range b.Entries {
		if e.Offset < j.scan {
			continue
		}
		j.scan = e.Offset + 1
		s := catalogue.DecodeCheckpoint(catalogue.Revision(e.Offset)+1, e.Data)
		if s != nil && int64(s.Revision) >= b.Oldest && s.Revision > j.state.Revision {
			j.adopt(s)
			return nil
		}
	}
	return nil
}

func (j *Journal) fold(sentAt clock.Millis, b backoffice.Batch) error {
	f := j.state.Folder()
	for _, e := range b.Entries {
		at := catalogue.Revision(e.Offset) + 1
		if at == j.state.Revision && j.state.Last != 0 && xxhash.Sum64(e.Data) != j.state.Last {
			return j.replace(b.End)
		}
		if at > f.Revision()+1 {
			return &GapError{Want: int64(f.Revision()), Got: e.Offset}
		}
		f.FoldData(at, e.Data)
	}
	j.state = f.State()
	j.empty = b.End == 0
	if int64(j.state.Revision) != b.End || j.empty {
		return nil
	}
	j.whole = true
	if j.state.Revision >= j.highest {
		j.provedAt = max(j.provedAt, sentAt)
	}
	return nil
}
