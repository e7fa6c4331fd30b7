package dispatch

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// ColdStartDetector infers from load reports, refusals and times to the first token which upstreams are in cold start, and the
// concurrency limits of warm ones; it is not safe for concurrent use.
type ColdStartDetector struct {
	upstreams map[string]*coldStartState
	// usualFirstToken is the moving average of the time to the first token over all warm upstreams, in milliseconds, by version, or by
	// upstream for samples without a version.
	usualFirstToken map[string]float64
	// startsSampled is true once samples are taken at the first token, so that a slow answer is not counted again when it completes.
	startsSampled bool
}

// RecordLoad records a load report that was read at the given monotonic time; a higher incarnation resets the upstream to cold.
func (d *ColdStartDetector) RecordLoad(name string, incarnation int64, r backoffice.LoadReport, at clock.Millis) {
	u := d.state(name)
	if incarnation > u.incarnation {
		u.restart(incarnation)
	}
	u.recordReport(&r, at)
}

// RecordSample records the outcome of one attempt; cancelled attempts are ignored.
func (d *ColdStartDetector) RecordSample(s request.Sample) {
	if s.Upstream == "" || s.Result == request.ResultCancelled {
		return
	}
	u := d.state(s.Upstream)
	key := string(s.Version)
	if key == "" {
		key = s.Upstream
	}
	usual := d.usualFirstToken[key]
	switch s.Result {
	case request.ResultStarted:
		d.startsSampled = true
		u.recordStart(float64(s.FirstToken), usual, s.At)
		return
	case request.ResultComplete:
		u.recordAnswer(float64(s.FirstToken), usual, s.At, d.startsSampled)
	default:
		u.recordFailure(s.At)
		return
	}
	if !u.cold {
		d.updateUsualFirstToken(key, usual, float64(s.FirstToken))
	}
}

func (d *ColdStartDetector) updateUsualFirstToken(key string, usual, firstToken float64) {
	if d.usualFirstToken == nil {
		d.usualFirstToken = map[string]float64{}
	}
	if usual == 0 {
		usual = firstToken
	}
	d.usualFirstToken[key] = usual + usualFirstTokenWeight*(firstToken-usual)
}

// Cold reports whether the upstream is considered to be in cold start, which includes unknown ones.
func (d *ColdStartDetector) Cold(name string) bool {
	u := d.upstreams[name]
	return u == nil || u.cold
}

// WarmLimit returns the limit of concurrent requests over all instances at the upstream while it is warm.
func (d *ColdStartDetector) WarmLimit(name string) int {
	u := d.upstreams[name]
	if u == nil {
		return initialWarmLimit
	}
	return min(max(1, int(u.limit)), u.maxLimit())
}

// WarmCapacity returns WarmLimit, or an overcommitted limit while the upstream reports that it is far from full.
func (d *ColdStartDetector) WarmCapacity(name string) int {
	// Traffic is uneven over the instances, so that some would reach their shares while others leave theirs unused. A warm upstream
	// that gets slightly too much refuses the excess, which lowers the limit.
	limit := d.WarmLimit(name)
	if u := d.upstreams[name]; u != nil && u.reported && float64(u.inFlight) < overcommitThreshold*float64(limit) {
		return int(overcommitFactor * float64(limit))
	}
	return limit
}

// Forget drops the state of a removed upstream.
func (d *ColdStartDetector) Forget(name string) {
	delete(d.upstreams, name)
	delete(d.usualFirstToken, name)
}

func (d *ColdStartDetector) state(name string) *coldStartState {
	u := d.upstreams[name]
	if u == nil {
		if d.upstreams == nil {
			d.upstreams = map[string]*coldStartState{}
		}
		u = &coldStartState{cold: true, limit: initialWarmLimit}
		d.upstreams[name] = u
	}
	return u
}
