package reservation

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Held is a claim of this process.
type Held struct {
	book   *Book
	id     string
	ticket ticket
	// bornAt is the monotonic time from before the claim was sent to the log.
	bornAt clock.Millis
	// decided is closed when the claim was read back; won and tooOld are set before that.
	decided chan struct{}
	won     bool
	tooOld  bool
	// abandoned is true when nobody waits for the verdict any longer; it is guarded by Book.mu.
	abandoned bool

	mu     sync.Mutex
	closed bool
}

// StillMine tells whether the claim allows a send at now: a holder that was paused must not send late.
func (h *Held) StillMine(now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.closed && now-h.bornAt <= sendWithin
}

// close ends the claim's right to send for good.
func (h *Held) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}
