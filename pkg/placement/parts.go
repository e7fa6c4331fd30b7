package placement

import "carawayknot.example/carawayknot/pkg/clock"

// maxParts is the number of parts after which the rare ones are dropped.
const maxParts = 4096

// partTable counts the prompts of this instance by the parts that they share.
type partTable struct {
	parts map[uint64]rate
	// away is the share of the prompts that were not sent to a home.
	away mean
}

// add counts a prompt with these shared parts.
func (t *partTable) add(chain []part, now clock.Millis) {
	if t.parts == nil {
		t.parts = map[uint64]rate{}
	}
	if len(t.parts) >= maxParts {
		t.trim(now)
	}
	for _, part := range chain {
		r := t.parts[part.hash]
		r.add(1, now)
		t.parts[part.hash] = r
	}
}

// trim drops the parts that were hardly used lately, or all of them if that leaves too many.
func (t *partTable) trim(now clock.Millis) {
	for hash, r := range t.parts {
		if now-r.at > rateTime {
			delete(t.parts, hash)
		}
	}
	if len(t.parts) >= maxParts/2 {
		clear(t.parts)
	}
}

// rate returns the prompts of this instance with a part, per millisecond. A single prompt says too little of how many others get.
func (t *partTable) rate(hash uint64, now clock.Millis) float64 {
	r, known := t.parts[hash]
	if !known || r.sum*fade(now-r.at, rateTime) < minSeen {
		return 0
	}
	return r.per(now)
}

// minSeen is the number of recent prompts with a part from which its rate is estimated.
const minSeen = 1.5

// awayShare returns the share of the prompts that are not sent to a home.
func (t *partTable) awayShare() float64 { return max(t.away.value, minAwayShare) }

// minAwayShare is the least share of the prompts that are taken not to be sent to a home.
const minAwayShare = 0.05

// placed counts a prompt that was sent to a home or elsewhere.
func (t *partTable) placed(atHome bool) {
	if atHome {
		t.away.add(0)
		return
	}
	t.away.add(1)
}
