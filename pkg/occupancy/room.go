package occupancy

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// peakTime is how long the largest number of running requests counts.
	peakTime = 3 * clock.Second
	// freeShare is the share of the usable slots up to which running requests show that others are free.
	freeShare = 0.75
)

// usable returns the slots that all instances together may use. Where requests wait although slots are free, memory is the limit.
func (k *upstream) usable(u *catalogue.Upstream, now clock.Millis) int {
	slots := slotsOf(u)
	if k.room > 0 {
		// More is tried only once the requests have risen to what there was room for.
		if from := max(k.roomAt, k.rampAt+rampTime); now > from {
			k.room += probeShare * k.maxRejections() * (now - from).Seconds()
			k.roomAt = now
		}
		if k.room < float64(slots) {
			slots = int(k.room)
		} else {
			k.room = 0
		}
	}
	return max(1, withoutReserve(slots))
}

// observeLoad learns how much room there is from a load report, which is late: requests that wait, or one that was rejected, show that the
// running ones take all of it.
func (k *upstream) observeLoad(u *catalogue.Upstream, room request.Room, now clock.Millis) {
	if room.Load == nil {
		return
	}
	if room.Load.Running >= k.peak || now-k.peakAt > peakTime {
		k.peak, k.peakAt = room.Load.Running, now
	}
	if room.Load.Waiting == 0 && !room.Rejected {
		if now < k.fullUntil {
			k.fullAt, k.fullUntil, k.rampAt = 0, now, now
		}
		if float64(room.Load.Running) <= freeShare*float64(k.usable(u, now)) {
			k.freeAt = now
			k.liftBound(now)
		}
		return
	}
	k.freeAt = 0
	k.fullAt = now
	k.setFull(now, k.service.fullTime())
	k.running = max(1, k.peak)
	k.learnRoom(u, float64(k.running), now)
}

// liftBound lets the requests rise to this instance's part again, because slots are free.
func (k *upstream) liftBound(now clock.Millis) {
	if k.hasBound && now >= k.rejectedAt+k.liftAfter {
		k.hasBound, k.rampAt, k.rampBase = false, now, k.count(now)
	}
}

// learnRoom takes the number of requests that ran at an upstream that was full.
func (k *upstream) learnRoom(u *catalogue.Upstream, running float64, now clock.Millis) {
	if running < float64(slotsOf(u)) {
		k.room, k.roomAt = running, now
	}
}
