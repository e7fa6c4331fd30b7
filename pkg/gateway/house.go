package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
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
	Line     request.Handler
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
	Wire     delivery.Wire
	Adapter  Adapter
	// Dial connects to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens the addresses of the settings.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Reloads has settings that were read anew; it may be nil.
	Reloads <-chan *settings.Entry
	// LogDropped returns how many log lines were dropped; it may be nil.
	LogDropped func() int64

	metrics  *desk.Metrics
	least    atomic.Int32
	self     catalogue.Member
	network  *membership.Network
	shared   *membership.Shared
	loads    *membership.Loads
	control  *Control
	relay    *delivery.Relay
	board    *dispatch.Board
	outliers *dispatch.Outliers
	paces    *dispatch.Paces
	lanes    *dispatch.Lanes
	releases *dispatch.Releases
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
	var ready, peer, caller, admin net.Listener
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{h.Settings.ReadyAddress, &ready}, {h.Settings.PeerAddress, &peer},
		{h.Settings.CallerAddress, &caller}, {h.Settings.AdminAddress, &admin},
	} {
		var err error
		if *l.to, err = h.Listen(ctx, "tcp", l.address); err != nil {
			return errors.Wrap(err, "listen")
		}
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
	go h.serveKnowing(ctx, callerServer, caller)
	h.Log.Info("started", "caller", h.Settings.CallerAddress, "store", h.Settings.StoreAddress, "zone", h.Settings.Zone)
	var err error
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
	h.board = &dispatch.Board{Self: h.Settings.Name}
	h.outliers = &dispatch.Outliers{}
	h.paces = &dispatch.Paces{}
	h.lanes = &dispatch.Lanes{}
	h.releases = &dispatch.Releases{SessionTime: h.Settings.Bounds.Session()}
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
	h.network = &membership.Network{Common: common, Self: h.self}
	h.control.Changed = func(members []catalogue.Member) {
		h.network.SetMembers(members)
		h.membersOnce.Do(func() { close(h.membersKnown) })
	}
	cache := &archive.Cache{}
	h.shared = &membership.Shared{
		Clock: h.Clock, Network: h.network, Store: h.Store, Cache: cache, Drain: h.Settings.Bounds.Drain, Seniors: h.seniors, Await: h.awaitMembers,
	}
	h.loads = &membership.Loads{
		Clock: h.Clock, Self: h.self.Name, Zone: h.self.Zone, Network: h.network, Own: h.ownLoads, Others: h.othersLoads, Heads: h.heads, Eldest: h.eldest,
	}
	return errors.CombineErrors(
		h.network.Register(membership.ReaderName, &membership.Reader{Clock: h.Clock, Cache: cache}),
		h.network.Register(membership.LoadsName, h.loads),
	)
}

func (h *House) serve(name string, s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.Log.Error(err, "listener ended", "listener", name)
		}
	}()
}

// firstViewTime is how long callers that come right after the start are left waiting for the first view, in milliseconds: reading it
// takes some ten milliseconds, and a caller that is sent away comes back later than that.
const firstViewTime clock.Millis = 400

// serveKnowing serves callers once the configuration and the list were read, or after a while.
func (h *House) serveKnowing(ctx context.Context, s *http.Server, l net.Listener) {
	due, stop := h.Clock.Timer(firstViewTime)
	defer stop()
	select {
	case <-h.control.Known():
	case <-due:
	case <-ctx.Done():
	}
	h.serve("caller", s, l)
}
