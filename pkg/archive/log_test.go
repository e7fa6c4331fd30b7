package archive

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/platform"
)

// fakeLog is a log in memory with switches for its faults.
type fakeLog struct {
	clock   clock.Clock
	entries []platform.Entry
	oldest  int64
	down    bool
	// lose makes the next appends take effect without an answer.
	lose int
}

func (l *fakeLog) end() int64 { return l.oldest + int64(len(l.entries)) }

func (l *fakeLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	if l.down {
		return 0, &platform.UnavailableError{Service: "log", Cause: errors.New("down")}
	}
	first := l.end()
	for _, r := range records {
		l.entries = append(l.entries, platform.Entry{Offset: l.end(), At: l.clock.Wall(), Data: r})
	}
	if l.lose > 0 {
		l.lose--
		return 0, &platform.UnavailableError{Service: "log", Unknown: true, Cause: errors.New("answer lost")}
	}
	return first, nil
}

// read lets a journal read once, at most limit records.
func (l *fakeLog) read(j *Journal, limit int) error {
	sentAt := j.Clock.Now()
	from := j.Next()
	switch {
	case l.down:
		return &platform.UnavailableError{Service: "log", Cause: errors.New("down")}
	case from < l.oldest:
		e := &platform.TrimmedError{Stream: catalogue.StreamName, From: from, Oldest: l.oldest}
		j.TakeTrimmed(e)
		return e
	case from > l.end():
		e := &platform.AheadError{Stream: catalogue.StreamName, From: from, Oldest: l.oldest, End: l.end()}
		j.TakeAhead(sentAt, e)
		return e
	}
	entries := l.entries[from-l.oldest:]
	if len(entries) > limit {
		entries = entries[:limit]
	}
	return j.Take(sentAt, platform.Batch{Entries: entries, Oldest: l.oldest, End: l.end()})
}

// trim drops the records before an offset.
func (l *fakeLog) trim(oldest int64) {
	l.entries = l.entries[oldest-l.oldest:]
	l.oldest = oldest
}

func zoneChange(t testing.TB, id, zone string, out bool, base catalogue.Revision) *catalogue.Change {
	t.Helper()
	raw, err := json.Marshal(catalogue.Zone{Name: zone, Out: out})
	if err != nil {
		t.Fatal(err)
	}
	return &catalogue.Change{ID: id, Author: "op", Edits: []catalogue.Edit{{Kind: catalogue.KindZone, Name: zone, Base: base, Object: raw}}}
}

func (l *fakeLog) change(t testing.TB, ch *catalogue.Change) catalogue.Revision {
	t.Helper()
	data, err := catalogue.EncodeChange(ch)
	if err != nil {
		t.Fatal(err)
	}
	first, err := l.Append(context.Background(), catalogue.StreamName, [][]byte{data})
	if err != nil {
		t.Fatal(err)
	}
	return catalogue.Revision(first) + 1
}
