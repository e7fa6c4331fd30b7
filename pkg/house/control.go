package house

import (
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/caravan"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/concierge"
	"carawayknot.example/carawayknot/pkg/enquiry"
	"carawayknot.example/carawayknot/pkg/platform"
	"carawayknot.example/carawayknot/pkg/settings"
	"carawayknot.example/carawayknot/pkg/tasting"
)

// sampleBacklog is how many samples may wait for the control thread before further ones are dropped.
const sampleBacklog = 4096

// Control owns the control state of an instance and publishes snapshots of it.
// All of its state is used by one actor only; traffic reads the published snapshot.
type Control struct {
	Common     settings.Common
	Self       catalogue.Member
	Journal    *archive.Journal
	Membership *caravan.Membership
	Freshness  *caravan.Freshness
	Gossip     *caravan.Gossip
	Shares     *caravan.ColdShares
	ColdWatch  *concierge.ColdWatch
	Ratings    *tasting.Book

	system   *actor.ActorSystem
	pid      *actor.PID
	snapshot atomic.Pointer[catalogue.Snapshot]
	backlog  atomic.Int64
	dropped  atomic.Int64
	listing  platform.Listing
	listAt   clock.Millis
	loads    map[string]catalogue.Load
	draining bool
}

// Run starts the actor; Stop ends it.
func (c *Control) Run() {
	c.loads = map[string]catalogue.Load{}
	c.publish()
	c.system = actor.NewActorSystem()
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(c.receive))
}

// Stop ends the actor after the messages that are waiting.
func (c *Control) Stop() {
	_ = c.system.Root.PoisonFuture(c.pid).Wait()
	c.system.Shutdown()
}

// Snapshot returns the latest snapshot, which is never nil after Run.
func (c *Control) Snapshot() *catalogue.Snapshot { return c.snapshot.Load() }

// Dropped returns how many samples were dropped because the control thread was behind.
func (c *Control) Dropped() int64 { return c.dropped.Load() }

// Tell passes a fact to the control thread; facts are never dropped.
func (c *Control) Tell(message any) { c.system.Root.Send(c.pid, message) }

// Observe passes a sample to the control thread, or drops it when too many wait.
func (c *Control) Observe(s enquiry.Sample) {
	if c.backlog.Add(1) > sampleBacklog {
		c.backlog.Add(-1)
		c.dropped.Add(1)
		return
	}
	c.Tell(&sampleTaken{Sample: s})
}

// receive is the control thread.
func (c *Control) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *configRead:
		c.takeConfig(m)
	case *configTrimmed:
		c.Journal.TakeTrimmed(m.Err)
		m.Reply <- c.want()
	case *configAsk:
		m.Reply <- c.want()
	case *peerState:
		c.Journal.TakePeer(m.State)
		c.configChanged()
		m.Reply <- c.want()
	case *listRead:
		c.takeList(m)
	case *loadRead:
		c.takeLoad(m)
	case *sampleTaken:
		c.backlog.Add(-1)
		c.ColdWatch.TakeSample(m.Sample)
		c.Ratings.TakeSample(m.Sample)
	case *ratingsRead:
		c.Ratings.TakeRatings(m.Ratings)
		c.publishHealth()
	case *digestAsk:
		m.Reply <- c.Gossip.Digest()
	case *deltaAsk:
		m.Reply <- c.Gossip.Delta(m.Digest)
	case *deltaTaken:
		c.takeDelta(m)
	case *holdersAsk:
		m.Reply <- c.holders(m.Revision)
	case *dumpAsk:
		m.Reply <- c.dump()
	case *drainBegun:
		c.draining = true
		c.publish()
	case *tick:
		c.publish()
	}
}
