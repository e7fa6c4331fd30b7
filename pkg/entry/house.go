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

// House is a daemon.
type House struct {
	Common settings.Common

	self      catalogue.Member
	keys      keys
	log       Log
	list      List
	ratings   Ratings
	engines   *backoffice.Engines
	control   *Control
	network   *membership.Network
	exchange  *membership.Exchange
	applier   *archive.Applier
	claimLog  *ledger.Batcher
	billLog   *ledger.Batcher
	claims    *reservation.Book
	keeper    *ledger.BillKeeper
	biller    *ledger.Biller
	bills     *billIndex
	pinKeeper *session.Keeper
	pins      *session.Book
	admission *dispatch.Admission
	flights   *dispatch.Flights
	prefixes  *dispatch.Prefixes
	outliers  *dispatch.Outliers
	budget    *delivery.Budget
	send      *delivery.Send
	prober    *Prober
	metrics   *desk.Metrics
	inFlight  *desk.InFlight
	// draining is true from the beginning of the shutdown on; the control state follows once the balancer had time to notice.
	draining atomic.Bool
	// ratedTo is the position up to which ratings were read.
	ratedTo int64
}

// keys are the secrets that the settings name.
type keys struct {
	Admin   []byte
	Peer    []byte
	Session []byte
}

// Run serves until ctx ends, then drains: requests under way are finished and state is handed over.
func (h *House) Run(ctx context.Context) error {
	if err := h.build(); err != nil {
		return err
	}
	caller, admin, peer, err := h.listen(ctx)
	if err != nil {
		return err
	}
	h.control.Run()
	defer h.control.Stop()
	// The loops outlive ctx, since the drain needs them.
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers := h.servers()
	loops, looping := h.loops(loopCtx, peer)
	h.serve(servers.caller, caller)
	h.serve(servers.admin, admin)
	log := h.Common.Log.WithName("house")
	log.Info("serving", "caller", caller.Addr().String(), "admin", admin.Addr().String(), "peer", peer.Addr().String())
	failed := h.wait(ctx, looping)
	err = errors.CombineErrors(failed, h.drain(servers))
	stop()
	if loopErr := loops.Wait(); !errors.Is(loopErr, context.Canceled) {
		err = errors.CombineErrors(err, loopErr)
	}
	log.Info("stopped")
	return err
}

// wait returns nil once ctx has ended, and an error when a part failed without which the instance is of no use.
func (h *House) wait(ctx, looping context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-h.control.Failed():
		return errors.New("the control thread failed")
	case <-looping.Done():
		return errors.New("a loop failed")
	}
}

// listen opens all listeners, so that a port in use is found before anything starts.
func (h *House) listen(ctx context.Context) (caller, admin, peer net.Listener, err error) {
	var lc net.ListenConfig
	s := h.Common.Settings
	for _, l := range []struct {
		at      *net.Listener
		address string
	}{{&caller, s.CallerAddress}, {&admin, s.AdminAddress}, {&peer, s.PeerAddress}} {
		if *l.at, err = lc.Listen(ctx, "tcp", l.address); err != nil {
			return nil, nil, nil, errors.Wrapf(err, "listen on %s", l.address)
		}
	}
	return caller, admin, peer, nil
}

func (h *House) serve(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.Common.Log.WithName("house").Error(err, "listener ended", "address", l.Addr().String())
		}
	}()
}

// loops starts everything that runs beside the requests; the context ends when one of them fails.
func (h *House) loops(ctx context.Context, peer net.Listener) (*errgroup.Group, context.Context) {
	t := h.Common.Settings.Times
	loads := &LoadReader{
		Common:   h.Common,
		Snapshot: h.control.Snapshot,
		Loads:    h.engines,
		Report:   func(r *loadRead) { h.control.Tell(r) },
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.every(ctx, "archive", 0, h.readConfig) })
	g.Go(func() error { return h.every(ctx, "list", t.ListPoll, h.readList) })
	g.Go(func() error { return h.every(ctx, "load", t.LoadPoll, loads.Round) })
	g.Go(func() error { return h.every(ctx, "probe", probePeriod, h.prober.Round) })
	g.Go(func() error { return h.every(ctx, "health", holdPeriod, h.holdRollouts) })
	if h.Common.Settings.Platform.Ratings != "" {
		g.Go(func() error { return h.every(ctx, "ratings", t.RatingPoll, h.readRatings) })
	}
	g.Go(func() error {
		return h.every(ctx, "control", tickPeriod, func(context.Context) error {
			h.control.Tell(&tick{})
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
	g.Go(func() error { return h.keeper.Run(ctx) })
	return g, ctx
}

// ready returns why this instance should get no requests, or nil.
func (h *House) ready() error {
	s := h.control.Snapshot()
	if h.draining.Load() {
		return errors.New("draining")
	}
	if s.Config.Revision == 0 && len(s.Config.Workspaces) == 0 {
		return errors.New("no configuration yet")
	}
	if !h.control.Settled() {
		return errors.New("no share of any upstream yet")
	}
	return s.Fresh(h.Common.Clock.Now(), h.Common.Settings.Times.Horizon)
}

// now returns the monotonic time, in milliseconds.
func (h *House) now() clock.Millis { return h.Common.Clock.Now() }

// newSelf describes this instance; its incarnation grows with each start, as long as the wall clock does.
func newSelf(c settings.Common) catalogue.Member {
	return catalogue.Member{
		Name:        c.Settings.Name,
		PeerAddress: c.Settings.PeerAddress,
		Zone:        c.Settings.Zone,
		Incarnation: int64(c.Clock.Wall()),
	}
}

func newControl(c settings.Common, self catalogue.Member) *Control {
	journal := &archive.Journal{Clock: c.Clock, Name: self.Name}
	t := c.Settings.Times
	return &Control{
		Common:  c,
		Journal: journal,
		Knowledge: &membership.Knowledge{
			Clock:      c.Clock,
			Self:       self,
			Tick:       t.PeerTick,
			Journal:    journal,
			Membership: &membership.Membership{Self: self},
			Freshness:  &membership.Freshness{Self: self.Name},
			Gossip:     &membership.Gossip{Self: self},
		},
		Shares:    &membership.ColdShares{Self: self.Name, Lag: t.ListLag, Lease: t.ColdLease, Publish: catalogue.ShareTime, Hold: t.ColdHold},
		Subset:    &membership.Subset{Self: self.Name},
		ColdWatch: &dispatch.ColdWatch{},
		Ratings:   &rating.Book{Config: journal.State},
	}
}
