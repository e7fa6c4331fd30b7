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

	self       catalogue.Member
	keys       keys
	log        Log
	list       List
	ratings    Ratings
	engines    *backoffice.Engines
	control    *Control
	network    *membership.Network
	exchange   *membership.Exchange
	applier    *archive.Applier
	claimLog   *ledger.Batcher
	billLog    *ledger.Batcher
	claims     *reservation.Coordinator
	billKeeper *ledger.BillKeeper
	biller     *ledger.Biller
	bills      *billFinder
	pinKeeper  *session.Keeper
	pins       *session.Affinity
	admission  *dispatch.Admission
	flights    *dispatch.InFlightLimiter
	prefixes   *dispatch.PrefixIndex
	outliers   *dispatch.OutlierDetector
	budget     *delivery.Budget
	send       *delivery.Sender
	prober     *Prober
	metrics    *desk.Metrics
	inFlight   *desk.InFlight
	// draining is true from the start of the shutdown; the snapshot follows once the load balancer has had time to notice.
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
func (h *Daemon) Run(ctx context.Context) error {
	if err := h.build(); err != nil {
		return err
	}
	caller, admin, peer, err := h.listen(ctx)
	if err != nil {
		return err
	}
	h.control.Run()
	defer h.control.Stop()
	// The loops outlive ctx, since draining needs them.
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers := h.servers()
	loops, loopsCtx := h.loops(loopCtx, peer)
	h.serve(servers.caller, caller)
	h.serve(servers.admin, admin)
	log := h.Common.Log.WithName("entry")
	log.Info("serving", "caller", caller.Addr().String(), "admin", admin.Addr().String(), "peer", peer.Addr().String())
	failure := h.wait(ctx, loopsCtx)
	err = errors.CombineErrors(failure, h.drain(servers))
	stop()
	if loopErr := loops.Wait(); !errors.Is(loopErr, context.Canceled) {
		err = errors.CombineErrors(err, loopErr)
	}
	log.Info("stopped")
	return err
}

// wait returns nil once ctx has ended, or an error when the control thread or a loop has failed.
func (h *Daemon) wait(ctx, loopsCtx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-h.control.Failed():
		return errors.New("control thread failed")
	case <-loopsCtx.Done():
		return errors.New("a loop failed")
	}
}

// listen opens all listeners first, so that a port in use is reported before anything starts.
func (h *Daemon) listen(ctx context.Context) (caller, admin, peer net.Listener, err error) {
	var lc net.ListenConfig
	s := h.Common.Settings
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

func (h *Daemon) serve(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.Common.Log.WithName("entry").Error(err, "listener failed", "address", l.Addr().String())
		}
	}()
}

// loops starts all background loops; the returned context ends when one of them fails.
func (h *Daemon) loops(ctx context.Context, peer net.Listener) (*errgroup.Group, context.Context) {
	t := h.Common.Settings.Times
	loads := &LoadReader{
		Common:   h.Common,
		Snapshot: h.control.Snapshot,
		Loads:    h.engines,
		Report:   func(r *loadRead) { h.control.Send(r) },
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.runPeriodically(ctx, "archive", 0, h.readConfig) })
	g.Go(func() error { return h.runPeriodically(ctx, "list", t.ListPoll, h.readList) })
	g.Go(func() error { return h.runPeriodically(ctx, "load", t.LoadPoll, loads.Round) })
	g.Go(func() error { return h.runPeriodically(ctx, "probe", probePeriod, h.prober.Round) })
	g.Go(func() error { return h.runPeriodically(ctx, "health", holdCheckPeriod, h.holdRollouts) })
	if h.Common.Settings.Platform.Ratings != "" {
		g.Go(func() error { return h.runPeriodically(ctx, "ratings", t.RatingPoll, h.readRatings) })
	}
	g.Go(func() error {
		return h.runPeriodically(ctx, "control", tickPeriod, func(context.Context) error {
			h.control.Send(&tick{})
			h.network.SetMembers(h.control.Snapshot().Members)
			return nil
		})
	})
	g.Go(func() error { return h.network.Serve(ctx, peer) })
	g.Go(func() error { return h.exchange.Run(ctx) })
	g.Go(func() error { return h.claimLog.Run(ctx) })
	g.Go(func() error { return h.billLog.Run(ctx) })
	g.Go(func() error { return h.claims.Run(ctx) })
	g.Go(func() error { return h.biller.Run(ctx) })
	g.Go(func() error { return h.billKeeper.Run(ctx) })
	return g, ctx
}

// ready returns nil, or the reason why this instance should get no requests.
func (h *Daemon) ready() error {
	s := h.control.Snapshot()
	if h.draining.Load() {
		return errors.New("draining")
	}
	if s.Config.Revision == 0 && len(s.Config.Workspaces) == 0 {
		return errors.New("no configuration yet")
	}
	if !h.control.SharesReady() {
		return errors.New("no share of any upstream yet")
	}
	return s.Fresh(h.Common.Clock.Now(), h.Common.Settings.Times.Horizon)
}

// now returns the monotonic time.
func (h *Daemon) now() clock.Millis { return h.Common.Clock.Now() }

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
	journal := &archive.ConfigReplica{Clock: c.Clock, Name: self.Name}
	t := c.Settings.Times
	return &Control{
		Common:  c,
		Journal: journal,
		Knowledge: &membership.ClusterState{
			Clock:      c.Clock,
			Self:       self,
			Tick:       t.PeerTick,
			Journal:    journal,
			Membership: &membership.Membership{Self: self},
			Freshness:  &membership.Freshness{Self: self.Name},
			Gossip:     &membership.Gossip{Self: self},
		},
		Shares:    &membership.ColdShares{Self: self.Name, MaxListLag: t.ListLag, Lease: t.ColdLease, ShareTTL: catalogue.ShareLifetime, Hold: t.ColdHold},
		Subset:    &membership.Subset{Self: self.Name},
		ColdWatch: &dispatch.ColdStartDetector{},
		Ratings:   &rating.HealthTracker{Config: journal.State},
	}
}
