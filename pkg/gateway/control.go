package gateway

import (
	"log/slog"
	"math"
	"sync"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/revision"
)

// Control owns the control state of an instance; a single actor changes it and publishes snapshots to the request path.
type Control struct {
	Clock clock.Clock
	Log   logr.Logger
	// OnDoubt is called when a store that came back from an older copy, and the view, may lack a newer configuration that other instances
	// have; it is nil if there are none.
	OnDoubt func(q revision.Question)
	// DecodeOperation decodes the configurations of other instances.
	DecodeOperation func(r archive.Record) (catalogue.Operation, error)
	// OnMembersChanged is called with all entry instances when they change.
	OnMembersChanged func(members []catalogue.Member)

	view     View
	draining bool
	// expiry is the time of the next expiryDue message; stopped is closed by Stop.
	expiry   clock.Millis
	stopped  chan struct{}
	system   *actor.ActorSystem
	pid      *actor.PID
	snapshot atomic.Pointer[catalogue.Snapshot]
	// currentAt is the monotonic time up to which the view has all of the operators' confirmed changes, or neverCurrent before the first read.
	currentAt atomic.Int64
	// asOf is the monotonic time of the last read of the operators' changes.
	asOf clock.Millis
	// question is the latest one for which other instances were asked.
	question revision.Question
	// known is what this instance tells others of its configuration.
	known atomic.Pointer[revision.Reply]
	// listReadAt is the monotonic time of the last read of the upstream list.
	listReadAt atomic.Int64
	// loaded is closed once the configuration and the upstream list were read.
	loaded     chan struct{}
	loadedOnce sync.Once
}

// rolloutEnded is the message that a release rollout was completed or reverted.
type rolloutEnded struct {
	service, target string
	state           catalogue.ReleaseState
}

// drainStarted is the message that the instance is shutting down.
type drainStarted struct{}

// expiryDue is the message that a part of the view expires.
type expiryDue struct{}

// Run starts the actor and must be called before all other methods.
func (c *Control) Run() {
	c.currentAt.Store(neverCurrent)
	c.known.Store(&revision.Reply{})
	c.loaded, c.stopped = make(chan struct{}), make(chan struct{})
	c.snapshot.Store(c.view.Snapshot(false))
	logger := slog.New(logr.ToSlogHandler(c.Log.V(1)))
	c.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(c.receive))
}

// Stop ends the actor after it has handled the messages in its queue.
func (c *Control) Stop() {
	close(c.stopped)
	_ = c.system.Root.PoisonFuture(c.pid).Wait()
	c.system.Shutdown()
}

// Send queues a message for the actor and does not wait.
func (c *Control) Send(m any) { c.system.Root.Send(c.pid, m) }

// Snapshot returns the latest snapshot, which is never nil after Run.
func (c *Control) Snapshot() *catalogue.Snapshot { return c.snapshot.Load() }

// Loaded returns a channel that is closed once the configuration and the upstream list were read.
func (c *Control) Loaded() <-chan struct{} { return c.loaded }

// Age returns how long before now the view was last known to have all of the operators' confirmed changes, in milliseconds; before
// the first read it exceeds all bounds.
func (c *Control) Age(now clock.Millis) clock.Millis {
	at := c.currentAt.Load()
	if at == neverCurrent {
		return unknownAge
	}
	return now - clock.Millis(at)
}

// neverCurrent is Control.currentAt before the view was current.
const neverCurrent = math.MinInt64

// unknownAge is larger than all bounds on the age of the view.
const unknownAge clock.Millis = 1 << 40

func (c *Control) receive(ctx actor.Context) {
	now := c.Clock.Now()
	defer c.scheduleExpiry(now)
	switch m := ctx.Message().(type) {
	case archive.Batch[catalogue.Operation]:
		before, confirmed := c.view.table, c.view.tableConfirmed
		c.applyOperations(m, now)
		if len(m.Items) > 0 || m.Whole {
			c.publish()
		}
		c.logOperations(m, before, now)
		c.logConfirmation(confirmed)
		if m.Whole && c.view.hasUnconfirmed() {
			c.Log.Info("the store lacks operations, keeping them for a while", "orders", len(c.view.unconfirmed.orders), "zones", len(c.view.unconfirmed.zones))
		}
	case archive.Batch[catalogue.Listing]:
		c.view.ApplyListings(m, now)
		c.listReadAt.Store(int64(m.AsOf))
		if len(m.Items) > 0 || m.Whole {
			c.publish()
			c.logListings(m, now)
		}
	case archive.Batch[MemberRecord]:
		c.view.ApplyMembers(m, now)
		if len(m.Items) > 0 || m.Whole {
			c.publish()
			c.OnMembersChanged(c.Snapshot().Members)
			c.Log.Info("members updated", "members", len(c.Snapshot().Members), "changed", len(m.Items))
		}
	case archive.Batch[catalogue.ReleaseStatus]:
		c.view.ApplyStatuses(m, now)
		if len(m.Items) > 0 || m.Whole {
			c.publish()
		}
	case revision.Finding:
		c.applyFinding(m, now)
	case rolloutEnded:
		c.view.SetRolloutState(m.service, m.target, m.state)
		c.publish()
		c.Log.Info("release rollout ended", "service", m.service, "target", m.target, "state", m.state)
	case drainStarted:
		c.draining = true
		c.publish()
	case expiryDue:
		c.expiry = 0
		unconfirmed, confirmed, doubted := c.view.unconfirmed, c.view.tableConfirmed, c.view.doubted
		removed, membersChanged := c.view.Expire(now)
		c.renew()
		for _, name := range removed {
			c.Log.Info("upstream removed, it did not register again", "upstream", name)
		}
		if doubted && !c.view.doubted {
			c.Log.Info("no other instance told of its configuration in time, the store counts as current")
		}
		if !confirmed && c.view.tableConfirmed {
			c.Log.Info("the active configuration was not written again and holds without the store", "version", c.view.table.Version)
		}
		if n := len(unconfirmed.orders) + len(unconfirmed.zones); n > 0 && !c.view.hasUnconfirmed() {
			c.Log.Info("operations were not written again and have ended", "orders", len(unconfirmed.orders), "zones", len(unconfirmed.zones))
		}
		c.publish()
		if membersChanged {
			c.OnMembersChanged(c.Snapshot().Members)
			c.Log.Info("members updated, some did not register again", "members", len(c.Snapshot().Members))
		}
	}
}

// scheduleExpiry sends expiryDue once a part of the view expires.
func (c *Control) scheduleExpiry(now clock.Millis) {
	at, found := c.view.NextExpiry()
	if !found || at == c.expiry {
		return
	}
	c.expiry = at
	due, stop := c.Clock.Timer(at - now)
	go func() {
		defer stop()
		select {
		case <-due:
			c.Send(expiryDue{})
		case <-c.stopped:
		}
	}()
}

func (c *Control) publish() {
	s := c.view.Snapshot(c.draining)
	c.snapshot.Store(s)
	if s.Routes != nil && c.listReadAt.Load() > 0 {
		c.loadedOnce.Do(func() { close(c.loaded) })
	}
}

// logConfirmation logs when the store, back from an older copy, lacks the active configuration and when it has it again.
func (c *Control) logConfirmation(before bool) {
	if c.view.table == nil || c.view.tableConfirmed == before {
		return
	}
	if c.view.tableConfirmed {
		c.Log.Info("the store has the active configuration", "version", c.view.table.Version)
		return
	}
	c.Log.Info("the store lacks the active configuration, waiting until it is written again", "version", c.view.table.Version)
}

func (c *Control) logOperations(b archive.Batch[catalogue.Operation], before *catalogue.RouteTable, now clock.Millis) {
	for _, op := range b.Items {
		switch op.Kind {
		case catalogue.OperationTable:
			c.Log.Info("configuration read", "version", op.Table.Version, "activeVersion", c.view.table.Version, "first", before == nil,
				"readLatencyMs", now-b.AsOf)
		case catalogue.OperationRelease:
			c.Log.Info("release rollout ordered", "service", op.Order.Service, "target", op.Order.Target, "spanMs", op.Order.Span,
				"removed", op.Removed, "fullRead", b.Whole)
		case catalogue.OperationZoneOut:
			c.Log.Info("zone", "zone", op.Zone, "out", !op.Removed)
		}
	}
}

func (c *Control) logListings(b archive.Batch[catalogue.Listing], now clock.Millis) {
	if b.Whole {
		c.Log.Info("upstream list read", "upstreams", len(b.Items), "readLatencyMs", now-b.AsOf,
			"missing", len(c.view.missingUpstreams), "doubtful", len(c.view.doubtfulListings))
		return
	}
	for _, l := range b.Items {
		if l.Removed {
			c.Log.Info("upstream removed", "upstream", l.Name)
			continue
		}
		if u := c.view.upstreams[l.Name]; u == nil || u.Leaving != l.Upstream.Leaving || u.Incarnation != l.Upstream.Incarnation {
			c.Log.Info("upstream entry ignored, a newer one is known", "upstream", l.Name, "leaving", l.Upstream.Leaving, "sequence", l.Sequence,
				"incarnation", l.Upstream.Incarnation)
			continue
		}
		c.Log.Info("upstream listed", "upstream", l.Name, "service", l.Upstream.Service, "release", l.Upstream.Release,
			"zone", l.Upstream.Zone, "leaving", l.Upstream.Leaving, "coldMs", l.ColdFor, "incarnation", l.Upstream.Incarnation, "sequence", l.Sequence)
	}
}
