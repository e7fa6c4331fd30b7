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
	"carawayknot.example/carawayknot/pkg/caravan"
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
	// membersWait is the same for the members.
	membersWait clock.Millis = 20000
	// statusWait is how long a read of the statuses of moves waits, in milliseconds.
	statusWait clock.Millis = 10000
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

// Decoders turn stored records into what they say.
type Decoders interface {
	Operation(r archive.Record) (catalogue.Operation, error)
	Listing(r archive.Record) (catalogue.Listing, error)
	Status(r archive.Record) (catalogue.ReleaseStatus, error)
}

// House is an entry instance that serves routes; its exported fields are set before Run.
type House struct {
	Settings *settings.Entry
	Clock    clock.Clock
	Log      logr.Logger
	// Store reads the topics, and Records writes to them.
	Store    archive.Source
	Records  RecordWriter
	Decoders Decoders
	Status   StatusWriter
	Wire     courier.Wire
	Adapter  Adapter
	// Dial connects to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Reloads has settings that were read anew; it may be nil.
	Reloads <-chan *settings.Entry
	// LogDropped returns how many log lines were dropped; it may be nil.
	LogDropped func() int64

	metrics  *desk.Metrics
	least    atomic.Int32
	self     catalogue.Member
	network  *caravan.Network
	shared   *caravan.Shared
	loads    *caravan.Loads
	control  *Control
	relay    *courier.Relay
	board    *concierge.Board
	outliers *concierge.Outliers
	paces    *concierge.Paces
	releases *concierge.Releases
	inFlight *desk.InFlight
	draining atomic.Bool
	// giveUp ends what may be ended of the requests under way.
	giveUp context.CancelFunc
	wake   chan struct{}
	// enrolled is closed once this instance is in the members' topic, and membersKnown once that was read.
	enrolled     chan struct{}
	membersKnown chan struct{}
	membersOnce  sync.Once

	mu          sync.Mutex
	comparisons map[string]*comparison
	toldMoves   map[string]string
	reverting   map[string]revert
}

// Run serves until ctx ends, then drains.
func (h *House) Run(ctx context.Context) error {
	if err := h.build(); err != nil {
		return err
	}
	h.control.Run()
	defer h.control.Stop()
	var lc net.ListenConfig
	ready, err := lc.Listen(ctx, "tcp", h.Settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	peer, err := lc.Listen(ctx, "tcp", h.Settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	caller, err := lc.Listen(ctx, "tcp", h.Settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	admin, err := lc.Listen(ctx, "tcp", h.Settings.AdminAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	adminServer := desk.NewServer(h.adminHandler())
	readyServer := desk.NewServer(http.HandlerFunc(h.serveReady))
	callerServer := desk.NewServer(h.Adapter.Handler(h.intake()))
	var base context.Context
	base, h.giveUp = context.WithCancel(context.WithoutCancel(ctx))
	defer h.giveUp()
	callerServer.BaseContext = func(net.Listener) context.Context { return base }
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loops, looping := h.loops(loopCtx, peer)
	h.serve("admin", adminServer, admin)
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
	err = errors.CombineErrors(err, errors.CombineErrors(readyServer.Close(), adminServer.Close()))
	h.Log.Info("stopped", "inFlight", h.inFlight.Count())
	return err
}

func (h *House) build() error {
	h.metrics = desk.NewMetrics()
	h.least.Store(int32(h.Settings.Policy.LeastConfidence))
	h.board = &concierge.Board{Self: h.Settings.Name}
	h.outliers = &concierge.Outliers{}
	h.paces = &concierge.Paces{}
	h.releases = &concierge.Releases{SessionTime: h.Settings.Bounds.Session()}
	h.inFlight = &desk.InFlight{}
	h.wake = make(chan struct{}, 1)
	h.enrolled, h.membersKnown = make(chan struct{}), make(chan struct{})
	h.comparisons = map[string]*comparison{}
	h.toldMoves = map[string]string{}
	h.reverting = map[string]revert{}
	h.control = &Control{Clock: h.Clock, Log: h.Log.WithName("control"), Forget: func(upstream string) {
		h.board.Forget(upstream)
		h.outliers.Forget(upstream)
	}}
	h.self = catalogue.Member{
		Name: h.Settings.Name, PeerAddress: h.Settings.PeerAddress, Zone: h.Settings.Zone, Incarnation: int64(h.Clock.Wall()),
	}
	common := settings.Common{Log: h.Log, Clock: h.Clock}
	h.network = &caravan.Network{Common: common, Self: h.self}
	h.control.Changed = func(members []catalogue.Member) {
		h.network.SetMembers(members)
		h.membersOnce.Do(func() { close(h.membersKnown) })
	}
	cache := &archive.Cache{}
	h.shared = &caravan.Shared{
		Clock: h.Clock, Network: h.network, Store: h.Store, Cache: cache, Drain: h.Settings.Bounds.Drain, Seniors: h.seniors, Await: h.awaitMembers,
	}
	h.loads = &caravan.Loads{
		Clock: h.Clock, Self: h.self.Name, Zone: h.self.Zone, Network: h.network, Own: h.ownLoads, Others: h.othersLoads, Heads: h.heads,
	}
	return errors.CombineErrors(
		h.network.Register(caravan.ReaderName, &caravan.Reader{Clock: h.Clock, Cache: cache}),
		h.network.Register(caravan.LoadsName, h.loads),
	)
}

func (h *House) serve(name string, s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.Log.Error(err, "listener ended", "listener", name)
		}
	}()
}

// loops starts what runs beside the requests.
func (h *House) loops(ctx context.Context, peer net.Listener) (*errgroup.Group, context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return follow(ctx, h, archive.TopicOperations, operationsWait, h.Decoders.Operation, h.wakeMover)
	})
	g.Go(func() error { return follow(ctx, h, archive.TopicListings, listWait, h.Decoders.Listing, nil) })
	g.Go(func() error { return h.followMembers(ctx) })
	g.Go(func() error { return h.enrol(ctx) })
	g.Go(func() error { return h.network.Serve(ctx, peer) })
	g.Go(func() error { return h.followMoves(ctx) })
	g.Go(func() error { return h.retryReverts(ctx) })
	g.Go(func() error { return h.report(ctx) })
	g.Go(func() error { return h.loads.Run(ctx) })
	g.Go(func() error { return h.reload(ctx) })
	return g, ctx
}

// follow keeps up with a topic and tells the control thread, and then what else is to know.
func follow[T any](ctx context.Context, h *House, name archive.TopicName, wait clock.Millis, decode func(archive.Record) (T, error), also func(archive.Batch[T])) error {
	log := h.Log.WithName("store")
	f := &archive.Follower[T]{
		Clock: h.Clock, Log: log, Name: string(name), Wait: wait,
		Topic: &archive.Decoded[T]{Source: h.shared, Log: log, Name: name, Decode: decode},
		Apply: func(b archive.Batch[T]) {
			h.control.Tell(b)
			if also != nil {
				also(b)
			}
		},
	}
	return f.Run(ctx)
}

// reportPeriod is the time between the lines that tell how the instance is, in milliseconds.
const reportPeriod clock.Millis = 10 * clock.Second

// report logs now and then how the instance is.
func (h *House) report(ctx context.Context) error {
	for {
		if err := clock.Sleep(ctx, h.Clock, reportPeriod); err != nil {
			return err
		}
		s := h.control.Snapshot()
		direct, peers := h.shared.Reads()
		values := []any{"inFlight", h.inFlight.Count(), "viewAgeMs", h.control.Age(h.Clock.Now()), "upstreams", len(s.Upstreams),
			"members", len(s.Members), "storeReads", direct, "instanceReads", peers}
		if s.Routes != nil {
			values = append(values, "table", s.Routes.Version)
		}
		if h.LogDropped != nil {
			values = append(values, "linesDropped", h.LogDropped())
		}
		h.Log.Info("status", values...)
	}
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
	g.Go(func() error { return follow(ctx, h, archive.TopicStatuses, statusWait, h.Decoders.Status, h.noteTold) })
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
