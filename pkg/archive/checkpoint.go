package archive

import (
	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// checkpointPeriod is the age of the newest checkpoint at which another one is due; the log must keep records for longer.
	checkpointPeriod = 3600 * clock.Second
	// checkpointSpread is the span over which instances take turns, in milliseconds.
	checkpointSpread = 600 * clock.Second
	// checkpointRecords is the number of records after which a checkpoint is due early.
	checkpointRecords = 512
	// lateDivisor shortens the turns when the log is about to drop the newest checkpoint.
	lateDivisor = 300
)

// checkpointMarks tells where and when the newest checkpoint was seen.
type checkpointMarks struct {
	offset int64
	at     clock.Millis
	seen   bool
	// lateAt is the time from which on the log was about to drop the newest checkpoint; 0 when it is not.
	lateAt clock.Millis
}

func (m *checkpointMarks) take(c clock.Clock, b backoffice.Batch) {
	if !m.seen {
		m.seen = true
		m.at = c.Now()
		m.offset = b.Oldest
	}
	for _, e := range b.Entries {
		if e.Offset < m.offset || !catalogue.IsCheckpoint(e.Data) {
			continue
		}
		age := min(max(c.Wall()-e.At, 0), checkpointPeriod)
		m.offset = e.Offset
		m.at = c.Now() - age
		m.lateAt = 0
	}
	// Whatever the log's retention is, a checkpoint in the older half of what it keeps will be dropped before long.
	if m.lateAt == 0 && b.Oldest > 0 && m.offset < b.Oldest+(b.End-b.Oldest)/2 {
		m.lateAt = c.Now()
	}
}

// Checkpoint returns the record of a checkpoint when it is this instance's turn to append one.
func (j *Journal) Checkpoint() (record []byte, due bool) {
	s := j.State()
	if !j.whole || j.replaced || !j.marks.seen || s.Revision == 0 || j.highest > s.Revision {
		return nil, false
	}
	now := j.Clock.Now()
	wait := checkpointPeriod + j.turn()
	if int64(s.Revision)-j.marks.offset > checkpointRecords {
		wait = j.turn() / 10
	}
	late := j.marks.lateAt > 0 && now-j.marks.lateAt >= j.turn()/lateDivisor
	if !late && now-j.marks.at < wait {
		return nil, false
	}
	record, err := catalogue.EncodeCheckpoint(s)
	if err != nil {
		return nil, false
	}
	// The next try waits for a whole period when the append fails, unless another instance's checkpoint comes first.
	j.marks.at = now - checkpointPeriod + checkpointSpread
	j.marks.lateAt = 0
	return record, true
}

// turn spreads the instances over checkpointSpread, in another order after each checkpoint.
func (j *Journal) turn() clock.Millis {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(j.Name)
	var b [8]byte
	for i := range b {
		b[i] = byte(j.marks.offset >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return clock.Millis(d.Sum64() % uint64(checkpointSpread))
}
