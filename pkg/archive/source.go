package archive

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

// TopicName identifies a topic independently of its name on the platform.
type TopicName string

// The topics that an instance follows.
const (
	TopicOperations TopicName = "Operations"
	TopicListings   TopicName = "Listings"
	TopicStatuses   TopicName = "Statuses"
	TopicMembers    TopicName = "Members"
	TopicQuarantine TopicName = "Quarantine"
)

// Record is a stored record of a topic; an empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Source reads topics, either from the store or from another instance that follows it.
type Source interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic TopicName) (Batch[Record], error)
	// Read returns all records from a position on, and waits for the first one for up to wait; it can fail with ErrTrimmed and ErrBacklog.
	Read(ctx context.Context, topic TopicName, from int64, wait clock.Millis) (Batch[Record], error)
}

// tailRecords is how many records of a topic are cached for other instances; one that lags further behind reads the newest
// record of each key.
const tailRecords = 256

// Cache keeps the topics that this instance follows, for other instances to read; it is safe for concurrent use.
type Cache struct {
	mu     sync.Mutex
	topics map[TopicName]*cachedTopic
	// era is the newest era of the store that was seen in any topic, and eraEnded is closed and replaced when it rises.
	era      int64
	eraEnded chan struct{}
}

type cachedTopic struct {
	newest map[string]Record
	// tail has the records just before position next, without gaps.
	tail []Record
	next int64
	// era is that of the positions.
	era  int64
	asOf clock.Millis
	// changed is closed when new records arrive or the topic was read anew.
	changed chan struct{}
}

// Update stores the result of a read. A batch that is Whole replaces the topic; another one is ignored when it is of another era,
// because its positions don't follow those of the cache.
func (c *Cache) Update(topic TopicName, b Batch[Record]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topics[topic]
	c.noteEra(b)
	if !b.Whole && t != nil && b.IsOtherEra(t.era) {
		return
	}
	if t == nil || b.Whole {
		replacement := &cachedTopic{newest: map[string]Record{}, next: b.Next, era: b.Era, changed: make(chan struct{})}
		if b.Era == 0 && t != nil {
			replacement.era = t.era
		}
		if t != nil {
			close(t.changed)
		}
		if c.topics == nil {
			c.topics = map[TopicName]*cachedTopic{}
		}
		t = replacement
		c.topics[topic] = t
	}
	for _, r := range b.Items {
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		} else {
			t.newest[r.Key] = r
		}
	}
	if !b.Whole {
		t.tail = append(t.tail, b.Items...)
		if b.Next-t.next != int64(len(b.Items)) {
			// Records that can't be read have positions too; with such gaps, positions can't be mapped to the tail.
			t.tail = nil
		}
		if len(t.tail) > tailRecords {
			t.tail = append([]Record(nil), t.tail[len(t.tail)-tailRecords:]...)
		}
	}
	t.next, t.asOf = b.Next, b.AsOf
	if len(b.Items) > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// noteEra notes the era of a batch; c.mu must be held.
func (c *Cache) noteEra(b Batch[Record]) {
	if b.Era > c.era && len(c.topics) > 0 && c.eraEnded != nil {
		close(c.eraEnded)
		c.eraEnded = nil
	}
	if b.Era > c.era || b.Whole && b.Era != 0 {
		c.era = b.Era
	}
}

// EraEnded returns a channel that is closed when a later era of the store is seen in any topic.
func (c *Cache) EraEnded() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.eraEnded == nil {
		c.eraEnded = make(chan struct{})
	}
	return c.eraEnded
}

// Newest returns the newest record of each key, and whether the topic has been read.
func (c *Cache) Newest(topic TopicName) (Batch[Record], bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topics[topic]
	if t == nil {
		return Batch[Record]{}, false
	}
	b := Batch[Record]{Whole: true, Next: t.next, AsOf: t.asOf, Era: t.era}
	for _, r := range t.newest {
		b.Items = append(b.Items, r)
	}
	return b, true
}

// Era returns the newest era of the store that was seen in any topic.
func (c *Cache) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// TopicEra returns the era of the positions of a topic.
func (c *Cache) TopicEra(topic TopicName) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.topics[topic]; t != nil {
		return t.era
	}
	return 0
}

// Position returns the position behind what was read of a topic, and 0 if nothing was.
func (c *Cache) Position(topic TopicName) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.topics[topic]; t != nil {
		return t.next
	}
	return 0
}

// ErrBehind means that a cache has not reached the requested position.
var ErrBehind = errors.New("the topic has not been read up to this position")

// ReadFrom returns the records from a position of an era on and a channel that is closed at the next ones, or ErrTrimmed or ErrBehind;
// the channel is nil if the topic is not followed. The era is 0 when the reader doesn't know it.
func (c *Cache) ReadFrom(topic TopicName, era, from int64) (Batch[Record], <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topics[topic]
	if t == nil {
		return Batch[Record]{}, nil, ErrBehind
	}
	if era != 0 && era < t.era {
		return Batch[Record]{}, nil, ErrTrimmed
	}
	if era > t.era || from > t.next {
		return Batch[Record]{}, t.changed, ErrBehind
	}
	if from < t.next-int64(len(t.tail)) {
		return Batch[Record]{}, nil, ErrTrimmed
	}
	b := Batch[Record]{Next: t.next, AsOf: t.asOf, Era: t.era}
	b.Items = append(b.Items, t.tail[int64(len(t.tail))-(t.next-from):]...)
	return b, t.changed, nil
}
