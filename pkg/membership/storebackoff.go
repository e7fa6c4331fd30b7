package membership

import (
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// initialStorePause is how long the store is not called after the second failure in a row, in milliseconds; it doubles up to
	// maxStorePause. A follower pauses 300 ms by itself, and what the store confirms after its return must be known within 3 s.
	initialStorePause clock.Millis = 500
	maxStorePause     clock.Millis = 1200
)

// storeBackoff spaces the calls to a failing store. All topics share one pause, but a topic that the store refuses gets a pause of
// its own. It is safe for concurrent use.
type storeBackoff struct {
	mu     sync.Mutex
	pauses map[archive.TopicName]storePause
}

// storePause is the pause between calls; it is zero after the first failure.
type storePause struct {
	failed bool
	pause  clock.Millis
	until  clock.Millis
}

// allTopics is the key of the pause that all topics share.
const allTopics archive.TopicName = ""

// remaining returns how long the store must not be called for a topic.
func (b *storeBackoff) remaining(topic archive.TopicName, now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.pauses[allTopics].until-now, b.pauses[topic].until-now)
}

// record updates the pauses by the outcome of a call.
func (b *storeBackoff) record(topic archive.TopicName, err error, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil || archive.MustReload(err) {
		delete(b.pauses, topic)
		delete(b.pauses, allTopics)
		return
	}
	if !errors.Is(err, archive.ErrRefused) {
		topic = allTopics
	}
	p := b.pauses[topic]
	switch {
	case !p.failed:
		p.failed = true
	case p.pause == 0:
		p.pause = initialStorePause
	default:
		p.pause = min(2*p.pause, maxStorePause)
	}
	p.until = now + p.pause
	if b.pauses == nil {
		b.pauses = map[archive.TopicName]storePause{}
	}
	b.pauses[topic] = p
}
