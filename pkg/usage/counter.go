package usage

import (
	"slices"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// resolution is the precision of the times at which requests are counted, in milliseconds.
	resolution clock.Millis = 10
	// maxEntries bounds the memory of a counter.
	maxEntries = 200_000
)

// WindowCounts has the requests of one window by workspace.
type WindowCounts struct {
	Window int64
	Counts map[string]int64
}

// Counter counts the requests of this instance that upstreams began; it is safe for concurrent use.
type Counter struct {
	Clock clock.Clock
	// Keep is how long requests are kept, in milliseconds.
	Keep clock.Millis

	mu      sync.Mutex
	entries []entry
	// dropped counts the requests that were dropped because there were too many.
	dropped int64
}

// entry has the requests of a workspace that began at about the same time.
type entry struct {
	at        clock.Millis
	workspace string
	count     int64
}

// Add counts a request of a workspace that began now; requests without a workspace don't count.
func (c *Counter) Add(workspace string) {
	if workspace == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	at := now - now%resolution
	for i := len(c.entries) - 1; i >= 0 && c.entries[i].at == at; i-- {
		if c.entries[i].workspace == workspace {
			c.entries[i].count++
			return
		}
	}
	c.trim(now)
	if len(c.entries) >= maxEntries {
		c.dropped++
		return
	}
	c.entries = append(c.entries, entry{at: at, workspace: workspace, count: 1})
}

// trim drops the entries that are too old, once they are half of all; c.mu must be held.
func (c *Counter) trim(now clock.Millis) {
	if len(c.entries) == 0 || now-c.entries[0].at < 2*c.Keep && len(c.entries) < maxEntries {
		return
	}
	first, _ := slices.BinarySearchFunc(c.entries, now-c.Keep, func(e entry, t clock.Millis) int { return int(e.at - t) })
	c.entries = slices.Clone(c.entries[first:])
}

// Windows returns the counts of the windows from first on, where a window has the given length and the true time is the monotonic time
// plus offset.
func (c *Counter) Windows(offset, length clock.Millis, first int64) []WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []WindowCounts
	oldest := clock.Millis(first)*length - offset
	from, _ := slices.BinarySearchFunc(c.entries, oldest, func(e entry, t clock.Millis) int { return int(e.at - t) })
	for _, e := range c.entries[from:] {
		w := int64((e.at + offset) / length)
		if len(out) == 0 || out[len(out)-1].Window != w {
			out = append(out, WindowCounts{Window: w, Counts: map[string]int64{}})
		}
		out[len(out)-1].Counts[e.workspace] += e.count
	}
	return out
}

// Dropped returns the number of requests that weren't counted because there were too many.
func (c *Counter) Dropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}
