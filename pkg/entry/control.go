package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/rating"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// maxSampleBacklog is how many samples may be queued for the control thread; any more are dropped.
const maxSampleBacklog = 4096

var (
	errStopped = errors.New("the control thread has ended")
	// errFailed means that the control thread has panicked and handles no more messages.
	errFailed = errors.New("the control thread has failed")
)

// Control owns the control state of an instance, which only its actor (the control thread) may use, and publishes snapshots of
// it for request handling.
type Control struct {
	Common     settings.Common
	Replica    *archive.ConfigReplica
	Cluster    *membership.ClusterState
	Shares     *membership.ColdShares
	Subset     *membership.Subset
	ColdStarts *dispatch.ColdStartDetector
	Ratings    *rating.HealthTracker
	// Forget, if set, is called with the name of each upstream that is no longer listed.
	Forget func(upstream string)

	system  *actor.ActorSystem
	pid     *actor.PID
	stopped chan struct{}
	// failed is closed when the control thread has panicked.
	failed   chan struct{}
	failOnce sync.Once
	snapshot atomic.Pointer[catalogue.Snapshot]
	backlog  atomic.Int64
	// busyNanos is the total time spent handling messages, in nanoseconds.
	busyNanos atomic.Int64
	dropped   atomic.Int64
	// lastList is the latest instance list, and upstreams has its instances that are not entry instances.
	lastList  []backoffice.Instance
	upstreams []backoffice.Instance
	loads     map[string]catalogue.Load
	health    map[catalogue.HealthKey]catalogue.Health
	published publishedItems
	// counterOrigins has the origin (name and incarnation) of the counters merged last, by instance name.
	counterOrigins map[string]string
	draining       bool
	// sharesReady is true once this instance has had a share of an upstream, or has seen lists for long enough to hold shares of
	// cold ones.
	sharesReady atomic.Bool
}

// Run publishes a first snapshot and starts the actor, which Stop ends.
func (c *Control) Run() {
	c.loads = map[string]catalogue.Load{}
	c.stopped = make(chan struct{})
	c.failed = make(chan struct{})
	c.publish()
	logger := slog.New(logr.ToSlogHandler(c.Common.Log.WithName("control").V(1)))
	c.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(c.receive))
}

// Stop ends the actor once it has handled the queued messages.
func (c *Control) Stop() {
	_ = c.system.Root.PoisonFuture(c.pid).Wait()
	close(c.stopped)
	c.system.Shutdown()
}

// Snapshot returns the newest snapshot, which is never nil after Run.
func (c *Control) Snapshot() *catalogue.Snapshot { return c.snapshot.Load() }

// Dropped returns the number of samples dropped because the backlog was full.
func (c *Control) Dropped() int64 { return c.dropped.Load() }

// Busy returns the total time spent handling messages since the start.
func (c *Control) Busy() time.Duration { return time.Duration(c.busyNanos.Load()) }

// SharesReady reports whether this instance has ever had a share of an upstream, or has seen lists for long enough to hold one.
func (c *Control) SharesReady() bool { return c.sharesReady.Load() }

// Send queues a message for the control thread; queued messages are never dropped.
func (c *Control) Send(message any) { c.system.Root.Send(c.pid, message) }

// Observe queues a sample for the control thread, or drops it when the backlog is full.
func (c *Control) Observe(s request.Sample) { c.observe(&sampleObserved{Sample: s}) }

// ObserveProbe queues the sample of a probe for the control thread, or drops it when the backlog is full.
func (c *Control) ObserveProbe(s request.Sample) { c.observe(&sampleObserved{Sample: s, Probe: true}) }

func (c *Control) observe(m *sampleObserved) {
	if c.backlog.Add(1) > maxSampleBacklog {
		c.backlog.Add(-1)
		c.dropped.Add(1)
		return
	}
	c.Send(m)
}

// Do runs f in the control thread and waits for it; after an error, f may still run later or never.
func (c *Control) Do(ctx context.Context, f func()) error {
	m := &funcCall{F: f, Done: make(chan struct{})}
	c.Send(m)
	select {
	case <-m.Done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return errStopped
	case <-c.failed:
		return errFailed
	}
}

// receive handles one message in the control thread.
func (c *Control) receive(ctx actor.Context) {
	start := time.Now()
	defer func() {
		c.busyNanos.Add(int64(time.Since(start)))
		if cause := recover(); cause != nil {
			c.fail(cause)
		}
	}()
	if c.hasFailed() {
		return
	}
	switch m := ctx.Message().(type) {
	case *funcCall:
		m.F()
		close(m.Done)
	case *listRead:
		c.handleList(m)
	case *loadRead:
		c.handleLoad(m)
	case *sampleObserved:
		c.backlog.Add(-1)
		c.ColdStarts.RecordSample(m.Sample)
		if !m.Probe {
			c.Ratings.RecordSample(m.Sample)
		}
	case *ratingsRead:
		c.Ratings.RecordRatings(m.Ratings)
	case *ratingReceived:
		c.Ratings.RecordRatings([]backoffice.Rating{m.Rating})
	case *drainStarted:
		c.draining = true
		c.publish()
	case *tick:
		c.handleTick()
	}
}

// fail records a panic. The state may be inconsistent, so nothing more is published and the instance must be replaced.
func (c *Control) fail(cause any) {
	c.Common.Log.WithName("control").Error(errors.Newf("panic: %v", cause), "control thread failed; the instance must be replaced")
	c.failOnce.Do(func() { close(c.failed) })
}

func (c *Control) hasFailed() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

// Failed returns a channel that is closed when the control thread has panicked.
func (c *Control) Failed() <-chan struct{} { return c.failed }

// handleList applies an instance list, unless membership rejects it as older than the last one.
func (c *Control) handleList(m *listRead) {
	if !c.Cluster.Membership.ApplyList(m.Listing, m.SentAt) {
		return
	}
	// Shares lapse when the list is no longer updated, so they are timed by the list's own time, not by when it was read.
	c.Shares.ObserveList(c.Cluster.Membership.Listed(), c.Cluster.Membership.ListAt())
	if sameSlice(c.lastList, m.Listing.Instances) {
		return
	}
	c.lastList = m.Listing.Instances
	c.updateUpstreams(m.Listing.Instances)
	c.Cluster.Refresh()
	c.forgetGoneOrigins()
	c.publish()
}

// sameSlice reports whether two lists are the same slice, which the list client returns again while nothing has changed.
func sameSlice(a, b []backoffice.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (c *Control) updateUpstreams(listed []backoffice.Instance) {
	previous := map[string]int64{}
	for _, u := range c.upstreams {
		previous[u.Name] = u.Incarnation
	}
	c.upstreams = nil
	changed := false
	for _, i := range listed {
		if i.Role == catalogue.RoleEntry {
			continue
		}
		incarnation, known := previous[i.Name]
		changed = changed || !known || incarnation != i.Incarnation
		delete(previous, i.Name)
		c.upstreams = append(c.upstreams, i)
	}
	for name := range previous {
		c.forgetUpstream(name)
	}
	if changed {
		// Verdicts that arrived before the list had their upstream were skipped; merge them now.
		c.mergeVerdicts(c.Cluster.Gossip.Items(verdictTopic))
	}
}

func (c *Control) forgetUpstream(upstream string) {
	delete(c.loads, upstream)
	c.ColdStarts.Forget(upstream)
	if c.Forget != nil {
		c.Forget(upstream)
	}
}

func (c *Control) handleLoad(m *loadRead) {
	c.loads[m.Name] = catalogue.Load{
		At:             m.At,
		InFlight:       m.Report.InFlight,
		Bearable:       m.Report.Bearable,
		TokenTime:      m.Report.TokenTime,
		FirstTokenTime: m.Report.FirstTokenTime,
		Cold:           m.Report.Cold,
	}
	c.ColdStarts.RecordLoad(m.Name, m.Incarnation, m.Report, m.At)
}

// handleTick applies everything that depends on the passing of time, and publishes the result.
func (c *Control) handleTick() {
	c.Cluster.Refresh()
	c.publishItems(c.Common.Clock.Now())
	c.health = c.Ratings.Health()
	c.publish()
	c.updateSharesReady()
}

// updateSharesReady sets sharesReady, which stays set.
func (c *Control) updateSharesReady() {
	if c.sharesReady.Load() {
		return
	}
	ready := c.Shares.Settled(c.Common.Clock.Now())
	for _, u := range c.Snapshot().Upstreams {
		ready = ready || u.Share > 0
	}
	c.sharesReady.Store(ready)
}
