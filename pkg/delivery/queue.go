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
	// chunkOverheadBytes is the memory of a buffered chunk in addition to its text.
	chunkOverheadBytes = 64
	// floorBytes is guaranteed to each chat completion: room for the longest event.
	floorBytes = maxEventBytes + chunkOverheadBytes
	// maxJoinedBytes bounds the text of chunks that are forwarded as one.
	maxJoinedBytes = 4 << 10
)

var (
	errSlowReader = errors.New("caller read the response too slowly")
	errReaderGone = errors.New("caller stopped reading the response")
)

// queue buffers the chunks of one response between the reading from the upstream and the writing to the caller.
type queue struct {
	allocation *Allocation
	clock      clock.Clock
	// putTimeout is how long put waits for room, in milliseconds.
	putTimeout clock.Millis
	// mustDrain makes put wait without limit and, once the reader is gone, discard chunks instead of failing.
	mustDrain bool

	mu         sync.Mutex
	chunks     []request.Chunk
	readerGone bool
	closed     bool
	available  chan struct{}
	roomFreed  chan struct{}
}

func newQueue(a *Allocation, c clock.Clock, putTimeout clock.Millis, mustDrain bool) *queue {
	return &queue{
		allocation: a, clock: c, putTimeout: putTimeout, mustDrain: mustDrain,
		available: make(chan struct{}, 1), roomFreed: make(chan struct{}, 1),
	}
}

func chunkBytes(k request.Chunk) int64 { return int64(len(k.Text)) + chunkOverheadBytes }

// put adds a chunk; it returns errSlowReader if there is no room within putTimeout.
func (q *queue) put(ctx context.Context, k request.Chunk) error {
	if done, err := q.tryPut(k); done {
		return err
	}
	var timedOut <-chan struct{}
	if !q.mustDrain {
		done, stop := q.clock.Timer(q.putTimeout)
		defer stop()
		timedOut = done
	}
	for {
		select {
		case <-q.roomFreed:
		case <-timedOut:
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
	if q.readerGone {
		if q.mustDrain {
			return true, nil
		}
		return true, errReaderGone
	}
	if !q.allocation.TryAcquire(chunkBytes(k)) {
		return false, nil
	}
	q.chunks = append(q.chunks, k)
	signal(q.available)
	return true, nil
}

// waitForRoom waits until the request uses at most half of the bytes that it may hold.
func (q *queue) waitForRoom(ctx context.Context) error {
	for {
		q.mu.Lock()
		readerGone := q.readerGone
		q.mu.Unlock()
		if readerGone {
			return errReaderGone
		}
		if q.allocation.HalfEmpty() {
			return nil
		}
		select {
		case <-q.roomFreed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// take returns the next chunks joined into one, the number of bytes to release once they are written, and false at the end.
func (q *queue) take(ctx context.Context) (request.Chunk, int64, bool) {
	for {
		q.mu.Lock()
		if len(q.chunks) > 0 {
			k, n := q.popJoined()
			q.mu.Unlock()
			return k, n, true
		}
		closed := q.closed
		q.mu.Unlock()
		if closed {
			return request.Chunk{}, 0, false
		}
		select {
		case <-q.available:
		case <-ctx.Done():
			return request.Chunk{}, 0, false
		}
	}
}

func (q *queue) popJoined() (request.Chunk, int64) {
	first := q.chunks[0]
	heldBytes, textBytes, n := chunkBytes(first), len(first.Text), 1
	for n < len(q.chunks) && textBytes+len(q.chunks[n].Text) <= maxJoinedBytes {
		textBytes += len(q.chunks[n].Text)
		heldBytes += chunkBytes(q.chunks[n])
		n++
	}
	if n > 1 {
		var text strings.Builder
		text.Grow(textBytes)
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
	return first, heldBytes
}

// release returns n bytes to the budget after they were written to the caller.
func (q *queue) release(n int64) {
	q.mu.Lock()
	if !q.readerGone {
		q.allocation.Release(n)
	}
	q.mu.Unlock()
	signal(q.roomFreed)
}

// close marks the end of the chunks; buffered chunks can still be taken.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	signal(q.available)
}

// closeReader drops all chunks and releases their bytes because the reader is gone.
func (q *queue) closeReader() {
	q.mu.Lock()
	q.chunks, q.readerGone = nil, true
	q.allocation.Close()
	q.mu.Unlock()
	signal(q.roomFreed)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
