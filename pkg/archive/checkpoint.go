package archive

import (
	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// checkpointPeriod is the age of the newest checkpoint at which the next is due; the log must retain records for longer.
	checkpointPeriod = 3600 * clock.Second
	// checkpointSpread is the time span over which the instances are staggered, so that few append at the same time.
	checkpointSpread = 600 * clock.Second
	// checkpointRecords is the number of records after which a checkpoint is due before its period ends.
	checkpointRecords = 512
	// urgentDivisor shortens the staggered delays when the log is about to trim the newest checkpoint.
	urgentDivisor = 300
)

// checkpointTracker keeps the offset of the newest checkpoint in the log and the monotonic time at which it was appended.
type checkpointTracker struct {
	offset      int64
	at          clock.Millis
	initialized bool
	// urgentSince is the time since when the newest checkpoint has been about to be trimmed; 0 when it is not.
	urgentSince clock.Millis
}

func (t *checkpointTracker) observe(c clock.Clock, b backoffice.Batch) {
	if !t.initialized {
		t.initialized = true
		t.at = c.Now()
		t.offset = b.Oldest
	}
	for _, e := range b.Entries {
		if e.Offset < t.offset || !catalogue.IsCheckpoint(e.Data) {
			continue
		}
		age := min(max(c.Wall()-e.At, 0), checkpointPeriod)
		t.offset = e.Offset
		t.at = c.Now() - age
		t.urgentSince = 0
	}
	// Whatever the log's retention, a checkpoint in the older half of the retained records will be trimmed before long.
	if t.urgentSince == 0 && b.Oldest > 0 && t.offset < b.Oldest+(b.End-b.Oldest)/2 {
		t.urgentSince = c.Now()
	}
}

// Checkpoint returns an encoded checkpoint if it is this instance's turn to append one, and reports whether it is.
func (c *ConfigReplica) Checkpoint() (record []byte, due bool) {
	s := c.State()
	if !c.complete || c.replaced || !c.checkpoints.initialized || s.Revision == 0 || c.highestSeen > s.Revision {
		return nil, false
	}
	now := c.Clock.Now()
	wait := checkpointPeriod + c.delay()
	if int64(s.Revision)-c.checkpoints.offset > checkpointRecords {
		wait = c.delay() / 10
	}
	urgent := c.checkpoints.urgentSince > 0 && now-c.checkpoints.urgentSince >= c.delay()/urgentDivisor
	if !urgent && now-c.checkpoints.at < wait {
		return nil, false
	}
	record, err := catalogue.EncodeCheckpoint(s)
	if err != nil {
		return nil, false
	}
	// After a failed append, the next periodic attempt waits for checkpointSpread and another delay, unless another
	// instance's checkpoint comes first.
	c.checkpoints.at = now - checkpointPeriod + checkpointSpread
	c.checkpoints.urgentSince = 0
	return record, true
}

// delay returns this instance's staggered delay below checkpointSpread; the order of the instances changes with each checkpoint.
func (c *ConfigReplica) delay() clock.Millis {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.Name)
	var b [8]byte
	for i := range b {
		b[i] = byte(c.checkpoints.offset >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return clock.Millis(d.Sum64() % uint64(checkpointSpread))
}
