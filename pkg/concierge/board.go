package concierge

import (
	"math"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
)

// reportHalfLife is the age at which a load that came with an answer counts half, in milliseconds; many instances send, so
// that a report says little after some answers' time.
const reportHalfLife = 1500.0

// Board knows the load of upstreams from this instance's own requests and from what came with answers.
// It is safe for concurrent use.
type Board struct {
	mu    sync.Mutex
	seats map[string]*seat
}

// seat is what is known of one upstream.
type seat struct {
	own int
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

// Begin counts a request that is sent to the upstream.
func (b *Board) Begin(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seat(upstream).own++
}

// End counts a request that has left the upstream.
func (b *Board) End(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seat(upstream).own--
}

// Report notes what an upstream said of its load.
func (b *Board) Report(upstream string, r *enquiry.LoadReport, now clock.Millis) {
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

// TakeCold tells whether this instance may send one more request to a cold upstream, at most perSecond.
func (b *Board) TakeCold(upstream string, now clock.Millis, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seat(upstream).cold.take(now, perSecond)
}

// Forget drops what is known of an upstream that is gone, once nothing is under way there.
func (b *Board) Forget(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.seats[upstream]; s != nil && s.own == 0 {
		delete(b.seats, upstream)
	}
}
