package fake

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

const logService = "log"

// Log is a fake of the log service.
type Log struct {
	gate
	Clock clock.Clock

	mu      sync.Mutex
	retain  int
	streams map[string]*stream
}

// stream is one stream of the log; grown is closed at the next change.
type stream struct {
	oldest  int64
	entries []backoffice.Entry
	grown   chan struct{}
}

func (s *stream) end() int64 { return s.oldest + int64(len(s.entries)) }

func (s *stream) trim(before int64) {
	if n := min(before, s.end()) - s.oldest; n > 0 {
		s.entries, s.oldest = s.entries[n:], s.oldest+n
	}
}

func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// stream returns the stream of that name; l.mu is held.
func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Retain bounds the records kept of each stream from the next append on; 0 keeps all.
func (l *Log) Retain(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retain = records
}

// Trim drops the records before an offset.
func (l *Log) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).trim(before)
}

// Truncate drops the records from an offset on, as a log does that lost its tail.
func (l *Log) Truncate(name string, end int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if keep := end - s.oldest; keep >= 0 && keep < int64(len(s.entries)) {
		s.entries = s.entries[:keep:keep]
	}
	s.wake()
}

// Append appends the records in order and returns the offset of the first one; its error is *backoffice.UnavailableError.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	if err := l.enter(ctx, l.Clock, logService); err != nil {
		return 0, err
	}
	first := l.add(name, records)
	if err := l.leave(logService); err != nil {
		return 0, err
	}
	return first, nil
}

func (l *Log) add(name string, records [][]byte) int64 {
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
	if l.retain > 0 {
		s.trim(s.end() - int64(l.retain))
	}
	s.wake()
	return first
}

// Read returns at most limit records from an offset on; with none there it waits up to wait, in milliseconds.
// Its errors are *backoffice.TrimmedError, *backoffice.AheadError and *backoffice.UnavailableError.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error) {
	if err := l.enter(ctx, l.Clock, logService); err != nil {
		return backoffice.Batch{}, err
	}
	if err := l.awaitEntry(ctx, name, from, wait); err != nil {
		return backoffice.Batch{}, &backoffice.UnavailableError{Service: logService, Cause: err}
	}
	if l.get().Down {
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
		return backoffice.Batch{}, &backoffice.AheadError{Stream: name, From: from, Oldest: s.oldest, End: s.end()}
	}
	n := min(int64(limit), s.end()-from)
	entries := append([]backoffice.Entry(nil), s.entries[from-s.oldest:][:n]...)
	return backoffice.Batch{Entries: entries, Oldest: s.oldest, End: s.end()}, nil
}

// awaitEntry returns once the stream has something at the offset, or after wait milliseconds.
func (l *Log) awaitEntry(ctx context.Context, name string, from int64, wait clock.Millis) error {
	if wait <= 0 {
		return nil
	}
	due, stop := l.Clock.Timer(wait)
	defer stop()
	for {
		end, grown := l.look(name)
		if from != end {
			return nil
		}
		select {
		case <-grown:
		case <-due:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Log) look(name string) (int64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.end(), s.grown
}
