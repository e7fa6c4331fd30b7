package reservation

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// claimTimeout bounds the time from appending a claim to reading it back; after it the claim is abandoned.
	claimTimeout = 3 * clock.Second
	// sendWindow is the age of a claim up to which its request may be sent.
	sendWindow = 5 * clock.Second
	// holderTimeout is the age of a claim without outcome after which its holder is presumed lost.
	holderTimeout = 30 * clock.Second
	// maxOutcomeWait bounds how long a duplicate request waits for the outcome of the first.
	maxOutcomeWait = 10 * clock.Second
	// deadlineGrace is how long a call may run past its deadline before its outcome counts as unknown.
	deadlineGrace = 10 * clock.Second

	// maxPendingClaims is how many undecided claims are kept before abandoned ones older than abandonedClaimTTL are evicted.
	maxPendingClaims  = 4096
	abandonedClaimTTL = 600 * clock.Second
	// maxOutboxRecords bounds the outcomes and releases waiting to be appended.
	maxOutboxRecords = 10000

	defaultSkew              = 60 * clock.Second
	defaultMaxAge            = 24 * 3600 * clock.Second
	defaultMaxKeys           = 20000
	defaultMaxAnswerBytes    = 8 << 20
	defaultMaxBytesPerAnswer = 8 << 10
)

// Appender appends a record to the claims stream and returns its offset; *ledger.Batcher implements it.
type Appender interface {
	Append(ctx context.Context, record []byte) (int64, error)
}

// Follower reads the claims stream from its start and passes it on in batches; *ledger.Tail implements it.
type Follower interface {
	Run(ctx context.Context, handle func(sentAt clock.Millis, b backoffice.Batch)) error
}

// Coordinator tracks the claims of one stream and lets the request with each key run at most once; it is safe for concurrent use.
type Coordinator struct {
	Common settings.Common
	Log    Appender
	Tail   Follower
	// Incarnation increases with each restart of this instance.
	Incarnation int64
	// Skew, MaxAge, MaxKeys and MaxAnswerBytes are passed to Table; 0 means 60 s, 24 h, 20,000 keys and 8 MiB.
	Skew           clock.Millis
	MaxAge         clock.Millis
	MaxKeys        int
	MaxAnswerBytes int
	// MaxBytesPerAnswer bounds the size of an answer that is kept for replay; 0 means 8 KiB.
	MaxBytesPerAnswer int

	once  sync.Once
	mu    sync.Mutex
	table Table
	// caughtUpAt is the monotonic time as of which the stream was last read to its end; 0 if it never was.
	caughtUpAt clock.Millis
	// probeQueued is true while an empty record is being appended to learn the time of the log.
	probeQueued bool
	// pending has the undecided claims of this process by claim ID.
	pending map[string]*LocalClaim
	// watches has an entry for each key whose outcome a request waits for.
	watches map[string]*watch
	// outbox has the outcomes and releases that are not in the log yet.
	outbox ledger.Outbox
}

func (co *Coordinator) init() {
	co.once.Do(func() {
		co.table = Table{
			Skew:           orDefault(co.Skew, defaultSkew),
			MaxAge:         orDefault(co.MaxAge, defaultMaxAge),
			MaxKeys:        orDefault(co.MaxKeys, defaultMaxKeys),
			MaxAnswerBytes: orDefault(co.MaxAnswerBytes, defaultMaxAnswerBytes),
		}
		co.pending = map[string]*LocalClaim{}
		co.watches = map[string]*watch{}
		co.outbox = ledger.Outbox{Common: co.Common, Log: co.Log, Limit: maxOutboxRecords}
	})
}

func orDefault[T int | clock.Millis](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// Run follows the claims stream and appends outcomes and releases until ctx ends.
func (co *Coordinator) Run(ctx context.Context) error {
	co.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = co.outbox.Run(ctx) })
	return co.Tail.Run(ctx, co.handleBatch)
}

// Ready reports whether the stream was read to its end within Times.Horizon, so that new claims can be decided.
func (co *Coordinator) Ready() bool {
	co.init()
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.ready()
}

func (co *Coordinator) ready() bool {
	age := co.Common.Clock.Now() - co.caughtUpAt
	return co.caughtUpAt > 0 && !co.table.HasGap() && age <= co.Common.Settings.Times.Horizon
}

func (co *Coordinator) handleBatch(sentAt clock.Millis, batch backoffice.Batch) {
	co.mu.Lock()
	defer co.mu.Unlock()
	now := co.Common.Clock.Now()
	co.table.SetLogRange(batch.Oldest, batch.End)
	for _, e := range batch.Entries {
		co.apply(e, now)
	}
	if co.table.Next() < batch.End {
		return
	}
	co.caughtUpAt = sentAt
	if !co.table.HasGap() {
		co.probeQueued = false
	} else if !co.probeQueued {
		// The log timestamps the empty record, which gives the time after which keys are known to be unclaimed.
		co.probeQueued = true
		co.enqueue(&Record{})
	}
}

func (co *Coordinator) apply(e backoffice.Entry, now clock.Millis) {
	r := co.table.Apply(e, now)
	switch {
	case r.Claim != nil:
		co.decide(r.Claim)
		co.notify(r.Claim.Key)
	case r.Release != nil:
		co.notify(r.Release.Key)
	case r.Done != nil:
		co.notify(r.Done.Key)
	}
}

// decide resolves a claim of this process that was read back. An abandoned claim that won is released.
func (co *Coordinator) decide(c *Claim) {
	lc := co.pending[c.ID]
	if lc == nil {
		return
	}
	delete(co.pending, c.ID)
	s := co.table.Lookup(c.Key)
	first := s != nil && s.Claim.ID == c.ID && !s.Released
	lc.tooOld = s == nil || first && !co.table.Covers(c.KeyAt)
	lc.won = first && !lc.tooOld && !lc.abandoned
	if first && !lc.won {
		co.enqueue(&Record{Release: &Release{ID: c.ID, Key: c.Key}})
	}
	close(lc.decided)
}

// watch signals a change of the state of one key; waiters counts the requests that wait for it.
type watch struct {
	changed chan struct{}
	waiters int
}

// notify wakes the requests that wait for the key. The caller holds co.mu.
func (co *Coordinator) notify(key string) {
	if w := co.watches[key]; w != nil {
		delete(co.watches, key)
		close(w.changed)
	}
}

// watch registers a request that waits for the key. The caller holds co.mu.
func (co *Coordinator) watch(key string) *watch {
	w := co.watches[key]
	if w == nil {
		w = &watch{changed: make(chan struct{})}
		co.watches[key] = w
	}
	w.waiters++
	return w
}

// unwatch removes a request that waited for the key.
func (co *Coordinator) unwatch(key string, w *watch) {
	co.mu.Lock()
	defer co.mu.Unlock()
	w.waiters--
	if w.waiters == 0 && co.watches[key] == w {
		delete(co.watches, key)
	}
}

// register adds a pending claim for the fingerprint.
func (co *Coordinator) register(fp fingerprint) *LocalClaim {
	lc := &LocalClaim{
		coordinator: co,
		id:          uuid.NewString(),
		fingerprint: fp,
		createdAt:   co.Common.Clock.Now(),
		decided:     make(chan struct{}),
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	if len(co.pending) >= maxPendingClaims {
		co.evictAbandoned(lc.createdAt - abandonedClaimTTL)
	}
	co.pending[lc.id] = lc
	return lc
}

// evictAbandoned drops abandoned claims created before the given time. If such a claim is appended later still, it is not
// released, which is safe: its key stays claimed.
func (co *Coordinator) evictAbandoned(before clock.Millis) {
	for id, lc := range co.pending {
		if lc.abandoned && lc.createdAt < before {
			delete(co.pending, id)
		}
	}
}

// unregister drops a claim that is known not to be in the log.
func (co *Coordinator) unregister(lc *LocalClaim) {
	co.mu.Lock()
	defer co.mu.Unlock()
	delete(co.pending, lc.id)
}

// enqueue appends a record in the background. A record that cannot be encoded, or for which the outbox has no room, is dropped;
// its key stays claimed, which is safe.
func (co *Coordinator) enqueue(r *Record) {
	data, err := encode(r)
	if err != nil || co.outbox.Add(data) == nil {
		co.Common.Log.WithName("reservation").Info("dropped record: it could not be encoded or the outbox is full", "claim", r.claimID())
	}
}

// Flush waits until all outcomes and releases are in the log, and returns the cause if ctx ends first.
func (co *Coordinator) Flush(ctx context.Context) error {
	co.init()
	return co.outbox.Wait(ctx)
}
