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
	// scanOffset is the offset at which the search for a checkpoint continues; -1 when none is needed to replay further records.
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
func (c *ConfigReplica) State() *catalogue.State {
	if c.state == nil {
		c.state = catalogue.NewState()
		c.scanOffset = -1
	}
	return c.state
}

// ProvedAt returns the monotonic time in milliseconds at which the log last proved the state current; 0 means never.
func (c *ConfigReplica) ProvedAt() clock.Millis { return c.provedAt }

// Ready reports whether the state is complete: the log was read to its end, or enough members confirmed the revision.
// It is false until a peer was heard from or peerWait is over, so that a log that lost records is detected.
func (c *ConfigReplica) Ready() bool { return c.complete && c.heardOrTimedOut() }

// Empty reports whether the log has no records and no instance is known to have a revision.
func (c *ConfigReplica) Empty() bool {
	return c.started && c.empty && c.State().Revision == 0 && c.highestSeen == 0 && c.heardOrTimedOut()
}

// heardOrTimedOut reports whether a peer was heard from, or peerWait has passed without one.
func (c *ConfigReplica) heardOrTimedOut() bool {
	return c.heardPeer || c.started && c.Clock.Now()-c.startedAt >= peerWait
}

// ConfirmComplete records that enough other members have no higher revision than this instance.
func (c *ConfigReplica) ConfirmComplete() {
	if c.State().Revision > 0 && c.highestSeen <= c.state.Revision && c.scanOffset < 0 {
		c.complete = true
	}
}

// Replaced reports whether the log lost replayed records; its records are ignored until the lost ones are back.
func (c *ConfigReplica) Replaced() bool { return c.replaced }

// NeedsPeer reports whether records may be missing that only another instance can supply.
func (c *ConfigReplica) NeedsPeer() bool {
	return !c.complete || c.highestSeen > c.State().Revision
}

// Next returns the offset at which the next read must start.
func (c *ConfigReplica) Next() int64 {
	s := c.State()
	if c.scanOffset >= 0 {
		return c.scanOffset
	}
	if s.Last != 0 && (c.replaced || c.Clock.Now()-c.lastReadAt > verifyAfter) {
		return int64(s.Revision) - 1
	}
	return int64(s.Revision)
}

// HandleRead handles the batch or error of a read sent at the monotonic time sentAt, and returns that error or one of HandleBatch.
func (c *ConfigReplica) HandleRead(sentAt clock.Millis, b backoffice.Batch, err error) error {
	var trimmed *backoffice.TrimmedError
	var pastEnd *backoffice.PastEndError
	switch {
	case err == nil:
		return c.HandleBatch(sentAt, b)
	case errors.As(err, &trimmed):
		c.HandleTrimmed(trimmed)
	case errors.As(err, &pastEnd):
		c.HandlePastEnd(sentAt, pastEnd)
	}
	return err
}

// HandleBatch replays a batch read at the monotonic time sentAt; it fails with *GapError or *ReplacedError.
func (c *ConfigReplica) HandleBatch(sentAt clock.Millis, b backoffice.Batch) error {
	s := c.State()
	c.markStarted()
	if revision, at := c.highestKnown(); b.End < int64(revision) {
		if sentAt <= at {
			return nil
		}
		return c.markReplaced(b.End)
	}
	if c.replaced && !c.restored(b) {
		return &ReplacedError{Revision: s.Revision, End: b.End}
	}
	c.lastReadAt = c.Clock.Now()
	c.checkpoints.observe(c.Clock, b)
	if c.scanOffset >= 0 || b.Oldest > int64(s.Revision) {
		return c.searchCheckpoint(b)
	}
	return c.replay(sentAt, b)
}

// HandleTrimmed handles a read of trimmed records; unless the state already includes them, it becomes incomplete.
func (c *ConfigReplica) HandleTrimmed(e *backoffice.TrimmedError) {
	s := c.State()
	c.markStarted()
	if int64(s.Revision) >= e.Oldest && c.scanOffset < 0 {
		// Only the last replayed record is gone, which was read again for comparison.
		c.lastReadAt = c.Clock.Now()
		return
	}
	c.complete = false
	c.scanOffset = max(c.scanOffset, e.Oldest)
}

// HandlePastEnd handles a read sent at the monotonic time sentAt whose offset is above the end of the log.
func (c *ConfigReplica) HandlePastEnd(sentAt clock.Millis, e *backoffice.PastEndError) {
	c.State()
	if _, at := c.highestKnown(); sentAt > at {
		_ = c.markReplaced(e.End)
	}
}

// ObserveRevision records the revision of another instance.
func (c *ConfigReplica) ObserveRevision(r catalogue.Revision) {
	c.heardPeer = true
	if r > c.highestSeen {
		c.highestSeen = r
		c.highestSeenAt = c.Clock.Now()
	}
}

// AdoptPeerState adopts the state of another instance if its revision is higher.
func (c *ConfigReplica) AdoptPeerState(state *catalogue.State) {
	if state == nil || state.Revision <= c.State().Revision {
		return
	}
	c.ObserveRevision(state.Revision)
	c.adopt(state)
}

// ObserveProof records that, according to another instance, the log ended at the revision at the monotonic time at.
func (c *ConfigReplica) ObserveProof(r catalogue.Revision, at clock.Millis) {
	if c.complete && !c.replaced && c.State().Revision == r && c.highestSeen <= r {
		c.provedAt = max(c.provedAt, at)
	}
}

func (c *ConfigReplica) adopt(state *catalogue.State) {
	c.state = state
	c.scanOffset = -1
}

func (c *ConfigReplica) markStarted() {
	if !c.started {
		c.started = true
		c.startedAt = c.Clock.Now()
	}
}

// highestKnown returns the highest revision that any instance is known to have, and since when.
func (c *ConfigReplica) highestKnown() (catalogue.Revision, clock.Millis) {
	if c.highestSeen >= c.state.Revision {
		return c.highestSeen, c.highestSeenAt
	}
	return c.state.Revision, c.lastReadAt
}

// restored reports whether the batch has the last replayed record, which means that the original log is back.
func (c *ConfigReplica) restored(b backoffice.Batch) bool {
	for _, e := range b.Entries {
		if catalogue.Revision(e.Offset)+1 == c.state.Revision && xxhash.Sum64(e.Data) == c.state.Last {
			c.replaced = false
			return true
		}
	}
	return false
}

func (c *ConfigReplica) markReplaced(end int64) error {
	c.replaced = true
	return &ReplacedError{Revision: c.state.Revision, End: end}
}

// searchCheckpoint looks for a checkpoint from which the log still has all following records.
func (c *ConfigReplica) searchCheckpoint(b backoffice.Batch) error {
	c.complete = false
	c.scanOffset = max(c.scanOffset, b.Oldest)
	for _, e := range b.Entries {
		if e.Offset < c.scanOffset {
			continue
		}
		c.scanOffset = e.Offset + 1
		s := catalogue.DecodeCheckpoint(catalogue.Revision(e.Offset)+1, e.Data)
		if s != nil && int64(s.Revision) >= b.Oldest && s.Revision > c.state.Revision {
			c.adopt(s)
			return nil
		}
	}
	return nil
}

func (c *ConfigReplica) replay(sentAt clock.Millis, b backoffice.Batch) error {
	f := c.state.Folder()
	for _, e := range b.Entries {
		at := catalogue.Revision(e.Offset) + 1
		if at == c.state.Revision && c.state.Last != 0 && xxhash.Sum64(e.Data) != c.state.Last {
			return c.markReplaced(b.End)
		}
		if at > f.Revision()+1 {
			return &GapError{Want: int64(f.Revision()), Got: e.Offset}
		}
		f.FoldData(at, e.Data)
	}
	c.state = f.State()
	c.empty = b.End == 0
	if int64(c.state.Revision) != b.End || c.empty {
		return nil
	}
	c.complete = true
	if c.state.Revision >= c.highestSeen {
		c.provedAt = max(c.provedAt, sentAt)
	}
	return nil
}
