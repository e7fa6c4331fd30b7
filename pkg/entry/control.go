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

// sampleBacklog is how many samples may wait for the control thread before further ones are dropped.
const sampleBacklog = 4096

var (
	// errStopped says that the control thread has ended.
	errStopped = errors.New("the control thread has ended")
	// errFailed says that the control thread has failed and takes no more messages.
	errFailed = errors.New("the control thread has failed")
)

// Control owns the control state of an instance and publishes snapshots of it.
// One actor alone uses its parts; traffic reads the published snapshot.
type Control struct {
	Common    settings.Common
	Journal   *archive.Journal
	Knowledge *membership.Knowledge
	Shares    *membership.ColdShares
	Subset    *membership.Subset
	ColdWatch *dispatch.ColdWatch
	Ratings   *rating.Book
	// Forget, when set, is told of upstreams that are gone.
	Forget func(upstream string)

	system  *actor.ActorSystem
	pid     *actor.PID
	stopped chan struct{}
	// failed is closed when the control thread has failed.
	failed   chan struct{}
	failOnce sync.Once
	snapshot atomic.Pointer[catalogue.Snapshot]
	backlog  atomic.Int64
	// busy is the time spent in the control thread, in nanoseconds.
	busy    atomic.Int64
	dropped atomic.Int64
	// listed is the list taken last, upstreams are those in it that are no entry instances.
	listed    []backoffice.Instance
	upstreams []backoffice.Instance
	loads     map[string]catalogue.Load
	health    map[catalogue.HealthKey]catalogue.Health
	published publication
	// origins has the origin of the counters merged last, by instance.
	origins  map[string]string
	draining bool
	// settled is true once this instance could send to an upstream, be it a cold one.
	settled atomic.Bool
}

// Run starts the actor; Stop ends it.
func (c *Control) Run() {
	c.loads = map[string]catalogue.Load{}
	c.stopped = make(chan struct{})
	c.failed = make(chan struct{})
	c.publish()
	logger := slog.New(logr.ToSlogHandler(c.Common.Log.WithName("control").V(1)))
	c.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(c.receive))
}

// Stop ends the actor after the messages that are waiting.
func (c *Control) Stop() {
	_ = c.system.Root.PoisonFuture(c.pid).Wait()
	close(c.stopped)
	c.system.Shutdown()
}

// Snapshot returns the newest snapshot, which is never nil after Run.
func (c *Control) Snapshot() *catalogue.Snapshot { return c.snapshot.Load() }

// Dropped returns how many samples were dropped because the control thread was behind.
func (c *Control) Dropped() int64 { return c.dropped.Load() }

// Busy returns the time spent in the control thread since the start.
func (c *Control) Busy() time.Duration { return time.Duration(c.busy.Load()) }

// Settled tells whether this instance has ever had a share of an upstream, or has waited for long enough to have one.
func (c *Control) Settled() bool { return c.settled.Load() }

// Tell passes a fact to the control thread; facts are never dropped.
func (c *Control) Tell(message any) { c.system.Root.Send(c.pid, message) }

// Observe passes a sample to the control thread, or drops it when too many wait.
func (c *Control) Observe(s request.Sample) { c.observe(&sampleTaken{Sample: s}) }

// ObserveProbe passes the sample of a probe to the control thread, or drops it when too many wait.
func (c *Control) ObserveProbe(s request.Sample) { c.observe(&sampleTaken{Sample: s, Probe: true}) }

func (c *Control) observe(m *sampleTaken) {
	if c.backlog.Add(1) > sampleBacklog {
		c.backlog.Add(-1)
		c.dropped.Add(1)
		return
	}
	c.Tell(m)
}

// Do calls f in the control thread and returns after it; with an error f may run later or never.
func (c *Control) Do(ctx context.Context, f func()) error {
	m := &run{F: f, Done: make(chan struct{})}
	c.Tell(m)
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

// receive is the control thread.
func (c *Control) receive(ctx actor.Context) {
	began := time.Now()
	defer func() {
		c.busy.Add(int64(time.Since(began)))
		if cause := recover(); cause != nil {
			c.fail(cause)
		}
	}()
	if c.hasFailed() {
		return
	}
	switch m := ctx.Message().(type) {
	case *run:
		m.F()
		close(m.Done)
	case *listRead:
		c.takeList(m)
	case *loadRead:
		c.takeLoad(m)
	case *sampleTaken:
		c.backlog.Add(-1)
		c.ColdWatch.TakeSample(m.Sample)
		if !m.Probe {
			c.Ratings.TakeSample(m.Sample)
		}
	case *ratingsRead:
		c.Ratings.TakeRatings(m.Ratings)
	case *verdictGiven:
		c.Ratings.TakeRatings([]backoffice.Rating{m.Rating})
	case *drainBegun:
		c.draining = true
		c.publish()
	case *tick:
		c.age()
	}
}

// fail notes a panic. The state may be half changed, so the instance must be replaced; nothing is published any more.
func (c *Control) fail(cause any) {
	c.Common.Log.WithName("control").Error(errors.Newf("panic: %v", cause), "control thread failed")
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

// Failed returns a channel that is closed when the control thread has failed.
func (c *Control) Failed() <-chan struct{} { return c.failed }

// takeList takes the list of instances; a list older than the last one is ignored.
func (c *Control) takeList(m *listRead) {
	if !c.Knowledge.Membership.SeeList(m.Listing, m.SentAt) {
		return
	}
	// A list that stands still loses its shares, so its own time counts.
	c.Shares.See(c.Knowledge.Membership.Listed(), c.Knowledge.Membership.ListAt())
	if sameSlice(c.listed, m.Listing.Instances) {
		return
	}
	c.listed = m.Listing.Instances
	c.takeUpstreams(m.Listing.Instances)
	c.Knowledge.Refresh()
	c.forgetOrigins()
	c.publish()
}

// sameSlice tells whether the list is the one taken last; the client returns the same slice while nothing changed.
func sameSlice(a, b []backoffice.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (c *Control) takeUpstreams(listed []backoffice.Instance) {
	before := map[string]int64{}
	for _, u := range c.upstreams {
		before[u.Name] = u.Incarnation
	}
	c.upstreams = nil
	news := false
	for _, i := range listed {
		if i.Role == catalogue.RoleEntry {
			continue
		}
		incarnation, known := before[i.Name]
		news = news || !known || incarnation != i.Incarnation
		delete(before, i.Name)
		c.upstreams = append(c.upstreams, i)
	}
	for name := range before {
		c.forget(name)
	}
	if news {
		// Verdicts that came before the list showed their upstream were not taken.
		c.takeVerdicts(c.Knowledge.Gossip.Items(verdictTopic))
	}
}

func (c *Control) forget(upstream string) {
	delete(c.loads, upstream)
	c.ColdWatch.Forget(upstream)
	if c.Forget != nil {
		c.Forget(upstream)
	}
}

func (c *Control) takeLoad(m *loadRead) {
	c.loads[m.Name] = catalogue.Load{
		At:             m.At,
		InFlight:       m.Report.InFlight,
		Bearable:       m.Report.Bearable,
		TokenTime:      m.Report.TokenTime,
		FirstTokenTime: m.Report.FirstTokenTime,
		Cold:           m.Report.Cold,
	}
	c.ColdWatch.TakeLoad(m.Name, m.Incarnation, m.Report, m.At)
}

// age lets time pass in all parts and publishes what it changed.
func (c *Control) age() {
	c.Knowledge.Refresh()
	c.tellOthers(c.Common.Clock.Now())
	c.health = c.Ratings.Health()
	c.publish()
	c.settle()
}

// settle notes that this instance may be of use to callers.
func (c *Control) settle() {
	if c.settled.Load() {
		return
	}
	settled := c.Shares.Settled(c.Common.Clock.Now())
	for _, u := range c.Snapshot().Upstreams {
		settled = settled || u.Share > 0
	}
	c.settled.Store(settled)
}
