package delivery

import (
	"context"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// chunkOverhead is what a held chunk costs besides its text, in bytes.
	chunkOverhead = 64
	// floorBytes is what each chat completion can count on: room for the longest event.
	floorBytes = eventBytes + chunkOverhead
	// joinedBytes bounds the text of chunks that are passed on as one.
	joinedBytes = 4 << 10
)

var (
	errSlowReader = errors.New("the reader did not make room within the time limit")
	errReaderGone = errors.New("the reader has gone")
)

// queue holds the chunks of one answer between the reading from the upstream and the writing to the caller.
type queue struct {
	hold  *Hold
	clock clock.Clock
	// patience is how long put waits for room, in milliseconds.
	patience clock.Millis
	// keepOn makes put wait without limit, and discard chunks once the reader has gone in place of failing.
	keepOn bool

	mu     sync.Mutex
	chunks []request.Chunk
	gone   bool
	closed bool
	more   chan struct{}
	room   chan struct{}
}

func newQueue(h *Hold, c clock.Clock, patience clock.Millis, keepOn bool) *queue {
	return &queue{
		hold: h, clock: c, patience: patience, keepOn: keepOn,
		more: make(chan struct{}, 1), room: make(chan struct{}, 1),
	}
}

func charge(k request.Chunk) int64 { return int64(len(k.Text)) + chunkOverhead }

// put adds a chunk; it waits for room and returns errSlowReader when there is none within the patience.
func (q *queue) put(ctx context.Context, k request.Chunk) error {
	if done, err := q.tryPut(k); done {
		return err
	}
	var tired <-chan struct{}
	if !q.keepOn {
		done, stop := q.clock.Timer(q.patience)
		defer stop()
		tired = done
	}
	for {
		select {
		case <-q.room:
		case <-tired:
			return errSlowReader
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if done, err := q.tryPut(k); done {
			return err
		}
	}
}

func (q *queue) tryPut(k request.Chunk) (done bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.gone {
		if q.keepOn {
			return true, nil
		}
		return true, errReaderGone
	}
	if !q.hold.Take(charge(k)) {
		return false, nil
	}
	q.chunks = append(q.chunks, k)
	signal(q.more)
	return true, nil
}

// drained waits until the reader has taken at least half of what one request may hold.
func (q *queue) drained(ctx context.Context) error {
	for {
		q.mu.Lock()
		gone := q.gone
		q.mu.Unlock()
		if gone {
			return errReaderGone
		}
		if q.hold.Drained() {
			return nil
		}
		select {
		case <-q.room:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// take returns the next chunks joined into one, what to give back once they are written, and false at the end.
func (q *queue) take(ctx context.Context) (request.Chunk, int64, bool) {
	for {
		q.mu.Lock()
		if len(q.chunks) > 0 {
			k, n := q.join()
			q.mu.Unlock()
			return k, n, true
		}
		closed := q.closed
		q.mu.Unlock()
		if closed {
			return request.Chunk{}, 0, false
		}
		select {
		case <-q.more:
		case <-ctx.Done():
			return request.Chunk{}, 0, false
		}
	}
}

func (q *queue) join() (request.Chunk, int64) {
	first := q.chunks[0]
	cost, size, n := charge(first), len(first.Text), 1
	for n < len(q.chunks) && size+len(q.chunks[n].Text) <= joinedBytes {
		size += len(q.chunks[n].Text)
		cost += charge(q.chunks[n])
		n++
	}
	if n > 1 {
		var text strings.Builder
		text.Grow(size)
		tokens := 0
		for _, k := range q.chunks[:n] {
			text.WriteString(k.Text)
			tokens += k.Tokens
		}
		first.Text, first.Tokens = text.String(), tokens
	}
	q.chunks = q.chunks[n:]
	if len(q.chunks) == 0 {
		q.chunks = nil
	}
	return first, cost
}

// wrote gives n bytes back that were written to the caller.
func (q *queue) wrote(n int64) {
	q.mu.Lock()
	if !q.gone {
		q.hold.Give(n)
	}
	q.mu.Unlock()
	signal(q.room)
}

// close marks the end of the chunks.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	signal(q.more)
}

// leave gives all bytes back because the reader has gone.
func (q *queue) leave() {
	q.mu.Lock()
	q.chunks, q.gone = nil, true
	q.hold.Close()
	q.mu.Unlock()
	signal(q.room)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
