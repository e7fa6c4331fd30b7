package membership

import (
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// initialStorePause is how long the store is not called after a failure, before jitter and in milliseconds; it doubles up to
	// maxStorePause. What the store confirms after its return must be known within 3 s.
	initialStorePause clock.Millis = 250
	maxStorePause     clock.Millis = 1200
	recoveryFactor                 = 5
)

// storeBackoff spaces the calls to a failing store. All topics share one pause, but a topic that the store refuses gets a pause of
// its own. It is safe for concurrent use.
type storeBackoff struct {
	mu     sync.Mutex
	pauses map[archive.TopicName]storePause
}

// storePause is the pause between calls.
type storePause struct {
	pause clock.Millis
	until clock.Millis
}

// allTopics is the key of the pause that all topics share.
const allTopics archive.TopicName = ""

// remaining returns how long the store must not be called for a topic.
func (b *storeBackoff) remaining(topic archive.TopicName, now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.pauses[allTopics].until-now, b.pauses[topic].until-now)
}

// mayCall reports whether the store may be called for a topic; patient callers leave it alone recoveryFactor times as long.
func (b *storeBackoff) mayCall(topic archive.TopicName, now clock.Millis, patient bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range []archive.TopicName{allTopics, topic} {
		p := b.pauses[key]
		if now < p.until || patient && now < p.until+(recoveryFactor-1)*p.pause {
			return false
		}
	}
	return true
}

// failing reports whether the last call for a topic has failed, or one for all topics.
func (b *storeBackoff) failing(topic archive.TopicName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pauses[allTopics].pause > 0 || b.pauses[topic].pause > 0
}

// record updates the pauses by the outcome of a call.
func (b *storeBackoff) record(topic archive.TopicName, err error, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil || errors.Is(err, archive.ErrTrimmed) {
		delete(b.pauses, topic)
		delete(b.pauses, allTopics)
		return
	}
	if !errors.Is(err, archive.ErrRefused) {
		topic = allTopics
	}
	p := b.pauses[topic]
	p.pause = min(max(2*p.pause, initialStorePause), maxStorePause)
	p.until = now + jitter(p.pause)
	if b.pauses == nil {
		b.pauses = map[archive.TopicName]storePause{}
	}
	b.pauses[topic] = p
}

// jitter returns a random time from a half of d to d, so that instances that failed together don't return together.
func jitter(d clock.Millis) clock.Millis { return d/2 + rand.N(d/2+1) }
