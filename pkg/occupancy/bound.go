package occupancy

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// rampTime is the time in which the requests at an upstream that has just started, that this instance has just learned of, or that was full
	// may rise to this instance's part. Other instances may still have more there than their parts.
	rampTime = 3 * clock.Second
	// minFullTime and maxFullTime bound how long an upstream counts as full after a report of waiting requests or a rejection, unless another
	// report says otherwise; between them it is fullRequests times that of a request.
	minFullTime  clock.Millis = 100
	maxFullTime               = clock.Second
	fullRequests              = 2
	// minLiftAfter and maxLiftAfter bound how long the bound of an instance that was rejected holds although slots are free; it doubles with each
	// rejection within rejectionMemory of the one before, since the parts of the instances don't add up then.
	minLiftAfter    clock.Millis = 500
	maxLiftAfter                 = 16 * clock.Second
	rejectionMemory              = 20 * clock.Second
	// probeShare is the share of the rejections that an upstream bears which all instances together may cause by trying whether there is room
	// again.
	probeShare = 0.5
)

// allowance returns the requests that this instance may have at a fragile upstream. The caller must hold mu.
func (s *Slots) allowance(u *catalogue.Upstream, k *upstream, now clock.Millis) float64 {
	own, holders := s.part(u, k, now)
	allowed := float64(own)
	if since := max(0, now-k.rampAt); since < rampTime {
		allowed = min(allowed, max(1, float64(k.rampBase)+allowed*float64(since)/float64(rampTime)))
	}
	if k.hasBound {
		perSecond := probeShare * k.maxRejections() / float64(holders)
		k.bound += perSecond * (now - k.boundAt).Seconds()
		k.boundAt = now
		k.hasBound = k.bound < allowed
		allowed = min(allowed, k.bound)
	}
	return allowed
}

// maxRejections returns the rejections a second that the upstream bears.
func (k *upstream) maxRejections() float64 {
	if k.statement.fragile {
		return k.statement.maxRejections
	}
	return k.service.maxRejections
}

// setFull closes the upstream for a time.
func (k *upstream) setFull(now, lasting clock.Millis) {
	if until := now + lasting; until > k.fullUntil {
		k.fullUntil, k.rampAt, k.rampBase = until, until, k.count(now)
	}
}

// bind bounds this instance after the rejection of a request that was sent at sentAt: there is less room than its part. Requests that were under
// way at the last rejection count as one with it. The caller must hold mu.
func (s *Slots) bind(u *catalogue.Upstream, k *upstream, sentAt, now clock.Millis) {
	k.bound = min(s.allowance(u, k, now), float64(k.count(now)))
	k.boundAt, k.hasBound = now, true
	switch {
	case k.rejectedAt == 0 || now-k.rejectedAt > rejectionMemory:
		k.liftAfter = minLiftAfter
	case sentAt > k.rejectedAt:
		k.liftAfter = min(2*k.liftAfter, maxLiftAfter)
	}
	k.rejectedAt = now
}
