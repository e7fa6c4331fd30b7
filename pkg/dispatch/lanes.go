package dispatch

import (
	"math"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// laneHalfLife is the age at which work counts half in the share of the long prompts, in milliseconds; bursts last a few
	// seconds.
	laneHalfLife = 4000.0
	// usualShare is the share that is taken until work was seen; on the users' sites long prompts are a fifth of the work on calm
	// days.
	usualShare = 0.23
	// leastShare and mostShare bound the share, so that some upstreams are left for either kind.
	leastShare = 0.1
	mostShare  = 0.6
	// laneRoom is how many times their share of the work the long prompts get of the upstreams: they queue at fewer of them, and
	// less of them is cached. Of 1.0, 1.5 and 2.0, 1.5 served the heavy days of the grown sites best.
	laneRoom = 1.5
)

// Lanes knows which share of a service's work are prompts that take long to read, from the work of this instance and what others
// tell of theirs. It is safe for concurrent use.
type Lanes struct {
	mu       sync.Mutex
	services map[string]*laneWork
}

// laneWork is the recent work of a service, in tokens of the largest model.
type laneWork struct {
	long, all             float64
	othersLong, othersAll float64
	at                    clock.Millis
}

// Keys under which instances tell each other their work.
const (
	laneLongMark = "long work "
	laneAllMark  = "all work "
)

func (l *Lanes) of(service string) *laneWork {
	w := l.services[service]
	if w == nil {
		if l.services == nil {
			l.services = map[string]*laneWork{}
		}
		w = &laneWork{}
		l.services[service] = w
	}
	return w
}

func (w *laneWork) fade(now clock.Millis) {
	part := math.Exp2(-float64(now-w.at) / laneHalfLife)
	w.long, w.all, w.at = w.long*part, w.all*part, now
}

// Take notes work that is sent to an upstream of the service.
func (l *Lanes) Take(service string, long bool, work float64, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.of(service)
	w.fade(now)
	w.all += work
	if long {
		w.long += work
	}
}

// Own adds this instance's work to sum.
func (l *Lanes) Own(now clock.Millis, sum map[string]float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, w := range l.services {
		w.fade(now)
		if w.all >= leastWork {
			sum[laneLongMark+service], sum[laneAllMark+service] = float32(w.long), float32(w.all)
		}
	}
}

// Tell takes the work of all other instances.
func (l *Lanes) Tell(seen map[string]float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, w := range l.services {
		w.othersLong, w.othersAll = float64(seen[laneLongMark+service]), float64(seen[laneAllMark+service])
	}
}

// Share returns the part of the service's upstreams that is kept for prompts that take long.
func (l *Lanes) Share(service string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.services[service]
	if w == nil || w.all+w.othersAll < leastWork {
		return usualShare
	}
	return min(max(leastShare, laneRoom*(w.long+w.othersLong)/(w.all+w.othersAll)), mostShare)
}
