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

// Adapter implements the callers' HTTP API.
type Adapter interface {
	// Handler returns a handler that runs each request through the chain of filters in p.Chain.
	Handler(p HandlerConfig) http.Handler
}

// HandlerConfig has what an Adapter needs to serve callers.
type HandlerConfig struct {
	Log      logr.Logger
	Clock    clock.Clock
	Chain    request.Handler
	Snapshot func() *catalogue.Snapshot
	InFlight *desk.InFlight
	// Limit is the maximum number of requests in flight.
	Limit int
	// Closing reports whether connections are to be closed after the current answer.
	Closing func() bool
}

// Decoders decode the records of the store, and fail on those that are malformed.
type Decoders interface {
	Operation(r archive.Record) (catalogue.Operation, error)
	Listing(r archive.Record) (catalogue.Listing, error)
	Status(r archive.Record) (catalogue.ReleaseStatus, error)
}

// Instance is an entry instance that serves routes; its exported fields must be set before Run.
type Instance struct {
	Settings *settings.Entry
	Clock    clock.Clock
	Log      logr.Logger
	// Store reads topics; Records writes to them.
	Store    archive.Source
	Records  RecordWriter
	Decoders Decoders
	Status   StatusWriter
	Wire     delivery.Wire
	Adapter  Adapter
	// Dial opens connections to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens the listeners for the addresses in the settings.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Reloads delivers reloaded settings; it may be nil.
	Reloads <-chan *settings.Entry
	// LogDropped returns the number of dropped log lines; it may be nil.
	LogDropped func() int64

	metrics          *desk.Metrics
	minConfidence    atomic.Int32
	self             catalogue.Member
	network          *membership.Network
	shared           *membership.PeerSource
	loads            *membership.Loads
	control          *Control
	relay            *delivery.Relay
	board            *dispatch.LoadTracker
	outliers         *dispatch.OutlierDetector
	latencies        *dispatch.LatencyTracker
	longPromptShares *dispatch.WorkMix
	releases         *dispatch.Releases
	inFlight         *desk.InFlight
	draining         atomic.Bool
	// cancelRequests cancels the context of the callers' requests in flight.
	cancelRequests context.CancelFunc
	// rolloutOrdered receives a value once a release rollout is ordered.
	rolloutOrdered chan struct{}
	// registered is closed once this instance is in the members' topic, and membersRead once that topic was read.
	registered      chan struct{}
	membersRead     chan struct{}
	membersReadOnce sync.Once

	// mu guards the fields below, whose keys are services; writtenStatuses has the target of the rollout whose status is in the store.
	mu              sync.Mutex
	comparisons     map[string]*comparison
	writtenStatuses map[string]string
	pendingReverts  map[string]pendingRevert
}

// Run serves until ctx ends, then drains; it fails if a listener cannot be opened, a background loop fails or requests were aborted.
func (h *Instance) Run(ctx context.Context) error {
	if err := h.build(); err != nil {
		return err
	}
	h.control.Run()
	defer h.control.Stop()
	var ready, peer, caller, admin net.Listener
	for _, l := range []struct {
		address string
		dst     *net.Listener
	}{
		{h.Settings.ReadyAddress, &ready}, {h.Settings.PeerAddress, &peer},
		{h.Settings.CallerAddress, &caller}, {h.Settings.AdminAddress, &admin},
	} {
		var err error
		if *l.dst, err = h.Listen(ctx, "tcp", l.address); err != nil {
			return errors.Wrap(err, "listen")
		}
	}
	adminServer := desk.NewServer(h.adminHandler())
	readyServer := desk.NewServer(http.HandlerFunc(h.serveReady))
	callerServer := desk.NewServer(h.Adapter.Handler(h.intake()))
	var requestsCtx context.Context
	requestsCtx, h.cancelRequests = context.WithCancel(context.WithoutCancel(ctx))
	defer h.cancelRequests()
	callerServer.BaseContext = func(net.Listener) context.Context { return requestsCtx }
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loops, groupCtx := h.startLoops(backgroundCtx, peer)
	h.serve("admin", adminServer, admin)
	h.serve("ready", readyServer, ready)
	go h.serveCallers(ctx, callerServer, caller)
	h.Log.Info("started", "caller", h.Settings.CallerAddress, "store", h.Settings.StoreAddress, "zone", h.Settings.Zone)
	var err error
	select {
	case <-ctx.Done():
		err = h.drain(callerServer)
	case <-groupCtx.Done():
		err = errors.New("a background loop failed")
	}
	stop()
	_ = loops.Wait()
	h.relay.Close()
	err = errors.CombineErrors(err, errors.CombineErrors(readyServer.Close(), adminServer.Close()))
	h.Log.Info("stopped", "inFlight", h.inFlight.Count())
	return err
}

func (h *Instance) build() error {
	h.metrics = desk.NewMetrics()
	h.minConfidence.Store(int32(h.Settings.Policy.LeastConfidence))
	h.board = &dispatch.LoadTracker{Self: h.Settings.Name}
	h.outliers = &dispatch.OutlierDetector{}
	h.latencies = &dispatch.LatencyTracker{}
	h.longPromptShares = &dispatch.WorkMix{}
	h.releases = &dispatch.Releases{SessionTimeout: h.Settings.Bounds.Session()}
	h.inFlight = &desk.InFlight{}
	h.rolloutOrdered = make(chan struct{}, 1)
	h.registered, h.membersRead = make(chan struct{}), make(chan struct{})
	h.comparisons = map[string]*comparison{}
	h.writtenStatuses = map[string]string{}
	h.pendingReverts = map[string]pendingRevert{}
	h.control = &Control{Clock: h.Clock, Log: h.Log.WithName("control"), OnUpstreamRemoved: func(upstream string) {
		h.board.Forget(upstream)
		h.outliers.Forget(upstream)
	}}
	h.self = catalogue.Member{
		Name: h.Settings.Name, PeerAddress: h.Settings.PeerAddress, Zone: h.Settings.Zone, Incarnation: int64(h.Clock.Wall()),
	}
	common := settings.Common{Log: h.Log, Clock: h.Clock}
	h.network = &membership.Network{Common: common, Self: h.self}
	h.control.OnMembersChanged = func(members []catalogue.Member) {
		h.network.SetMembers(members)
		h.membersReadOnce.Do(func() { close(h.membersRead) })
	}
	cache := &archive.Cache{}
	h.shared = &membership.PeerSource{
		Clock: h.Clock, Network: h.network, Store: h.Store, Cache: cache, Drain: h.Settings.Bounds.Drain,
		OlderInstances: h.olderMembers, AwaitMembers: h.awaitMembers,
	}
	h.loads = &membership.Loads{
		Clock: h.Clock, Self: h.self.Name, Zone: h.self.Zone, Network: h.network, OwnLoad: h.localLoads,
		SetOtherLoads: h.applyRemoteLoads, ZoneLeaders: h.zoneLeaders, Leader: h.oldestMember,
	}
	return errors.CombineErrors(
		h.network.Register(membership.ReaderName, &membership.Reader{Clock: h.Clock, Cache: cache}),
		h.network.Register(membership.LoadsName, h.loads),
	)
}

func (h *Instance) serve(name string, s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.Log.Error(err, "listener failed", "listener", name)
		}
	}()
}

// firstViewTimeout is how long callers right after the start wait for the first view. Reading it takes some ten milliseconds, and a
// refused caller would retry later than that.
const firstViewTimeout clock.Millis = 400

// serveCallers serves callers once the configuration and the upstream list were read, at the latest after firstViewTimeout.
func (h *Instance) serveCallers(ctx context.Context, s *http.Server, l net.Listener) {
	timeout, stop := h.Clock.Timer(firstViewTimeout)
	defer stop()
	select {
	case <-h.control.Loaded():
	case <-timeout:
	case <-ctx.Done():
	}
	h.serve("caller", s, l)
}
