package dispatch

import (
	"math"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// workHalfLifeMillis is the half-life of work in the share of long prompts; bursts last a few seconds.
	workHalfLifeMillis = 4000.0
	// defaultLongShare is the share of upstreams for long prompts until there is work to compute it from; on calm days long prompts are
	// a fifth of the work at the users' sites.
	defaultLongShare = 0.23
	// minLongShare and maxLongShare bound the share, so that upstreams remain for both long and short prompts.
	minLongShare = 0.1
	maxLongShare = 0.6
	// longShareFactor is the ratio of the share of upstreams for long prompts to their share of the work; it is above 1 because long
	// prompts queue at fewer upstreams and less of them is cached.
	longShareFactor = 1.5
)

// WorkMix tracks the share of long prompts in the recent work of each service, over this instance and its peers; it is safe for
// concurrent use.
type WorkMix struct {
	mu       sync.Mutex
	services map[string]*serviceWork
}

// serviceWork is the recent work of a service, in tokens of the largest model; that of this instance decays from at on.
type serviceWork struct {
	long, all         float64
	peerLong, peerAll float64
	at                clock.Millis
}

// Prefixes of the keys under which instances exchange their work by service.
const (
	longWorkPrefix = "long work "
	allWorkPrefix  = "all work "
)

func (m *WorkMix) service(service string) *serviceWork {
	w := m.services[service]
	if w == nil {
		if m.services == nil {
			m.services = map[string]*serviceWork{}
		}
		w = &serviceWork{}
		m.services[service] = w
	}
	return w
}

// decay applies the exponential decay of this instance's work from w.at until now.
func (w *serviceWork) decay(now clock.Millis) {
	factor := math.Exp2(-float64(now-w.at) / workHalfLifeMillis)
	w.long, w.all, w.at = w.long*factor, w.all*factor, now
}

// Record adds work that is sent to an upstream of the service, in tokens of the largest model.
func (m *WorkMix) Record(service string, long bool, work float64, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.service(service)
	w.decay(now)
	w.all += work
	if long {
		w.long += work
	}
}

// AddOwnWork adds this instance's recent work to the items that it shares with its peers.
func (m *WorkMix) AddOwnWork(now clock.Millis, items map[string]float32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, w := range m.services {
		w.decay(now)
		if w.all >= minWorkTokens {
			items[longWorkPrefix+service], items[allWorkPrefix+service] = float32(w.long), float32(w.all)
		}
	}
}

// SetPeerWork replaces the work of all other instances by their shared items.
func (m *WorkMix) SetPeerWork(items map[string]float32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, w := range m.services {
		w.peerLong, w.peerAll = float64(items[longWorkPrefix+service]), float64(items[allWorkPrefix+service])
	}
}

// Share returns the fraction of the service's upstreams to reserve for long prompts.
func (m *WorkMix) Share(service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.services[service]
	if w == nil || w.all+w.peerAll < minWorkTokens {
		return defaultLongShare
	}
	return min(max(minLongShare, longShareFactor*(w.long+w.peerLong)/(w.all+w.peerAll)), maxLongShare)
}
