package membership

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// downMarks remembers the instances that are not asked for a while; it is safe for concurrent use.
type downMarks struct {
	mu    sync.Mutex
	until map[string]clock.Millis
}

func (d *downMarks) mark(member string, until clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = map[string]clock.Millis{}
	}
	d.until[member] = until
}

func (d *downMarks) is(member string, now clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, marked := d.until[member]
	if marked && now >= until {
		delete(d.until, member)
		return false
	}
	return marked
}
