package membership

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// cooldownSet keeps the instances that must not be called for a while; it is safe for concurrent use.
type cooldownSet struct {
	mu    sync.Mutex
	until map[string]clock.Millis
	// lengths has the last length of the cooldowns that grow.
	lengths map[string]clock.Millis
}

func (c *cooldownSet) start(member string, until clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set(member, until)
}

// extend starts a cooldown of the first length, or of twice its last one up to limit.
func (c *cooldownSet) extend(member string, now, first, limit clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lengths == nil {
		c.lengths = map[string]clock.Millis{}
	}
	c.lengths[member] = min(max(2*c.lengths[member], first), limit)
	c.set(member, now+c.lengths[member])
}

// reset ends the cooldown of a member that was reached.
func (c *cooldownSet) reset(member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.until, member)
	delete(c.lengths, member)
}

// set sets the end of a cooldown; mu must be held.
func (c *cooldownSet) set(member string, until clock.Millis) {
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
