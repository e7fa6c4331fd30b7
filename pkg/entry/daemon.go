package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/rating"
	"carawayknot.example/carawayknot/pkg/reservation"
	"carawayknot.example/carawayknot/pkg/session"
	"carawayknot.example/carawayknot/pkg/settings"
)

// Daemon is one running router instance with all of its components.
type Daemon struct {
	Common settings.Common

	self             catalogue.Member
	keys             keys
	log              Log
	list             List
	ratings          Ratings
	engines          *backoffice.Engines
	control          *Control
	network          *membership.Network
	exchange         *membership.Exchange
	applier          *archive.Applier
	claimLog         *ledger.Batcher
	billLog          *ledger.Batcher
	claims           *reservation.Coordinator
	billKeeper       *ledger.BillKeeper
	biller           *ledger.Biller
	bills            *billFinder
	pinKeeper        *session.Keeper
	pins             *session.Affinity
	admission        *dispatch.Admission
	upstreamInFlight *dispatch.InFlightLimiter
	prefixes         *dispatch.PrefixIndex
	outliers         *dispatch.OutlierDetector
	budget           *delivery.Budget
	sender           *delivery.Sender
	prober           *Prober
	metrics          *desk.Metrics
	inFlight         *desk.InFlight
	// draining is true from the start of the shutdown; the snapshot says so only once the load balancer has had time to notice.
	draining atomic.Bool
	// nextRating is the position from which the next ratings are read.
	nextRating int64
}

// keys are the secrets read from the key files named in the settings.
type keys struct {
	Admin   []byte
	Peer    []byte
	Session []byte
}

// Run serves until ctx ends or a component fails, then drains: it finishes the requests in flight and hands over state.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.build(); err != nil {
		return err
	}
	caller, admin, peer, err := d.listen(ctx)
	if err != nil {
		return err
	}
	d.control.Run()
	defer d.control.Stop()
	// The loops outlive ctx, since draining needs them.
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers := d.servers()
	loops, loopsCtx := d.loops(loopCtx, peer)
	d.serve(servers.caller, caller)
	d.serve(servers.admin, admin)
	log := d.Common.Log.WithName("entry")
	log.Info("serving", "caller", caller.Addr().String(), "admin", admin.Addr().String(), "peer", peer.Addr().String())
	failure := d.wait(ctx, loopsCtx)
	err = errors.CombineErrors(failure, d.drain(servers))
	stop()
	if loopErr := loops.Wait(); !errors.Is(loopErr, context.Canceled) {
		err = errors.CombineErrors(err, loopErr)
	}
	log.Info("stopped")
	return err
}

// wait returns nil once ctx has ended, or an error when the control thread or a loop has failed.
func (d *Daemon) wait(ctx, loopsCtx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.control.Failed():
		return errors.New("control thread failed")
	case <-loopsCtx.Done():
		return errors.New("a loop failed")
	}
}

// listen opens all listeners first, so that a port in use is reported before anything starts.
func (d *Daemon) listen(ctx context.Context) (caller, admin, peer net.Listener, err error) {
	var lc net.ListenConfig
	s := d.Common.Settings
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&caller, s.CallerAddress}, {&admin, s.AdminAddress}, {&peer, s.PeerAddress}} {
		if *l.listener, err = lc.Listen(ctx, "tcp", l.address); err != nil {
			return nil, nil, nil, errors.Wrapf(err, "listen on %s", l.address)
		}
	}
	return caller, admin, peer, nil
}

func (d *Daemon) serve(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.Common.Log.WithName("entry").Error(err, "listener failed", "address", l.Addr().String())
		}
	}()
}

// loops starts all background loops; the returned context ends when one of them fails.
func (d *Daemon) loops(ctx context.Context, peer net.Listener) (*errgroup.Group, context.Context) {
	t := d.Common.Settings.Times
	loads := &LoadReader{
		Common:   d.Common,
		Snapshot: d.control.Snapshot,
		Loads:    d.engines,
		Report:   func(r *loadRead) { d.control.Send(r) },
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.runPeriodically(ctx, "archive", 0, d.readConfig) })
	g.Go(func() error { return d.runPeriodically(ctx, "list", t.ListPoll, d.readList) })
	g.Go(func() error { return d.runPeriodically(ctx, "load", t.LoadPoll, loads.Round) })
	g.Go(func() error { return d.runPeriodically(ctx, "probe", probePeriod, d.prober.Round) })
	g.Go(func() error { return d.runPeriodically(ctx, "health", holdCheckPeriod, d.holdRollouts) })
	if d.Common.Settings.Platform.Ratings != "" {
		g.Go(func() error { return d.runPeriodically(ctx, "ratings", t.RatingPoll, d.readRatings) })
	}
	g.Go(func() error {
		return d.runPeriodically(ctx, "control", tickPeriod, func(context.Context) error {
			d.control.Send(&tick{})
			d.network.SetMembers(d.control.Snapshot().Members)
			return nil
		})
	})
	g.Go(func() error { return d.network.Serve(ctx, peer) })
	g.Go(func() error { return d.exchange.Run(ctx) })
	g.Go(func() error { return d.claimLog.Run(ctx) })
	g.Go(func() error { return d.billLog.Run(ctx) })
	g.Go(func() error { return d.claims.Run(ctx) })
	g.Go(func() error { return d.biller.Run(ctx) })
	g.Go(func() error { return d.billKeeper.Run(ctx) })
	return g, ctx
}

// ready returns nil, or the reason why this instance should get no requests.
func (d *Daemon) ready() error {
	s := d.control.Snapshot()
	if d.draining.Load() {
		return errors.New("draining")
	}
	if s.Config.Revision == 0 && len(s.Config.Workspaces) == 0 {
		return errors.New("no configuration yet")
	}
	if !d.control.SharesReady() {
		return errors.New("no share of any upstream yet")
	}
	return s.Fresh(d.Common.Clock.Now(), d.Common.Settings.Times.Horizon)
}

// now returns the monotonic time.
func (d *Daemon) now() clock.Millis { return d.Common.Clock.Now() }

// newSelf describes this instance. The start time is its incarnation, which therefore grows with each start unless the wall
// clock was set back.
func newSelf(c settings.Common) catalogue.Member {
	return catalogue.Member{
		Name:        c.Settings.Name,
		PeerAddress: c.Settings.PeerAddress,
		Zone:        c.Settings.Zone,
		Incarnation: int64(c.Clock.Wall()),
	}
}

func newControl(c settings.Common, self catalogue.Member) *Control {
	replica := &archive.ConfigReplica{Clock: c.Clock, Name: self.Name}
	t := c.Settings.Times
	return &Control{
		Common:  c,
		Replica: replica,
		Cluster: &membership.ClusterState{
			Clock:      c.Clock,
			Self:       self,
			Tick:       t.PeerTick,
			Replica:    replica,
			Membership: &membership.Membership{Self: self},
			Freshness:  &membership.Freshness{Self: self.Name},
			Gossip:     &membership.Gossip{Self: self},
		},
		Shares:     &membership.ColdShares{Self: self.Name, MaxListLag: t.ListLag, Lease: t.ColdLease, ShareTTL: catalogue.ShareLifetime, Hold: t.ColdHold},
		Subset:     &membership.Subset{Self: self.Name},
		ColdStarts: &dispatch.ColdStartDetector{},
		Ratings:    &rating.HealthTracker{Config: replica.State},
	}
}
