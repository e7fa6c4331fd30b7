package pricing

import "sync"

const (
	// wayBackMemory is the number of calls on which the share of those that go back is based.
	wayBackMemory = 20.0
	// wayBackPrior is the number of calls that count as gone back before any was seen.
	wayBackPrior = 0.5
	// wayBackMargin is the factor by which more is reserved than the share of the calls that went back, as it may rise at any time.
	wayBackMargin = 2.0
)

// waysBack tracks, by service, how often a call whose answer was dropped goes back to the smallest model, since the larger one was refused;
// it is safe for concurrent use.
type waysBack struct {
	mu       sync.Mutex
	services map[string]wayBackCounts
}

// wayBackCounts are the calls that were seen lately and those of them that went back.
type wayBackCounts struct{ calls, wentBack float64 }

// share returns the part of a retry that a call has to reserve for going back; it is 1 until calls were seen that didn't go back.
func (b *waysBack) share(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.services[service]
	return min(1, wayBackMargin*(n.wentBack+wayBackPrior)/(n.calls+wayBackPrior))
}

// record notes whether a call went back.
func (b *waysBack) record(service string, wentBack bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[string]wayBackCounts{}
	}
	n := b.services[service]
	if n.calls >= wayBackMemory {
		n.calls, n.wentBack = n.calls*(1-1/wayBackMemory), n.wentBack*(1-1/wayBackMemory)
	}
	n.calls++
	if wentBack {
		n.wentBack++
	}
	b.services[service] = n
}
