package dispatch

import (
	"math"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// reportHalfLifeMillis is the half-life of a load report that came with an answer. It is short because many instances send to the
// same upstream, so that a report is outdated after a few answers.
const reportHalfLifeMillis = 1500.0

// minWorkTokens is the amount below which work counts as none, because floating-point sums leave rounding errors.
const minWorkTokens = 1

// LoadTracker estimates the load of upstreams from this instance's requests, from the work that peers share and from load reports
// in answers; it is safe for concurrent use.
type LoadTracker struct {
	// Self is the name of this instance; it sets the phase of its sends to cold upstreams.
	Self string

	mu        sync.Mutex
	upstreams map[string]*upstreamLoad
	// peerWork is the pending work of all other instances, by upstream and in tokens of the largest model.
	peerWork map[string]float32
}

// upstreamLoad is the load of one upstream.
type upstreamLoad struct {
	// ownRequests counts this instance's requests in flight.
	ownRequests int
	// ownWork is the work of those requests whose answer has not begun, in tokens of the largest model.
	ownWork float64
	// otherRequests counts the requests of other instances as of reportedAt, according to the upstream's load report.
	otherRequests float64
	reportedAt    clock.Millis
	// coldLimiter limits the rate of sends while the upstream is cold.
	coldLimiter intervalLimiter
}

// intervalLimiter is a token bucket with a capacity of one token.
type intervalLimiter struct {
	nextAt float64
}

// allow takes the token if it is available at a rate of perSecond, and reports whether it did.
func (l *intervalLimiter) allow(now clock.Millis, perSecond float64) bool {
	if perSecond <= 0 || float64(now) < l.nextAt {
		return false
	}
	l.nextAt = float64(now) + 1000/perSecond
	return true
}

func (l *LoadTracker) upstream(upstream string) *upstreamLoad {
	s := l.upstreams[upstream]
	if s == nil {
		if l.upstreams == nil {
			l.upstreams = map[string]*upstreamLoad{}
		}
		s = &upstreamLoad{}
		l.upstreams[upstream] = s
	}
	return s
}

// StartRequest records a request sent to the upstream, with its work in tokens of the largest model.
func (l *LoadTracker) StartRequest(upstream string, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.upstream(upstream)
	s.ownRequests++
	s.ownWork += work
}

// SubtractWork removes pending work, in tokens of the largest model, once the answer begins or the attempt ends.
func (l *LoadTracker) SubtractWork(upstream string, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.upstream(upstream)
	s.ownWork = math.Max(0, s.ownWork-work)
}

// EndRequest records the end of a request that StartRequest recorded.
func (l *LoadTracker) EndRequest(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstream(upstream).ownRequests--
}

// OwnWork returns the pending work of this instance's requests by upstream, in tokens of the largest model.
func (l *LoadTracker) OwnWork() map[string]float32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	work := map[string]float32{}
	for name, s := range l.upstreams {
		if s.ownWork >= minWorkTokens {
			work[name] = float32(s.ownWork)
		}
	}
	return work
}

// SetPeerWork replaces the pending work of all other instances by upstream, in tokens of the largest model.
func (l *LoadTracker) SetPeerWork(work map[string]float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerWork = work
}

// Work returns the known pending work of all instances at the upstream, in tokens of the largest model.
func (l *LoadTracker) Work(upstream string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	work := float64(l.peerWork[upstream])
	if s := l.upstreams[upstream]; s != nil {
		work += s.ownWork
	}
	return work
}

// Report records the load report of an upstream; a nil report is ignored.
func (l *LoadTracker) Report(upstream string, r *request.LoadReport, now clock.Millis) {
	if r == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.upstream(upstream)
	s.otherRequests = math.Max(0, float64(r.Running+r.Waiting-s.ownRequests))
	s.reportedAt = now
}

// Load estimates the number of requests at the upstream; the part that is due to other instances decays with the age of the report.
func (l *LoadTracker) Load(upstream string, now clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.upstreams[upstream]
	if s == nil {
		return 0
	}
	age := float64(now - s.reportedAt)
	return float64(s.ownRequests) + s.otherRequests*math.Exp2(-age/reportHalfLifeMillis)
}

// AllowCold reports whether this instance may send one more request to a cold upstream, at most perSecond of them.
func (l *LoadTracker) AllowCold(upstream string, now clock.Millis, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := &l.upstream(upstream).coldLimiter
	if limiter.nextAt == 0 && perSecond > 0 {
		// Many instances learn of a cold upstream at the same moment; each starts at its own phase of the interval, so that they don't
		// all send at once.
		limiter.nextAt = float64(now) + request.HashFraction("cold "+upstream, l.Self)*1000/perSecond
	}
	return limiter.allow(now, perSecond)
}

// Forget drops the state of a removed upstream, unless requests are still in flight there.
func (l *LoadTracker) Forget(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.upstreams[upstream]; s != nil && s.ownRequests == 0 {
		delete(l.upstreams, upstream)
	}
}
