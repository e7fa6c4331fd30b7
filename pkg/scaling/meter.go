package scaling

import (
	"context"
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// The keys under which instances exchange their demand, each followed by the name of the service, and the key that counts the instances.
const (
	requestsItem = "demand requests "
	underWayItem = "demand at upstreams "
	readingItem  = "demand reading "
	lateItem     = "demand late "
	reporterItem = "demand reporter"
)

const (
	// peersTTL is how long the demand at the other instances counts; they report several times in it.
	peersTTL = 2 * clock.Second
	// goneAfter is the time after which instances that are listed but don't report are taken for gone.
	goneAfter = 300 * clock.Second
)

// Meter is a filter that measures the demand for the services whose number of upstreams may be ordered; it comes right before the filter
// that sends, and its exported fields must be set before the first call.
type Meter struct {
	Clock clock.Clock
	// ReadingTime returns the time that an upstream takes to read the prompt of a call, in milliseconds.
	ReadingTime func(c *request.Call) float64

	mu  sync.Mutex
	own map[string]*ownDemand
	// peers has the items of the other instances, as of peersAt.
	peers   map[string]float32
	peersAt clock.Millis
	// expected is the number of instances that report, lately as of expectedAt, and listed the number of those that are listed.
	expected, listed int
	expectedAt       clock.Millis
}

// ownDemand is the demand at this instance.
type ownDemand struct {
	requests, reading, late decayingRate
	underWay                decayingMean
}

// Filter counts the call while it is at its upstream.
func (m *Meter) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Pool == nil || c.Pool.Scaling == nil {
		return next.Handle(ctx, c)
	}
	service, sentAt := c.Pool.Name, m.Clock.Now()
	m.start(service, c)
	var answered sync.Once
	begun := func() {
		answered.Do(func() {
			now := m.Clock.Now()
			if target := c.Route.Target; target > 0 && now-sentAt > target {
				m.update(service, func(d *ownDemand) { d.late.add(now, 1) })
			}
		})
	}
	onFirstEvent := c.OnFirstEvent
	c.OnFirstEvent = func() {
		begun()
		if onFirstEvent != nil {
			onFirstEvent()
		}
	}
	defer func() { m.update(service, func(d *ownDemand) { d.underWay.add(m.Clock.Now(), -1) }) }()
	err := next.Handle(ctx, c)
	begun()
	return err
}

func (m *Meter) start(service string, c *request.Call) {
	now, reading := m.Clock.Now(), m.ReadingTime(c)
	m.update(service, func(d *ownDemand) {
		d.underWay.add(now, 1)
		// A retry is no further demand; in overload most of them are of requests that were declined.
		if len(c.Excluded) == 0 {
			d.requests.add(now, 1)
			d.reading.add(now, reading/float64(clock.Second))
		}
	})
}

func (m *Meter) update(service string, change func(d *ownDemand)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.own[service]
	if d == nil {
		if m.own == nil {
			m.own = map[string]*ownDemand{}
		}
		d = &ownDemand{}
		m.own[service] = d
	}
	change(d)
}

// AddOwn adds the demand at this instance to the items that it shares with the others.
func (m *Meter) AddOwn(items map[string]float32) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	items[reporterItem] = 1
	for service := range m.own {
		d := m.ownAt(service, now)
		items[requestsItem+service] = float32(d.Requests)
		items[underWayItem+service] = float32(d.UnderWay)
		items[readingItem+service] = float32(d.Reading)
		items[lateItem+service] = float32(d.Late)
	}
}

// SetPeers takes the sums of the items of the other instances; nil means that they aren't known.
func (m *Meter) SetPeers(items map[string]float32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = map[string]float32{}
	m.peersAt = m.Clock.Now()
	for key, n := range items {
		if strings.HasPrefix(key, "demand ") {
			m.peers[key] = n
		}
	}
}

// Demand returns the demand for a service at all instances that report.
func (m *Meter) Demand(service string) Demand {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.ownAt(service, now)
	if now-m.peersAt > peersTTL {
		return d
	}
	d.Requests += float64(m.peers[requestsItem+service])
	d.UnderWay += float64(m.peers[underWayItem+service])
	d.Reading += float64(m.peers[readingItem+service])
	d.Late += float64(m.peers[lateItem+service])
	return d
}

func (m *Meter) ownAt(service string, now clock.Millis) Demand {
	d := m.own[service]
	if d == nil {
		return Demand{}
	}
	return Demand{
		Requests: d.requests.value(now), UnderWay: d.underWay.value(now), Reading: d.reading.value(now), Late: d.late.value(now),
	}
}

// Reporting returns the share of the instances that report their demand, from the number of those that are listed. It is to be called
// regularly.
func (m *Meter) Reporting(listed int) float64 {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	reporters := 1
	if now-m.peersAt <= peersTTL {
		reporters += int(m.peers[reporterItem])
	}
	if listed > m.listed {
		m.expected, m.expectedAt = listed, now
	}
	m.listed = listed
	if reporters >= m.expected || now-m.expectedAt > goneAfter {
		m.expected, m.expectedAt = reporters, now
	}
	m.expected = max(1, min(m.expected, listed))
	return min(1, float64(reporters)/float64(m.expected))
}
