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

func (d *cooldownSet) start(member string, until clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = map[string]clock.Millis{}
	}
	d.until[member] = until
}

func (d *cooldownSet) active(member string, now clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, found := d.until[member]
	if found && now >= until {
		delete(d.until, member)
		return false
	}
	return found
}
