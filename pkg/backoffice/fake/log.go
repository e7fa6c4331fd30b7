package fake

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

const logService = "log"

// Log is a fake of the log service; it is safe for concurrent use.
type Log struct {
	faultInjector
	Clock clock.Clock

	mu        sync.Mutex
	retention int
	streams   map[string]*stream
}

// stream is one stream of the log; changed is closed at the next append or truncation.
type stream struct {
	oldest  int64
	entries []backoffice.Entry
	changed chan struct{}
}

func (s *stream) end() int64 { return s.oldest + int64(len(s.entries)) }

// trim drops the entries before an offset.
func (s *stream) trim(before int64) {
	if n := min(before, s.end()) - s.oldest; n > 0 {
		s.entries, s.oldest = s.entries[n:], s.oldest+n
	}
}

// notify wakes the readers that wait for a change.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// stream returns a stream, which it creates if needed; l.mu is held.
func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// SetRetention bounds the number of records that each stream retains, from its next append on; 0 retains all.
func (l *Log) SetRetention(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = records
}

// Trim drops the records of a stream before an offset.
func (l *Log) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).trim(before)
}

// Truncate drops the records of a stream from offset end on, as if the log had lost its tail.
func (l *Log) Truncate(name string, end int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if keep := end - s.oldest; keep >= 0 && keep < int64(len(s.entries)) {
		s.entries = s.entries[:keep:keep]
	}
	s.notify()
}

// Append appends the records in order and returns the offset of the first one; its error is *backoffice.UnavailableError.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	if err := l.before(ctx, l.Clock, logService); err != nil {
		return 0, err
	}
	first := l.appendRecords(name, records)
	if err := l.after(logService); err != nil {
		return 0, err
	}
	return first, nil
}

func (l *Log) appendRecords(name string, records [][]byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.end()
	for i, data := range records {
		s.entries = append(s.entries, backoffice.Entry{
			Offset: first + int64(i),
			At:     l.Clock.Wall(),
			Data:   append([]byte(nil), data...),
		})
	}
	if l.retention > 0 {
		s.trim(s.end() - int64(l.retention))
	}
	s.notify()
	return first
}

// Read returns up to limit records, starting at offset from, and waits up to wait milliseconds if there are none yet; its errors
// are *backoffice.TrimmedError, *backoffice.PastEndError and *backoffice.UnavailableError.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error) {
	if err := l.before(ctx, l.Clock, logService); err != nil {
		return backoffice.Batch{}, err
	}
	if err := l.await(ctx, name, from, wait); err != nil {
		return backoffice.Batch{}, &backoffice.UnavailableError{Service: logService, Cause: err}
	}
	if l.current().Down {
		return backoffice.Batch{}, &backoffice.UnavailableError{Service: logService, Cause: errDown}
	}
	return l.batch(name, from, limit)
}

func (l *Log) batch(name string, from int64, limit int) (backoffice.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if from < s.oldest {
		return backoffice.Batch{}, &backoffice.TrimmedError{Stream: name, From: from, Oldest: s.oldest, End: s.end()}
	}
	if from > s.end() {
		return backoffice.Batch{}, &backoffice.PastEndError{Stream: name, From: from, Oldest: s.oldest, End: s.end()}
	}
	n := min(int64(limit), s.end()-from)
	entries := append([]backoffice.Entry(nil), s.entries[from-s.oldest:][:n]...)
	return backoffice.Batch{Entries: entries, Oldest: s.oldest, End: s.end()}, nil
}

// await returns once from is no longer the end of the stream, after wait milliseconds at the latest.
func (l *Log) await(ctx context.Context, name string, from int64, wait clock.Millis) error {
	if wait <= 0 {
		return nil
	}
	timeout, stop := l.Clock.Timer(wait)
	defer stop()
	for {
		end, changed := l.endAndChanged(name)
		if from != end {
			return nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endAndChanged returns the end of a stream and the channel that its next change closes.
func (l *Log) endAndChanged(name string) (int64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.end(), s.changed
}
