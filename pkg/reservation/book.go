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

func (b *Coordinator) init() {
	b.once.Do(func() {
		b.table = Table{
			Skew:           orDefault(b.Skew, defaultSkew),
			MaxAge:         orDefault(b.MaxAge, defaultMaxAge),
			MaxKeys:        orDefault(b.MaxKeys, defaultMaxKeys),
			MaxAnswerBytes: orDefault(b.MaxAnswerBytes, defaultMaxAnswerBytes),
		}
		b.pending = map[string]*LocalClaim{}
		b.watches = map[string]*watch{}
		b.outbox = ledger.Outbox{Common: b.Common, Log: b.Log, Limit: maxOutboxRecords}
	})
}

func orDefault[T int | clock.Millis](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// Run follows the claims stream and appends outcomes and releases until ctx ends.
func (b *Coordinator) Run(ctx context.Context) error {
	b.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = b.outbox.Run(ctx) })
	return b.Tail.Run(ctx, b.handleBatch)
}

// Ready reports whether the stream was read to its end within Times.Horizon, so that new claims can be decided.
func (b *Coordinator) Ready() bool {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready()
}

func (b *Coordinator) ready() bool {
	age := b.Common.Clock.Now() - b.caughtUpAt
	return b.caughtUpAt > 0 && !b.table.HasGap() && age <= b.Common.Settings.Times.Horizon
}

func (b *Coordinator) handleBatch(sentAt clock.Millis, batch backoffice.Batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Common.Clock.Now()
	b.table.SetLogRange(batch.Oldest, batch.End)
	for _, e := range batch.Entries {
		b.apply(e, now)
	}
	if b.table.Next() < batch.End {
		return
	}
	b.caughtUpAt = sentAt
	if !b.table.HasGap() {
		b.probeQueued = false
	} else if !b.probeQueued {
		// The log timestamps the empty record, which gives the time after which keys are known to be unclaimed.
		b.probeQueued = true
		b.enqueue(&Record{})
	}
}

func (b *Coordinator) apply(e backoffice.Entry, now clock.Millis) {
	r := b.table.Apply(e, now)
	switch {
	case r.Claim != nil:
		b.decide(r.Claim)
		b.notify(r.Claim.Key)
	case r.Release != nil:
		b.notify(r.Release.Key)
	case r.Done != nil:
		b.notify(r.Done.Key)
	}
}

// decide resolves a claim of this process that was read back. An abandoned claim that won is released.
func (b *Coordinator) decide(c *Claim) {
	lc := b.pending[c.ID]
	if lc == nil {
		return
	}
	delete(b.pending, c.ID)
	s := b.table.Lookup(c.Key)
	first := s != nil && s.Claim.ID == c.ID && !s.Released
	lc.tooOld = s == nil || first && !b.table.Covers(c.KeyAt)
	lc.won = first && !lc.tooOld && !lc.abandoned
	if first && !lc.won {
		b.enqueue(&Record{Release: &Release{ID: c.ID, Key: c.Key}})
	}
	close(lc.decided)
}

// watch signals a change of the state of one key; waiters counts the requests that wait for it.
type watch struct {
	changed chan struct{}
	waiters int
}

// notify wakes the requests that wait for the key. The caller holds b.mu.
func (b *Coordinator) notify(key string) {
	if w := b.watches[key]; w != nil {
		delete(b.watches, key)
		close(w.changed)
	}
}

// watch registers a request that waits for the key. The caller holds b.mu.
func (b *Coordinator) watch(key string) *watch {
	w := b.watches[key]
	if w == nil {
		w = &watch{changed: make(chan struct{})}
		b.watches[key] = w
	}
	w.waiters++
	return w
}

// unwatch removes a request that waited for the key.
func (b *Coordinator) unwatch(key string, w *watch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.waiters--
	if w.waiters == 0 && b.watches[key] == w {
		delete(b.watches, key)
	}
}

// register adds a pending claim for the fingerprint.
func (b *Coordinator) register(fp fingerprint) *LocalClaim {
	lc := &LocalClaim{
		book:        b,
		id:          uuid.NewString(),
		fingerprint: fp,
		createdAt:   b.Common.Clock.Now(),
		decided:     make(chan struct{}),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPendingClaims {
		b.evictAbandoned(lc.createdAt - abandonedClaimTTL)
	}
	b.pending[lc.id] = lc
	return lc
}

// evictAbandoned drops abandoned claims created before the given time. If such a claim is appended later still, it is not
// released, which is safe: its key stays claimed.
func (b *Coordinator) evictAbandoned(before clock.Millis) {
	for id, lc := range b.pending {
		if lc.abandoned && lc.createdAt < before {
			delete(b.pending, id)
		}
	}
}

// unregister drops a claim that is known not to be in the log.
func (b *Coordinator) unregister(lc *LocalClaim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, lc.id)
}

// enqueue appends a record in the background. If the outbox is full the record is dropped and its key stays claimed,
// which is safe.
func (b *Coordinator) enqueue(r *Record) {
	data, err := encode(r)
	if err != nil || b.outbox.Add(data) == nil {
		b.Common.Log.WithName("reservation").Info("dropping record because the outbox is full", "claim", r.claimID())
	}
}

// Flush waits until all outcomes and releases are in the log, and returns the cause if ctx ends first.
func (b *Coordinator) Flush(ctx context.Context) error {
	b.init()
	return b.outbox.Wait(ctx)
}
