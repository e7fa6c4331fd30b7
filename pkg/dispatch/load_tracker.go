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
	// cold limits the rate of sends while the upstream is cold.
	cold coldLimiter
}

const (
	// coldWindow is the time after the start of an interval in which the request of that interval may be sent. It bounds what all instances
	// together send at once after a pause, since each has intervals of its own.
	coldWindow clock.Millis = 500
	// minColdSpacing is the least time between two requests, as a fraction of the interval.
	minColdSpacing = 0.8
)

// coldLimiter allows one request in each interval of a cold time.
type coldLimiter struct {
	// since and until are the beginning of the cold time, as far as known here, and its end.
	since, until clock.Millis
	nextAt       float64
}

// observe notes the end of the cold time in which the upstream is.
func (l *coldLimiter) observe(now, until clock.Millis) {
	if now >= l.until {
		l.since = now
	}
	l.until = until
}

// allow takes the request of the current interval if it is left, and reports whether it did. Intervals begin at the phase, which is a
// fraction of one, and those that began before the cold time don't count: many instances learn of it at the same moment.
func (l *coldLimiter) allow(now clock.Millis, perSecond, phase float64) bool {
	if perSecond <= 0 || float64(now) < l.nextAt {
		return false
	}
	interval := float64(clock.Second) / perSecond
	start := (math.Floor(float64(now)/interval-phase) + phase) * interval
	if start < float64(l.since) || float64(now)-start > float64(coldWindow) {
		return false
	}
	l.nextAt = max(start+interval, float64(now)+minColdSpacing*interval)
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

// AllowCold reports whether this instance may send one more request to an upstream that is cold until a time, at most perSecond of them.
func (l *LoadTracker) AllowCold(upstream string, now, until clock.Millis, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := &l.upstream(upstream).cold
	limiter.observe(now, until)
	return limiter.allow(now, perSecond, request.HashFraction("cold "+upstream, l.Self))
}

// Forget drops the state of a removed upstream, unless requests are still in flight there.
func (l *LoadTracker) Forget(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.upstreams[upstream]; s != nil && s.ownRequests == 0 {
		delete(l.upstreams, upstream)
	}
}
