package detour

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// minUnreached is the number of upstreams of a service that this instance fails to reach one after the other until it counts as cut off
	// from the service, and unreachedShare the same as a share of the listed ones; the larger number counts.
	minUnreached   = 2
	unreachedShare = 0.34
	// avoidInstance is how long an instance that didn't take a call of a service gets no further one, in milliseconds.
	avoidInstance clock.Millis = 500
	// probePause is the time between two attempts to connect to an upstream of a service that isn't reached, in milliseconds, and
	// probeTimeout bounds each.
	probePause   clock.Millis = 400
	probeTimeout clock.Millis = 300
	// probesToReturn is the number of attempts in a row that must succeed until calls use the own links again.
	probesToReturn = 2
)

// Detours keeps which services this instance is cut off from; it is safe for concurrent use. Its exported fields must be set before use.
type Detours struct {
	Clock clock.Clock
	Log   logr.Logger
	// Self is the name of this instance, and Members returns all instances.
	Self    string
	Members func() []catalogue.Member
	// Upstreams returns the listed upstreams of a service.
	Upstreams func(service string) []*catalogue.Upstream
	// Dial connects to an upstream.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	sent, declined atomic.Int64

	mu       sync.Mutex
	services map[string]*reach
	// avoided has the monotonic times until which instances get no calls of a service, in milliseconds.
	avoided map[avoidance]clock.Millis
}

type avoidance struct{ service, instance string }

// reach is what is known of the links to the upstreams of a service.
type reach struct {
	// unreached has the upstreams that were not reached since one was, with the latest time at which an attempt began, in milliseconds.
	unreached map[string]clock.Millis
	cut       bool
	// probed counts the attempts of Run that succeeded in a row.
	probed int
}

// Observe records whether an attempt that began at startedAt, which is monotonic and in milliseconds, connected to its upstream.
func (d *Detours) Observe(u *catalogue.Upstream, reached bool, startedAt clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.services[u.Service]
	if r == nil {
		if reached {
			return
		}
		r = &reach{unreached: map[string]clock.Millis{}}
		if d.services == nil {
			d.services = map[string]*reach{}
		}
		d.services[u.Service] = r
	}
	if !reached {
		r.unreached[u.Name] = max(r.unreached[u.Name], startedAt)
		d.checkCut(u.Service, r)
		return
	}
	for _, at := range r.unreached {
		if at > startedAt {
			// The connection is older than the failure.
			return
		}
	}
	if !r.cut {
		delete(d.services, u.Service)
	}
}

// checkCut notes that a service is cut off once enough of its upstreams were not reached; d.mu must be held.
func (d *Detours) checkCut(service string, r *reach) {
	if r.cut {
		return
	}
	listed, missed := d.Upstreams(service), 0
	for _, u := range listed {
		if _, ok := r.unreached[u.Name]; ok {
			missed++
		}
	}
	if missed == 0 || missed < min(len(listed), max(minUnreached, int(unreachedShare*float64(len(listed))))) {
		return
	}
	r.cut = true
	d.Log.Info("no upstream of a service is reached; its calls go through other instances", "service", service, "unreached", missed, "listed", len(listed))
}

// Cut reports whether this instance reaches no upstream of the service.
func (d *Detours) Cut(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.services[service]
	return r != nil && r.cut
}

// Next returns the instance through which a call of the service goes next, in the form of an upstream, or nil if there is none; tried
// are the names of those that didn't take it. The calls are spread over all instances.
func (d *Detours) Next(service, requestID string, tried []string) *catalogue.Upstream {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *catalogue.Member
	members := d.Members()
	for i := range members {
		m := &members[i]
		if m.Name == d.Self || !takesCalls(m) || slices.Contains(tried, m.Name) || now < d.avoided[avoidance{service, m.Name}] {
			continue
		}
		if best == nil || request.CompareRendezvous(requestID, m.Name, best.Name) < 0 {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return asUpstream(service, best)
}

// takesCalls reports whether calls of other instances can go through the instance.
func takesCalls(m *catalogue.Member) bool { return m.CallerAddress != "" && !m.Leaving }

// asUpstream returns an instance in the form of an upstream of the service.
func asUpstream(service string, m *catalogue.Member) *catalogue.Upstream {
	return &catalogue.Upstream{Name: m.Name, Address: m.CallerAddress, Service: service, Zone: m.Zone}
}

// Via returns an instance by its name, in the form of an upstream, or nil if calls can't go through it.
func (d *Detours) Via(service, instance string) *catalogue.Upstream {
	members := d.Members()
	for i := range members {
		if m := &members[i]; m.Name == instance && takesCalls(m) {
			return asUpstream(service, m)
		}
	}
	return nil
}

// CountSent counts an attempt through another instance.
func (d *Detours) CountSent() { d.sent.Add(1) }

// Avoid records that an instance didn't take a call of the service.
func (d *Detours) Avoid(service, instance string) {
	now := d.Clock.Now()
	d.declined.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoided == nil {
		d.avoided = map[avoidance]clock.Millis{}
	}
	for key, until := range d.avoided {
		if now >= until {
			delete(d.avoided, key)
		}
	}
	d.avoided[avoidance{service, instance}] = now + avoidInstance
}

// Run connects to upstreams of the services that aren't reached, one at a time, until ctx ends, and returns the error of ctx.
func (d *Detours) Run(ctx context.Context) error {
	for n := 0; ; n++ {
		if err := clock.Sleep(ctx, d.Clock, probePause); err != nil {
			return err
		}
		for _, service := range d.Services() {
			if listed := d.Upstreams(service); len(listed) > 0 {
				d.recordProbe(service, d.connects(ctx, listed[n%len(listed)].Address))
			}
		}
	}
}

func (d *Detours) connects(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	conn, err := d.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// recordProbe ends the detours of a service once enough attempts in a row have succeeded.
func (d *Detours) recordProbe(service string, connected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.services[service]
	if r == nil {
		return
	}
	if !connected {
		r.probed = 0
		return
	}
	if r.probed++; r.probed >= probesToReturn {
		delete(d.services, service)
		d.Log.Info("upstreams of a service are reached again", "service", service)
	}
}

// Services returns the services that this instance is cut off from, sorted.
func (d *Detours) Services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, r := range d.services {
		if r.cut {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Counts returns the numbers of attempts through other instances since the start, and of those that weren't taken.
func (d *Detours) Counts() (sent, declined int64) { return d.sent.Load(), d.declined.Load() }
