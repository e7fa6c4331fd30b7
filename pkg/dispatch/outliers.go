package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// firstAvoidance is how long an upstream is avoided after a failure, in milliseconds; it doubles with each further one in a row.
	firstAvoidance = 1 * clock.Second
	// mostAvoidance bounds that time, in milliseconds.
	mostAvoidance = 16 * clock.Second
)

// Outliers remembers the upstreams at which attempts of this instance failed, so that others are tried first for a while. An
// avoided upstream still gets work when no other has room, and its first answer ends that. It is safe for concurrent use.
type Outliers struct {
	mu     sync.RWMutex
	failed map[string]outlier
}

type outlier struct {
	until clock.Millis
	span  clock.Millis
}

// Failed notes a failure at now.
func (o *Outliers) Failed(upstream string, now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed == nil {
		o.failed = map[string]outlier{}
	}
	span := firstAvoidance
	if old, known := o.failed[upstream]; known {
		span = min(2*old.span, mostAvoidance)
	}
	o.failed[upstream] = outlier{until: now + span, span: span}
}

// Answered notes an answer.
func (o *Outliers) Answered(upstream string) {
	o.mu.RLock()
	_, known := o.failed[upstream]
	o.mu.RUnlock()
	if known {
		o.Forget(upstream)
	}
}

// Forget drops what is known of an upstream, also when it is gone.
func (o *Outliers) Forget(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.failed, upstream)
}

// Avoid tells whether others should be tried before the upstream at now; it is false on nil.
func (o *Outliers) Avoid(upstream string, now clock.Millis) bool {
	if o == nil {
		return false
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	return now < o.failed[upstream].until
}
