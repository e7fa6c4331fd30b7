package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/admission"
	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/custody"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/detour"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/duty"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/occupancy"
	"carawayknot.example/carawayknot/pkg/placement"
	"carawayknot.example/carawayknot/pkg/pricing"
	"carawayknot.example/carawayknot/pkg/quarantine"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/revision"
	"carawayknot.example/carawayknot/pkg/settings"
)

// Adapter implements the callers' HTTP API.
type Adapter interface {
	// Handler returns a handler that runs each request through the chain of filters in cfg.Chain.
	Handler(cfg HandlerConfig) http.Handler
}

// HandlerConfig has what an Adapter needs to serve callers.
type HandlerConfig struct {
	Log      logr.Logger
	Clock    clock.Clock
	Chain    request.Handler
	Snapshot func() *catalogue.Snapshot
	InFlight *desk.InFlight
	// Callers accounts for the callers' connections; it may be nil.
	Callers *custody.Account
	// OnRefused counts a request that was refused before it reached the chain; it may be nil.
	OnRefused func(r *request.Refusal)
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
	// InstanceWire encodes calls for other instances, which take them like those of callers.
	InstanceWire delivery.Wire
	Adapter      Adapter
	// LeaseStore keeps the lease of duties, and DutyCalls makes their calls; both are used only if the settings name duties.
	LeaseStore duty.Store
	DutyCalls  duty.Caller
	// Dial opens connections to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens the listeners for the addresses in the settings.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Reloads delivers reloaded settings; it may be nil.
	Reloads <-chan *settings.Entry
	// LogDropped returns the number of dropped log lines; it may be nil.
	LogDropped func() int64

	metrics      *desk.Metrics
	leastSuccess atomic.Int32
	self         catalogue.Member
	startedAt    clock.Millis
	network      *membership.Network
	peerSource   *membership.PeerSource
	timedStore   *timedSource
	loads        *membership.Loads
	control      *Control
	relay        *delivery.Relay
	// through sends calls to other instances.
	through     *delivery.Relay
	detours     *detour.Detours
	loadTracker *dispatch.LoadTracker
	outliers    *dispatch.OutlierDetector
	latencies   *dispatch.LatencyTracker
	calibration *pricing.Calibration
	urgencies   admission.Urgencies
	releases    *dispatch.Releases
	suspects    *dispatch.CrashSuspects
	limits      *dispatch.NamedLimits
	slots       *occupancy.Slots
	notices     *dispatch.Notices
	lifetimes   lifetimes
	rumors      *membership.Rumors
	duties      *duties
	revisions   *revision.Checker
	quarantine  *quarantine.Keeper
	inFlight    *desk.InFlight
	accounts    accounts
	draining    atomic.Bool
	// closingAt is lateCalls.ClosingAt.
	closingAt atomic.Int64
	// callerListener is that of callerServer.
	callerListener net.Listener
	planner        *placement.Planner
	// placed counts the answers that were placed by predictions.
	placed atomic.Int64
	// cancelRequests cancels the context of the callers' requests in flight.
	cancelRequests context.CancelFunc
	// rolloutOrdered receives a value once a release rollout is ordered.
	rolloutOrdered chan struct{}
	// registered is closed once this instance is in the members' topic, and membersRead once that topic was read.
	registered      chan struct{}
	membersRead     chan struct{}
	membersReadOnce sync.Once
	// registrationLost receives a value when the members' topic lacks this instance although it was registered.
	registrationLost chan struct{}

	// mu guards the fields below; the keys of the first four are services, and writtenStatuses has the statuses that the store has or had,
	// also those that it has lost.
	mu              sync.Mutex
	comparisons     map[string]*comparison
	writtenStatuses map[string]catalogue.ReleaseStatus
	pendingStatuses map[string]pendingStatus
	statusPauses    map[string]statusPause
	statusTopic     statusTopic
	// awaited has the attempts under way at services with a running rollout.
	awaited map[*request.Call]awaited
}

// Run serves until ctx ends, then drains; it fails if a listener cannot be opened, a background loop fails or requests were aborted.
func (in *Instance) Run(ctx context.Context) error {
	if err := in.build(); err != nil {
		return err
	}
	in.control.Run()
	defer in.control.Stop()
	var ready, peer, caller, admin net.Listener
	for _, l := range []struct {
		address string
		dst     *net.Listener
	}{
		{in.Settings.ReadyAddress, &ready}, {in.Settings.PeerAddress, &peer},
		{in.Settings.CallerAddress, &caller}, {in.Settings.AdminAddress, &admin},
	} {
		var err error
		if *l.dst, err = in.Listen(ctx, "tcp", l.address); err != nil {
			return errors.Wrap(err, "listen")
		}
	}
	peer = &custody.Listener{Listener: peer, Account: in.accounts.peers, Opaque: true}
	adminServer := desk.NewServer(in.adminHandler())
	readyServer := desk.NewServer(http.HandlerFunc(in.serveReady))
	callerServer := desk.NewServer(in.Adapter.Handler(in.handlerConfig()))
	var requestsCtx context.Context
	requestsCtx, in.cancelRequests = context.WithCancel(context.WithoutCancel(ctx))
	defer in.cancelRequests()
	callerServer.BaseContext = func(net.Listener) context.Context { return requestsCtx }
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loops, groupCtx := in.startLoops(backgroundCtx, peer)
	in.serve("admin", adminServer, admin, in.accounts.admin)
	in.serve("ready", readyServer, ready, in.accounts.ready)
	in.callerListener = &onceListener{Listener: caller}
	go in.serveCallers(ctx, callerServer, in.callerListener)
	in.Log.Info("started", "caller", in.Settings.CallerAddress, "store", in.Settings.StoreAddress, "zone", in.Settings.Zone)
	var err error
	select {
	case <-ctx.Done():
		err = in.drain(callerServer)
	case <-groupCtx.Done():
		err = errors.New("a background loop failed")
	}
	stop()
	_ = loops.Wait()
	in.relay.Close()
	in.through.Close()
	err = errors.CombineErrors(err, errors.CombineErrors(readyServer.Close(), adminServer.Close()))
	in.Log.Info("stopped", "inFlight", in.inFlight.Count())
	return err
}

func (in *Instance) build() error {
	in.startedAt = in.Clock.Now()
	in.metrics = desk.NewMetrics()
	in.leastSuccess.Store(int32(in.Settings.Policy.LeastConfidence))
	in.loadTracker = &dispatch.LoadTracker{Self: in.Settings.Name}
	in.outliers = &dispatch.OutlierDetector{}
	in.latencies = &dispatch.LatencyTracker{}
	in.calibration = &pricing.Calibration{}
	in.releases = &dispatch.Releases{SessionTimeout: in.Settings.Bounds.Session(), OnSend: in.recordSend}
	in.inFlight = &desk.InFlight{}
	in.buildAccounts()
	in.rolloutOrdered = make(chan struct{}, 1)
	in.registered, in.membersRead = make(chan struct{}), make(chan struct{})
	in.registrationLost = make(chan struct{}, 1)
	in.comparisons = map[string]*comparison{}
	in.statusTopic = statusTopic{newest: map[string]catalogue.ReleaseStatus{}}
	in.writtenStatuses = map[string]catalogue.ReleaseStatus{}
	in.pendingStatuses = map[string]pendingStatus{}
	in.awaited = map[*request.Call]awaited{}
	in.control = &Control{Clock: in.Clock, Log: in.Log.WithName("control")}
	in.self = catalogue.Member{
		Name: in.Settings.Name, PeerAddress: in.Settings.PeerAddress, CallerAddress: in.Settings.CallerAddress, Zone: in.Settings.Zone,
		Incarnation: int64(in.Clock.Wall()),
	}
	common := settings.Common{Log: in.Log, Clock: in.Clock}
	in.network = &membership.Network{Common: common, Self: in.self}
	in.control.OnMembersChanged = func(members []catalogue.Member) {
		in.network.SetMembers(members)
		in.membersReadOnce.Do(func() { close(in.membersRead) })
	}
	cache := &archive.Cache{}
	in.timedStore = &timedSource{Source: in.Store, clock: in.Clock}
	in.peerSource = &membership.PeerSource{
		Clock: in.Clock, Network: in.network, Store: in.timedStore, Cache: cache, Drain: in.Settings.Bounds.Drain,
		OlderInstances: in.olderMembers, AwaitMembers: in.awaitMembers,
	}
	in.loads = &membership.Loads{
		Clock: in.Clock, Self: in.self.Name, Zone: in.self.Zone, Network: in.network, OwnLoad: in.ownLoads,
		SetPeerLoads: in.applyPeerLoads, ZoneLeaders: in.zoneLeaders,
		OwnFigures: in.ownFigures, SetPeerFigures: in.applyPeerFigures,
	}
	members := func() []catalogue.Member { return in.control.Snapshot().Members }
	in.limits = &dispatch.NamedLimits{Log: in.Log.WithName("dispatch"), Self: in.self.Name, Members: members}
	in.slots = &occupancy.Slots{Log: in.Log.WithName("occupancy"), Self: in.self.Name, Members: members}
	in.planner = &placement.Planner{Zone: in.self.Zone, Members: func() int { return len(members()) }, OnFirstToken: in.observePlacement}
	in.notices = &dispatch.Notices{Log: in.Log.WithName("dispatch")}
	in.buildSuspects()
	in.detours = &detour.Detours{
		Clock: in.Clock, Log: in.Log.WithName("detour"), Self: in.self.Name, Dial: in.Dial, Members: members,
		Upstreams: func(service string) []*catalogue.Upstream { return in.control.Snapshot().Pools[service] },
	}
	return errors.CombineErrors(in.registerServices(cache), errors.CombineErrors(in.buildRevisions(), in.buildDuties()))
}

// registerServices registers what this instance answers to others.
func (in *Instance) registerServices(cache *archive.Cache) error {
	return errors.CombineErrors(errors.CombineErrors(
		in.network.Register(membership.ReaderName, &membership.Reader{Clock: in.Clock, Cache: cache}),
		in.network.Register(membership.LoadsName, in.loads),
	), in.network.Register(membership.RumorsName, in.rumors))
}

// buildSuspects creates the quarantine of requests and prompt parts, and the exchange of its news.
func (in *Instance) buildSuspects() {
	members := func() []catalogue.Member { return in.control.Snapshot().Members }
	in.suspects = &dispatch.CrashSuspects{Clock: in.Clock, Log: in.Log.WithName("dispatch"), Self: in.self.Name, Members: members}
	in.rumors = &membership.Rumors{
		Clock: in.Clock, Log: in.Log.WithName("membership"), Self: in.self, Network: in.network, Members: members, News: in.suspects.News,
		Hear: in.suspects.Hear,
	}
	in.quarantine = &quarantine.Keeper{
		Clock: in.Clock, Log: in.Log.WithName("quarantine"), Store: quarantineStore{in.Store, in.Records}, Suspects: in.suspects,
		Members: func() int { return len(members()) },
	}
	in.suspects.OnNews, in.suspects.OnOwnNews = in.rumors.Wake, in.quarantine.Wake
}

// quarantineStore is what quarantine.Keeper needs of the store.
type quarantineStore struct {
	archive.Source
	RecordWriter
}

func (in *Instance) serve(name string, s *http.Server, l net.Listener, a *custody.Account) {
	custody.Attach(s)
	go func() {
		if err := s.Serve(&custody.Listener{Listener: l, Account: a}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			in.Log.Error(err, "listener failed", "listener", name)
		}
	}()
}

// firstViewTimeout is how long callers right after the start wait for the first view. Reading it takes about ten milliseconds, and a
// refused caller would retry later than that.
const firstViewTimeout clock.Millis = 400

// serveCallers serves callers once the configuration and the upstream list were read, at the latest after firstViewTimeout.
func (in *Instance) serveCallers(ctx context.Context, s *http.Server, l net.Listener) {
	timeout, stop := in.Clock.Timer(firstViewTimeout)
	defer stop()
	select {
	case <-in.control.Loaded():
	case <-timeout:
	case <-ctx.Done():
	}
	in.serve("caller", s, l, in.accounts.callers)
}
