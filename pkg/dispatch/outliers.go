package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// initialAvoidance is how long an upstream is avoided after its first failure, in milliseconds; it doubles with each consecutive one.
	initialAvoidance = 1 * clock.Second
	// maxAvoidance is the longest time that an upstream is avoided, in milliseconds.
	maxAvoidance = 16 * clock.Second
)

// OutlierDetector reports which upstreams to avoid while others have capacity: those at which an attempt of this instance failed, for
// a time that doubles with each consecutive failure and ends with the first answer; it is safe for concurrent use.
type OutlierDetector struct {
	mu     sync.RWMutex
	failed map[string]outlier
}

type outlier struct {
	until    clock.Millis
	duration clock.Millis
}

// RecordFailure records a failed attempt at now, which is monotonic and in milliseconds.
func (o *OutlierDetector) RecordFailure(upstream string, now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed == nil {
		o.failed = map[string]outlier{}
	}
	duration := initialAvoidance
	if old, known := o.failed[upstream]; known {
		duration = min(2*old.duration, maxAvoidance)
	}
	o.failed[upstream] = outlier{until: now + duration, duration: duration}
}

// RecordSuccess records an answer, which ends the avoidance of the upstream.
func (o *OutlierDetector) RecordSuccess(upstream string) {
	o.mu.RLock()
	_, known := o.failed[upstream]
	o.mu.RUnlock()
	if known {
		o.Forget(upstream)
	}
}

// Forget drops the failures of an upstream that answered or was removed.
func (o *OutlierDetector) Forget(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.failed, upstream)
}

// LastAttemptFailed reports whether the upstream has not answered since its last failure; a nil receiver knows of none.
func (o *OutlierDetector) LastAttemptFailed(upstream string) bool {
	if o == nil {
		return false
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	_, known := o.failed[upstream]
	return known
}

// ShouldAvoid reports whether others should be tried before the upstream at now; a nil receiver avoids none.
func (o *OutlierDetector) ShouldAvoid(upstream string, now clock.Millis) bool {
	if o == nil {
		return false
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	return now < o.failed[upstream].until
}
