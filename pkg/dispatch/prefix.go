package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/request"
)

// maxPrefixesPerUpstream is the number of prompt prefixes after which those of an upstream are dropped.
const maxPrefixesPerUpstream = 1024

// PrefixIndex tracks the prompt prefixes that upstreams have cached, from events that may be late or lost; it is safe for
// concurrent use.
type PrefixIndex struct {
	mu        sync.RWMutex
	upstreams map[string]*upstreamPrefixes
}

// upstreamPrefixes is the cache content of one upstream.
type upstreamPrefixes struct {
	// nextSeq is the expected number of the next event.
	nextSeq int64
	hashes  map[uint64]struct{}
}

// PrefixHash returns the hash of the first message of a chat completion, or 0 if the request has no messages.
func PrefixHash(r *request.Request) uint64 {
	if len(r.Messages) == 0 {
		return 0
	}
	return request.HashKey(r.Messages[0].Role, r.Messages[0].Content)
}

// ApplyEvents applies cache events of an upstream; a gap in their numbers drops all its prefixes known so far.
func (p *PrefixIndex) ApplyEvents(upstream string, events backoffice.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[upstream]
	if u == nil {
		u = &upstreamPrefixes{hashes: map[uint64]struct{}{}}
		if p.upstreams == nil {
			p.upstreams = map[string]*upstreamPrefixes{}
		}
		p.upstreams[upstream] = u
	}
	for _, e := range events.Events {
		u.apply(e)
	}
}

func (u *upstreamPrefixes) apply(e backoffice.CacheEvent) {
	if u.nextSeq != 0 && e.Seq != u.nextSeq {
		clear(u.hashes)
	}
	u.nextSeq = e.Seq + 1
	if e.Dropped {
		delete(u.hashes, e.Prefix)
		return
	}
	if len(u.hashes) >= maxPrefixesPerUpstream {
		clear(u.hashes)
	}
	u.hashes[e.Prefix] = struct{}{}
}

// Has reports whether the upstream has cached the prefix, according to the events received.
func (p *PrefixIndex) Has(upstream string, prefix uint64) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	u := p.upstreams[upstream]
	if u == nil {
		return false
	}
	_, known := u.hashes[prefix]
	return known
}

// Forget drops the prefixes of a removed upstream.
func (p *PrefixIndex) Forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.upstreams, upstream)
}

// prefixSet converts a nil pointer to a nil interface, so that Pick can compare it with nil.
func prefixSet(p *PrefixIndex) PrefixSet {
	if p == nil {
		return nil
	}
	return p
}
