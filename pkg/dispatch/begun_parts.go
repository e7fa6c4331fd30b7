package dispatch

import "sync/atomic"

// begunPartsSize is the number of parts that begunParts remembers at most; a power of two.
const begunPartsSize = 8192

// begunParts remembers the parts of prompts to which answers have begun here. A part overwrites another one with the same index, so
// that memory and time are bounded; it is safe for concurrent use.
type begunParts struct {
	hashes [begunPartsSize]atomic.Uint64
}

func (b *begunParts) add(hash uint64) {
	if h := &b.hashes[hash%begunPartsSize]; h.Load() != hash {
		h.Store(hash)
	}
}

func (b *begunParts) contains(hash uint64) bool { return b.hashes[hash%begunPartsSize].Load() == hash }
