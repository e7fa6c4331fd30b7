package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Control owns the control state of an instance; one actor alone uses it and publishes snapshots for traffic.
type Control struct {
	Clock clock.Clock
	Log   logr.Logger
	// Forget is told of upstreams that are gone.
	Forget func(upstream string)
	// Changed is told of the entry instances when they change.
	Changed func(members []catalogue.Member)

	view     View
	draining bool
	system   *actor.ActorSystem
	pid      *actor.PID
	snapshot atomic.Pointer[catalogue.Snapshot]
	// provedAt is the monotonic time up to which all that operators had confirmed is known.
	provedAt atomic.Int64
	// listedAt is the same for the list of upstreams.
	listedAt atomic.Int64
	// known is closed once the configuration and the list were read.
	known     chan struct{}
	knownOnce sync.Once
}

// settled tells the control thread how a move ended.
type settled struct {
	service, target string
	state           catalogue.ReleaseState
}

// drainBegun tells the control thread that the instance is shutting down.
type drainBegun struct{}

// Run starts the control thread.
func (c *Control) Run() {
	c.provedAt.Store(-1)
	c.known = make(chan struct{})
	c.snapshot.Store(c.view.Snapshot(false))
	logger := slog.New(logr.ToSlogHandler(c.Log.V(1)))
	c.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(c.receive))
}

// Stop ends the control thread after the messages that are waiting.
func (c *Control) Stop() {
	_ = c.system.Root.PoisonFuture(c.pid).Wait()
	c.system.Shutdown()
}

// Tell passes a fact to the control thread.
func (c *Control) Tell(m any) { c.system.Root.Send(c.pid, m) }

// Snapshot returns the newest snapshot, which is never nil after Run.
func (c *Control) Snapshot() *catalogue.Snapshot { return c.snapshot.Load() }

// Known is closed once the configuration and the list of upstreams were read.
func (c *Control) Known() <-chan struct{} { return c.known }

// Age returns how old the view of what operators confirmed is at now; it is huge while nothing was read.
func (c *Control) Age(now clock.Millis) clock.Millis {
	at := c.provedAt.Load()
	if at < 0 {
		return never
	}
	return now - clock.Millis(at)
}

// never is an age above all bounds.
const never clock.Millis = 1 << 40

func (c *Control) receive(ctx actor.Context) {
	now := c.Clock.Now()
	switch m := ctx.Message().(type) {
	case archive.Batch[catalogue.Operation]:
		before := c.view.table
		c.view.TakeOperations(m, now)
		if len(m.Items) > 0 || m.Whole {
			c.publish()
		}
		c.provedAt.Store(int64(m.SentAt))
		c.logOperations(m, before, now)
	case archive.Batch[catalogue.Listing]:
		for _, name := range c.view.TakeListings(m, now) {
			c.Forget(name)
		}
		c.listedAt.Store(int64(m.SentAt))
		if len(m.Items) > 0 || m.Whole {
			c.publish()
			c.logListings(m, now)
		}
	case archive.Batch[MemberRecord]:
		c.view.TakeMembers(m)
		if len(m.Items) > 0 || m.Whole {
			c.publish()
			c.Changed(c.Snapshot().Members)
			c.Log.Info("members read", "members", len(c.Snapshot().Members), "changed", len(m.Items))
		}
	case archive.Batch[catalogue.ReleaseStatus]:
		c.view.TakeStatuses(m, now)
		if len(m.Items) > 0 || m.Whole {
			c.publish()
		}
	case settled:
		c.view.SetMove(m.service, m.target, m.state)
		c.publish()
		c.Log.Info("move settled", "service", m.service, "target", m.target, "state", m.state)
	case drainBegun:
		c.draining = true
		c.publish()
	}
}

func (c *Control) publish() {
	s := c.view.Snapshot(c.draining)
	c.snapshot.Store(s)
	if s.Routes != nil && c.listedAt.Load() > 0 {
		c.knownOnce.Do(func() { close(c.known) })
	}
}

func (c *Control) logOperations(b archive.Batch[catalogue.Operation], before *catalogue.RouteTable, now clock.Millis) {
	for _, op := range b.Items {
		switch op.Kind {
		case catalogue.OperationTable:
			c.Log.Info("configuration read", "version", op.Table.Version, "inForce", c.view.table.Version, "first", before == nil,
				"readMs", now-b.SentAt)
		case catalogue.OperationRelease:
			c.Log.Info("move ordered", "service", op.Order.Service, "target", op.Order.Target, "spanMs", op.Order.Span,
				"removed", op.Removed, "whole", b.Whole)
		case catalogue.OperationZoneOut:
			c.Log.Info("zone", "zone", op.Zone, "out", !op.Removed)
		}
	}
}

func (c *Control) logListings(b archive.Batch[catalogue.Listing], now clock.Millis) {
	if b.Whole {
		c.Log.Info("list read", "upstreams", len(b.Items), "readMs", now-b.SentAt)
		return
	}
	for _, l := range b.Items {
		if l.Removed {
			c.Log.Info("upstream gone", "upstream", l.Name)
			continue
		}
		c.Log.Info("upstream listed", "upstream", l.Name, "service", l.Upstream.Service, "release", l.Upstream.Release,
			"zone", l.Upstream.Zone, "leaving", l.Upstream.Leaving, "coldMs", l.ColdFor, "incarnation", l.Upstream.Incarnation)
	}
}
