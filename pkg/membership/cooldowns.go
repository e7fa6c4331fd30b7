package membership

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// cooldownSet keeps the instances that must not be called for a while; it is safe for concurrent use.
type cooldownSet struct {
	mu    sync.Mutex
	until map[string]clock.Millis
}

func (c *cooldownSet) start(member string, until clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until == nil {
		c.until = map[string]clock.Millis{}
	}
	c.until[member] = until
}

func (c *cooldownSet) active(member string, now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, found := c.until[member]
	if found && now >= until {
		delete(c.until, member)
		return false
	}
	return found
}
