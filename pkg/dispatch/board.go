package dispatch

import (
	"math"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// reportHalfLife is the age at which a load that came with an answer counts half, in milliseconds; many instances send, so
// that a report says little after some answers' time.
const reportHalfLife = 1500.0

// leastWork is the work below which an upstream has none, in tokens; sums of fractions leave a rest.
const leastWork = 1

// Board knows the load of upstreams from this instance's own requests, from what other instances tell and from what came with
// answers. It is safe for concurrent use.
type Board struct {
	// Self is the name of this instance.
	Self string

	mu    sync.Mutex
	seats map[string]*seat
	// told is the work of other instances, by upstream.
	told map[string]float32
}

// seat is what is known of one upstream.
type seat struct {
	own int
	// work is the part of the own requests that is still ahead of the upstream.
	work float64
	// others is the load of other instances as of reportAt.
	others   float64
	reportAt clock.Millis
	// cold counts the sends to a cold upstream.
	cold pace
}

// pace is a token bucket of one token.
type pace struct {
	nextAt float64
}

// take tells whether one more event is within perSecond, and counts it.
func (p *pace) take(now clock.Millis, perSecond float64) bool {
	if perSecond <= 0 || float64(now) < p.nextAt {
		return false
	}
	p.nextAt = float64(now) + 1000/perSecond
	return true
}

func (b *Board) seat(upstream string) *seat {
	s := b.seats[upstream]
	if s == nil {
		if b.seats == nil {
			b.seats = map[string]*seat{}
		}
		s = &seat{}
		b.seats[upstream] = s
	}
	return s
}

// Begin counts a request of so much work that is sent to the upstream.
func (b *Board) Begin(upstream string, work float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seat(upstream)
	s.own++
	s.work += work
}

// Done takes work off that an upstream has done, or that has left it.
func (b *Board) Done(upstream string, work float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seat(upstream)
	s.work = math.Max(0, s.work-work)
}

// End counts a request that has left the upstream.
func (b *Board) End(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seat(upstream).own--
}

// Own returns the work of this instance's requests that is ahead of the upstreams.
func (b *Board) Own() map[string]float32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := map[string]float32{}
	for name, s := range b.seats {
		if s.work >= leastWork {
			work[name] = float32(s.work)
		}
	}
	return work
}

// Tell takes the work of other instances that is ahead of the upstreams.
func (b *Board) Tell(work map[string]float32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = work
}

// Work returns the work of all instances that is ahead of the upstream, as far as it is known.
func (b *Board) Work(upstream string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := float64(b.told[upstream])
	if s := b.seats[upstream]; s != nil {
		work += s.work
	}
	return work
}

// Report notes what an upstream said of its load.
func (b *Board) Report(upstream string, r *request.LoadReport, now clock.Millis) {
	if r == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seat(upstream)
	s.others = math.Max(0, float64(r.Running+r.Waiting-s.own))
	s.reportAt = now
}

// Load estimates the requests that the upstream holds.
func (b *Board) Load(upstream string, now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seats[upstream]
	if s == nil {
		return 0
	}
	age := float64(now - s.reportAt)
	return float64(s.own) + s.others*math.Exp2(-age/reportHalfLife)
}

// TakeCold tells whether this instance may send one more request to a cold upstream, at most perSecond. The first one waits for a
// part of the interval that differs from instance to instance, since many learn of a cold upstream at the same moment.
func (b *Board) TakeCold(upstream string, now clock.Millis, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.seat(upstream).cold
	if p.nextAt == 0 && perSecond > 0 {
		p.nextAt = float64(now) + request.Fraction("cold "+upstream, b.Self)*1000/perSecond
	}
	return p.take(now, perSecond)
}

// Forget drops what is known of an upstream that is gone, once nothing is under way there.
func (b *Board) Forget(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.seats[upstream]; s != nil && s.own == 0 {
		delete(b.seats, upstream)
	}
}
