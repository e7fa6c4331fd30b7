package reservation

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// LocalClaim is a claim made by this process.
type LocalClaim struct {
	coordinator *Coordinator
	id          string
	fingerprint fingerprint
	// createdAt is the monotonic time just before the claim was appended to the log.
	createdAt clock.Millis
	// decided is closed once the claim has been read back; won and tooOld are set before that.
	decided chan struct{}
	won     bool
	tooOld  bool
	// abandoned is true once no request waits for the decision any longer; it is guarded by Coordinator.mu.
	abandoned bool

	mu     sync.Mutex
	closed bool
}

// Valid reports whether the claim allows a send at now; its age limit keeps a process that was paused from sending late.
func (lc *LocalClaim) Valid(now clock.Millis) bool {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return !lc.closed && now-lc.createdAt <= sendWindow
}

// close invalidates the claim permanently.
func (lc *LocalClaim) close() {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.closed = true
}
