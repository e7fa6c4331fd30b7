package gatehouse

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/concierge"
	"carawayknot.example/carawayknot/pkg/courier"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/enquiry"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// operationsWait is how long a read of the operators' topic waits, in milliseconds: with one lost read and its repeat the
	// view is still younger than the 5 s for which a key that was taken away may be used.
	operationsWait clock.Millis = 1500
	// listWait is the same for the list of upstreams, where nothing depends on a read that brings nothing.
	listWait clock.Millis = 4000
	// listPause gathers changes of the list, in milliseconds; leaving upstreams get no work after 2 s.
	listPause clock.Millis = 700
	// statusWait is how long a read of the statuses of moves waits, in milliseconds.
	statusWait clock.Millis = 5000
	// staleMargin is kept from the bound on the use of keys, in milliseconds, for the way to the upstream.
	staleMargin clock.Millis = 400
	// readyPart is the part of the bound on the use of keys up to which an instance without the store calls itself ready.
	readyPart = 0.6
)

// Adapter makes what speaks the callers' form.
type Adapter interface {
	// Handler serves callers by the line of filters.
	Handler(p Intake) http.Handler
}

// Intake is what a handler of callers needs.
type Intake struct {
	Log      logr.Logger
	Clock    clock.Clock
	Line     enquiry.Handler
	Snapshot func() *catalogue.Snapshot
	InFlight *desk.InFlight
	// Limit bounds the requests in flight.
	Limit int
	// Closing tells whether connections are to be closed after their answer.
	Closing func() bool
}

// House is an entry instance that serves routes; its exported fields are set before Run.
type House struct {
	Settings   *settings.Entry
	Clock      clock.Clock
	Log        logr.Logger
	Operations archive.Topic[catalogue.Operation]
	Listings   archive.Topic[catalogue.Listing]
	Statuses   archive.Topic[catalogue.ReleaseStatus]
	Status     StatusWriter
	Wire       courier.Wire
	Adapter    Adapter
	// Dial connects to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	control  *Control
	relay    *courier.Relay
	board    *concierge.Board
	outliers *concierge.Outliers
	paces    *concierge.Paces
	inFlight *desk.InFlight
	draining atomic.Bool
	wake     chan struct{}

	mu          sync.Mutex
	comparisons map[string]*comparison
	toldMoves   map[string]string
	reverting   map[string]*catalogue.ReleaseMove
}

// Run serves until ctx ends, then drains.
func (h *House) Run(ctx context.Context) error {
	h.build()
	h.control.Run()
	defer h.control.Stop()
	var lc net.ListenConfig
	ready, err := lc.Listen(ctx, "tcp", h.Settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	caller, err := lc.Listen(ctx, "tcp", h.Settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	readyServer := desk.NewServer(http.HandlerFunc(h.serveReady))
	callerServer := desk.NewServer(h.Adapter.Handler(h.intake()))
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loops, looping := h.loops(loopCtx)
	h.serve("ready", readyServer, ready)
	h.serve("caller", callerServer, caller)
	h.Log.Info("started", "caller", h.Settings.CallerAddress, "store", h.Settings.StoreAddress, "zone", h.Settings.Zone)
	select {
	case <-ctx.Done():
		err = h.drain(callerServer)
	case <-looping.Done():
		err = errors.New("a loop failed")
	}
	stop()
	_ = loops.Wait()
	h.relay.Close()
	_ = readyServer.Close()
	h.Log.Info("stopped", "inFlight", h.inFlight.Count())
	return err
}

func (h *House) build() {
	h.board = &concierge.Board{}
	h.outliers = &concierge.Outliers{}
	h.paces = &concierge.Paces{}
	h.inFlight = &desk.InFlight{}
	h.wake = make(chan struct{}, 1)
	h.comparisons = map[string]*comparison{}
	h.toldMoves = map[string]string{}
	h.reverting = map[string]*catalogue.ReleaseMove{}
	h.control = &Control{Clock: h.Clock, Log: h.Log.WithName("control"), Forget: func(upstream string) {
		h.board.Forget(upstream)
		h.outliers.Forget(upstream)
	}}
}

func (h *House) serve(name string, s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.Log.Error(err, "listener ended", "listener", name)
		}
	}()
}

// loops starts what runs beside the requests.
func (h *House) loops(ctx context.Context) (*errgroup.Group, context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	log := h.Log.WithName("store")
	operations := &archive.Follower[catalogue.Operation]{
		Clock: h.Clock, Log: log, Topic: h.Operations, Name: "operations", Wait: operationsWait,
		Apply: func(b archive.Batch[catalogue.Operation]) { h.control.Tell(b); h.wakeMover(b) },
	}
	listings := &archive.Follower[catalogue.Listing]{
		Clock: h.Clock, Log: log, Topic: h.Listings, Name: "list", Wait: listWait, Pause: listPause,
		Apply: func(b archive.Batch[catalogue.Listing]) { h.control.Tell(b) },
	}
	g.Go(func() error { return operations.Run(ctx) })
	g.Go(func() error { return listings.Run(ctx) })
	g.Go(func() error { return h.followMoves(ctx) })
	g.Go(func() error { return h.retryReverts(ctx) })
	return g, ctx
}

// wakeMover starts the following of moves once one is ordered.
func (h *House) wakeMover(b archive.Batch[catalogue.Operation]) {
	for _, op := range b.Items {
		if op.Kind == catalogue.OperationRelease {
			select {
			case h.wake <- struct{}{}:
			default:
			}
			return
		}
	}
}

// followMoves waits for the first order, then follows the statuses and settles moves.
func (h *House) followMoves(ctx context.Context) error {
	select {
	case <-h.wake:
	case <-ctx.Done():
		return ctx.Err()
	}
	g, ctx := errgroup.WithContext(ctx)
	statuses := &archive.Follower[catalogue.ReleaseStatus]{
		Clock: h.Clock, Log: h.Log.WithName("store"), Topic: h.Statuses, Name: "statuses", Wait: statusWait,
		Apply: func(b archive.Batch[catalogue.ReleaseStatus]) {
			h.noteTold(b)
			h.control.Tell(b)
		},
	}
	g.Go(func() error { return statuses.Run(ctx) })
	g.Go(func() error {
		m := &Mover{House: h}
		for {
			if err := clock.Sleep(ctx, h.Clock, movePeriod); err != nil {
				return err
			}
			m.Round(ctx)
		}
	})
	return g.Wait()
}

// ready returns why this instance should get no requests, or nil.
func (h *House) ready() error {
	s := h.control.Snapshot()
	switch {
	case h.draining.Load():
		return errors.New("draining")
	case s.Routes == nil:
		return errors.New("no configuration yet")
	case len(s.Upstreams) == 0 && h.control.listedAt.Load() == 0:
		return errors.New("no list yet")
	}
	age := h.control.Age(h.Clock.Now())
	if limit := clock.Millis(readyPart * float64(h.Settings.Bounds.Revocation)); age > limit {
		return &catalogue.StaleError{Age: age, Horizon: limit}
	}
	return nil
}

func (h *House) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := h.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
