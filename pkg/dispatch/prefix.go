package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/request"
)

// prefixLimit bounds the prompt prefixes that are known of one upstream.
const prefixLimit = 1024

// Prefixes knows from late events with gaps which upstream holds which prompt prefix; it is safe for concurrent use.
type Prefixes struct {
	mu        sync.RWMutex
	upstreams map[string]*prefixes
}

type prefixes struct {
	next  int64
	known map[uint64]struct{}
}

// PrefixOf returns the hash of the prompt prefix of a chat completion, or 0.
func PrefixOf(r *request.Request) uint64 {
	if len(r.Messages) == 0 {
		return 0
	}
	return request.HashKey(r.Messages[0].Role, r.Messages[0].Content)
}

// TakeEvents takes in cache events of an upstream; after a gap all that was known of it is dropped.
func (p *Prefixes) TakeEvents(upstream string, events backoffice.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.upstreams[upstream]
	if k == nil {
		k = &prefixes{known: map[uint64]struct{}{}}
		if p.upstreams == nil {
			p.upstreams = map[string]*prefixes{}
		}
		p.upstreams[upstream] = k
	}
	for _, e := range events.Events {
		k.take(e)
	}
}

func (k *prefixes) take(e backoffice.CacheEvent) {
	if k.next != 0 && e.Seq != k.next {
		clear(k.known)
	}
	k.next = e.Seq + 1
	if e.Dropped {
		delete(k.known, e.Prefix)
		return
	}
	if len(k.known) >= prefixLimit {
		clear(k.known)
	}
	k.known[e.Prefix] = struct{}{}
}

// Has tells whether the upstream is thought to hold the prefix.
func (p *Prefixes) Has(upstream string, prefix uint64) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	k := p.upstreams[upstream]
	if k == nil {
		return false
	}
	_, known := k.known[prefix]
	return known
}

// Forget drops what is known of an upstream that is gone.
func (p *Prefixes) Forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.upstreams, upstream)
}

// prefixSet turns a nil pointer into a nil interface.
func prefixSet(p *Prefixes) PrefixSet {
	if p == nil {
		return nil
	}
	return p
}
