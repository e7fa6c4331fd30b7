package delivery

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// freeBufferBytes is what each attempt may buffer whatever the others hold; most responses and all sound events are smaller.
const freeBufferBytes = 64 << 10

// errBodyTooLong reports a response that must be read whole and is longer than what may be buffered.
var errBodyTooLong = errors.New("response body exceeds the size limit")

// Memory bounds what is held for all clients of an instance.
type Memory interface {
	TryTake(n int64) bool
	Give(n int64)
}

// bufferLimit bounds the bytes of responses that all attempts together hold before they are forwarded.
type bufferLimit struct {
	// total is the bound in bytes; 0 means none.
	total int64
	held  atomic.Int64
	// memory may be nil.
	memory Memory
}

func (l *bufferLimit) tryTake(n int64) bool {
	if l.held.Add(n) > l.total {
		l.held.Add(-n)
		return false
	}
	if l.memory != nil && !l.memory.TryTake(n) {
		l.held.Add(-n)
		return false
	}
	return true
}

func (l *bufferLimit) give(n int64) {
	l.held.Add(-n)
	if l.memory != nil && n > 0 {
		l.memory.Give(n)
	}
}

// responseBuffer holds the bytes of one response that are not forwarded yet.
type responseBuffer struct {
	limit *bufferLimit
	// most bounds the length of the buffer.
	most  int
	bytes []byte
	// counted is the part of the capacity that counts toward the limit.
	counted int64
}

// grow doubles the buffer and reports whether that was allowed.
func (b *responseBuffer) grow() bool {
	size := min(max(streamBufferBytes, 2*cap(b.bytes)), b.most)
	if size <= cap(b.bytes) {
		return false
	}
	if more := int64(size) - b.counted; size > freeBufferBytes && b.limit.total > 0 {
		if !b.limit.tryTake(more) {
			return false
		}
		b.counted += more
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// read reads once from r into the free part of the buffer, which it grows if it is full; full is true if that wasn't allowed.
func (b *responseBuffer) read(r io.Reader) (full bool, err error) {
	if len(b.bytes) == cap(b.bytes) && !b.grow() {
		return true, nil
	}
	n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	return false, err
}

// release returns what the buffer counts toward the limit.
func (b *responseBuffer) release() {
	b.limit.give(b.counted)
	b.counted, b.bytes = 0, nil
}
