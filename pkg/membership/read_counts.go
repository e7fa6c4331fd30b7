package membership

import (
	"maps"
	"sync"

	"carawayknot.example/carawayknot/pkg/archive"
)

// readCounts counts reads by topic; it is safe for concurrent use.
type readCounts struct {
	mu      sync.Mutex
	byTopic map[archive.TopicName]int64
}

func (c *readCounts) add(topic archive.TopicName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byTopic == nil {
		c.byTopic = map[archive.TopicName]int64{}
	}
	c.byTopic[topic]++
}

func (c *readCounts) all() map[archive.TopicName]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byTopic)
}
