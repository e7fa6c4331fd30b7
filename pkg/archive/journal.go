package archive

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// verifyAfter is the time without a read after which the last replayed record is read again and compared, so that a log
// that was replaced in the meantime is detected.
const verifyAfter = 5 * clock.Second

// peerWait is how long a new instance waits to hear from a peer.
const peerWait = 2 * clock.Second

// ConfigReplica replays the configuration stream into a state; it is not safe for concurrent use.
type ConfigReplica struct {
	Clock clock.Clock
	// Name is the name of this instance; it determines when this instance appends a checkpoint.
	Name string

	state *catalogue.State
	// complete is true once the state is known to contain all records of the log.
	complete bool
	replaced bool
	// scanOffset is the offset at which the search for a checkpoint continues; -1 when the state can be replayed from.
	scanOffset    int64
	started       bool
	startedAt     clock.Millis
	empty         bool
	heardPeer     bool
	provedAt      clock.Millis
	lastReadAt    clock.Millis
	highestSeen   catalogue.Revision
	highestSeenAt clock.Millis
	checkpoints   checkpointTracker
}

// State returns the configuration, which is empty before the first read.
func (j *ConfigReplica) State() *catalogue.State {
	if j.state == nil {
		j.state = catalogue.NewState()
		j.scanOffset = -1
	}
	return j.state
}

// ProvedAt returns the monotonic time in milliseconds at which the log last proved the state current; 0 means never.
func (j *ConfigReplica) ProvedAt() clock.Millis { return j.provedAt }

// Ready reports whether the state is complete: the log was read to its end, or enough members confirmed the revision.
// It is false until a peer was heard from or peerWait is over, so that a log that lost records is detected.
func (j *ConfigReplica) Ready() bool { return j.complete && j.heardOrTimedOut() }

// Empty reports whether the log has no records and no instance is known to have a revision.
func (j *ConfigReplica) Empty() bool {
	return j.started && j.empty && j.State().Revision == 0 && j.highestSeen == 0 && j.heardOrTimedOut()
}

// heardOrTimedOut reports whether a peer was heard from, or peerWait has passed without one.
func (j *ConfigReplica) heardOrTimedOut() bool {
	return j.heardPeer || j.started && j.Clock.Now()-j.startedAt >= peerWait
}

// ConfirmComplete records that enough other members have no higher revision than this instance.
func (j *ConfigReplica) ConfirmComplete() {
	if j.State().Revision > 0 && j.highestSeen <= j.state.Revision && j.scanOffset < 0 {
		j.complete = true
	}
}

// Replaced reports whether the log lost replayed records; its records are ignored until the lost ones are back.
func (j *ConfigReplica) Replaced() bool { return j.replaced }

// NeedsPeer reports whether records may be missing that only another instance can supply.
func (j *ConfigReplica) NeedsPeer() bool {
	return !j.complete || j.highestSeen > j.State().Revision
}

// Next returns the offset at which the next read must start.
func (j *ConfigReplica) Next() int64 {
	s := j.State()
	if j.scanOffset >= 0 {
		return j.scanOffset
	}
	if s.Last != 0 && (j.replaced || j.Clock.Now()-j.lastReadAt > verifyAfter) {
		return int64(s.Revision) - 1
	}
	return int64(s.Revision)
}

// HandleRead handles the batch or error of a read sent at the monotonic time sentAt, and returns that error or one of HandleBatch.
func (j *ConfigReplica) HandleRead(sentAt clock.Millis, b backoffice.Batch, err error) error {
	var trimmed *backoffice.TrimmedError
	var ahead *backoffice.PastEndError
	switch {
	case err == nil:
		return j.HandleBatch(sentAt, b)
	case errors.As(err, &trimmed):
		j.HandleTrimmed(trimmed)
	case errors.As(err, &ahead):
		j.HandleAhead(sentAt, ahead)
	}
	return err
}

// HandleBatch replays a batch read at the monotonic time sentAt; it fails with *GapError or *ReplacedError.
func (j *ConfigReplica) HandleBatch(sentAt clock.Millis, b backoffice.Batch) error {
	s := j.State()
	j.markStarted()
	if revision, at := j.highestKnown(); b.End < int64(revision) {
		if sentAt <= at {
			return nil
		}
		return j.markReplaced(b.End)
	}
	if j.replaced && !j.restored(b) {
		return &ReplacedError{Revision: s.Revision, End: b.End}
	}
	j.lastReadAt = j.Clock.Now()
	j.checkpoints.observe(j.Clock, b)
	if j.scanOffset >= 0 || b.Oldest > int64(s.Revision) {
		return j.searchCheckpoint(b)
	}
	return j.replay(sentAt, b)
}

// HandleTrimmed handles a read of trimmed records; unless the state already includes them, it becomes incomplete.
func (j *ConfigReplica) HandleTrimmed(e *backoffice.TrimmedError) {
	s := j.State()
	j.markStarted()
	if int64(s.Revision) >= e.Oldest && j.scanOffset < 0 {
		// Only the last replayed record is gone, which was read again for comparison.
		j.lastReadAt = j.Clock.Now()
		return
	}
	j.complete = false
	j.scanOffset = max(j.scanOffset, e.Oldest)
}

// HandleAhead handles a read at the monotonic time sentAt whose offset is above the end of the log.
func (j *ConfigReplica) HandleAhead(sentAt clock.Millis, e *backoffice.PastEndError) {
	j.State()
	if _, at := j.highestKnown(); sentAt > at {
		_ = j.markReplaced(e.End)
	}
}

// ObserveRevision records the revision of another instance.
func (j *ConfigReplica) ObserveRevision(r catalogue.Revision) {
	j.heardPeer = true
	if r > j.highestSeen {
		j.highestSeen = r
		j.highestSeenAt = j.Clock.Now()
	}
}

// AdoptPeerState adopts the state of another instance if its revision is higher.
func (j *ConfigReplica) AdoptPeerState(state *catalogue.State) {
	if state == nil || state.Revision <= j.State().Revision {
		return
	}
	j.ObserveRevision(state.Revision)
	j.adopt(state)
}

// ObserveProof records that, according to another instance, the log ended at the revision at the monotonic time at.
func (j *ConfigReplica) ObserveProof(r catalogue.Revision, at clock.Millis) {
	if j.complete && !j.replaced && j.State().Revision == r && j.highestSeen <= r {
		j.provedAt = max(j.provedAt, at)
	}
}

func (j *ConfigReplica) adopt(state *catalogue.State) {
	j.state = state
	j.scanOffset = -1
}

func (j *ConfigReplica) markStarted() {
	if !j.started {
		j.started = true
		j.startedAt = j.Clock.Now()
	}
}

// highestKnown returns the highest revision that any instance is known to have, and since when.
func (j *ConfigReplica) highestKnown() (catalogue.Revision, clock.Millis) {
	if j.highestSeen >= j.state.Revision {
		return j.highestSeen, j.highestSeenAt
	}
	return j.state.Revision, j.lastReadAt
}

// restored reports whether the batch has the last replayed record, which means that the original log is back.
func (j *ConfigReplica) restored(b backoffice.Batch) bool {
	for _, e := range b.Entries {
		if catalogue.Revision(e.Offset)+1 == j.state.Revision && xxhash.Sum64(e.Data) == j.state.Last {
			j.replaced = false
			return true
		}
	}
	return false
}

func (j *ConfigReplica) markReplaced(end int64) error {
	j.replaced = true
	return &ReplacedError{Revision: j.state.Revision, End: end}
}

// searchCheckpoint looks for a checkpoint from which the log still has all following records.
func (j *ConfigReplica) searchCheckpoint(b backoffice.Batch) error {
	j.complete = false
	j.scanOffset = max(j.scanOffset, b.Oldest)
	for _, e := range b.Entries {
		if e.Offset < j.scanOffset {
			continue
		}
		j.scanOffset = e.Offset + 1
		s := catalogue.DecodeCheckpoint(catalogue.Revision(e.Offset)+1, e.Data)
		if s != nil && int64(s.Revision) >= b.Oldest && s.Revision > j.state.Revision {
			j.adopt(s)
			return nil
		}
	}
	return nil
}

func (j *ConfigReplica) replay(sentAt clock.Millis, b backoffice.Batch) error {
	f := j.state.Folder()
	for _, e := range b.Entries {
		at := catalogue.Revision(e.Offset) + 1
		if at == j.state.Revision && j.state.Last != 0 && xxhash.Sum64(e.Data) != j.state.Last {
			return j.markReplaced(b.End)
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
	j.complete = true
	if j.state.Revision >= j.highestSeen {
		j.provedAt = max(j.provedAt, sentAt)
	}
	return nil
}
