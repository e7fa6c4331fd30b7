package membership

import (
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// firstRest is how long the store is not asked after a second failure in a row, in milliseconds; it doubles up to mostRest.
	// A follower pauses for 300 ms by itself, and what the store confirms after its return must be known 3 s later.
	firstRest clock.Millis = 500
	mostRest  clock.Millis = 1200
)

// outage spaces the calls to a store that doesn't answer; all topics share the pauses, but for those that the store refuses by an
// answer. It is safe for concurrent use.
type outage struct {
	mu    sync.Mutex
	rests map[archive.TopicName]storeRest
}

// storeRest is a pause between calls; it is zero after the first failure.
type storeRest struct {
	failed bool
	pause  clock.Millis
	until  clock.Millis
}

// allTopics is the key of what all topics share.
const allTopics archive.TopicName = ""

// left returns how long the store is not to be asked for a topic.
func (o *outage) left(topic archive.TopicName, now clock.Millis) clock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(0, o.rests[allTopics].until-now, o.rests[topic].until-now)
}

// note takes the outcome of a call.
func (o *outage) note(topic archive.TopicName, err error, now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil || errors.Is(err, archive.ErrTrimmed) {
		delete(o.rests, topic)
		delete(o.rests, allTopics)
		return
	}
	if !errors.Is(err, archive.ErrRefused) {
		topic = allTopics
	}
	r := o.rests[topic]
	switch {
	case !r.failed:
		r.failed = true
	case r.pause == 0:
		r.pause = firstRest
	default:
		r.pause = min(2*r.pause, mostRest)
	}
	r.until = now + r.pause
	if o.rests == nil {
		o.rests = map[archive.TopicName]storeRest{}
	}
	o.rests[topic] = r
}
