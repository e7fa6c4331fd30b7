package dispatch

import (
	"hash/maphash"
	"sync/atomic"

	"carawayknot.example/carawayknot/pkg/request"
)

// begunSetSize is the number of hashes that a begunSet remembers at most; a power of two.
const begunSetSize = 8192

// begunSet remembers what answers have begun here to, by a hash. A hash overwrites another one with the same index, so that memory and
// time are bounded; it is safe for concurrent use.
type begunSet struct {
	hashes [begunSetSize]atomic.Uint64
}

func (b *begunSet) add(hash uint64) {
	if h := &b.hashes[hash%begunSetSize]; h.Load() != hash {
		h.Store(hash)
	}
}

func (b *begunSet) contains(hash uint64) bool { return b.hashes[hash%begunSetSize].Load() == hash }

// localSeed makes the hashes of requests that don't leave the process.
var localSeed = maphash.MakeSeed()

// localHash returns a hash of what Fingerprint hashes that is fast enough for every request; it differs between instances.
func localHash(r *request.Request) uint64 {
	var h maphash.Hash
	h.SetSeed(localSeed)
	for _, field := range []string{r.Workspace, r.Method, r.Host, r.Target} {
		_, _ = h.WriteString(field)
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
