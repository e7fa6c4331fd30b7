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
	// claimWait bounds the time from a claim to its verdict; beyond it the claim is given up.
	claimWait = 3 * clock.Second
	// sendWithin is the age at which a claim no longer allows a send.
	sendWithin = 5 * clock.Second
	// settleAfter is the age at which nobody waits any longer for the outcome of a claim.
	settleAfter = 30 * clock.Second
	// outcomeWait bounds how long a second asker waits for the outcome of the first.
	outcomeWait = 10 * clock.Second
	// runGrace is what a call may take beyond its deadline until its outcome is taken as unknown.
	runGrace = 10 * clock.Second

	// ownLimit is how many undecided claims are kept before those that were given up lateAfter ago are forgotten.
	ownLimit  = 4096
	lateAfter = 600 * clock.Second
	// owedLimit bounds the outcomes and releases that wait for the log.
	owedLimit = 10000

	defaultSkew           = 60 * clock.Second
	defaultMaxAge         = 24 * 3600 * clock.Second
	defaultMaxKeys        = 20000
	defaultMaxAnswerBytes = 8 << 20
	defaultAnswerLimit    = 8 << 10
)

// Appender adds a record to the claims stream; *ledger.Batcher is one.
type Appender interface {
	Append(ctx context.Context, record []byte) (int64, error)
}

// Follower hands over the claims stream from its start on; *ledger.Tail is one.
type Follower interface {
	Run(ctx context.Context, take func(sentAt clock.Millis, b backoffice.Batch)) error
}

// Book holds the claims of one stream and lets the request of each key run at most once; it is safe for concurrent use.
type Book struct {
	Common settings.Common
	Log    Appender
	Tail   Follower
	// Incarnation grows with each restart of this instance.
	Incarnation int64
	// Skew, MaxAge, MaxKeys and MaxAnswerBytes are those of Table; 0 means a default.
	Skew           clock.Millis
	MaxAge         clock.Millis
	MaxKeys        int
	MaxAnswerBytes int
	// AnswerLimit bounds the answer that is kept for a second asker, in bytes; 0 means 8 KiB.
	AnswerLimit int

	once  sync.Once
	mu    sync.Mutex
	table Table
	// endAt is the time as of which the stream was read to its end; 0 before that.
	endAt clock.Millis
	// asked is true when an empty record is on its way to the log.
	asked bool
	// own are the claims of this process that were not decided yet.
	own map[string]*Held
	// watched has the keys that requests wait for.
	watched map[string]*watch
	// outbox has the outcomes and releases that the log doesn't have yet.
	outbox ledger.Outbox
}

func (b *Book) init() {
	b.once.Do(func() {
		b.table = Table{
			Skew:           orDefault(b.Skew, defaultSkew),
			MaxAge:         orDefault(b.MaxAge, defaultMaxAge),
			MaxKeys:        orDefault(b.MaxKeys, defaultMaxKeys),
			MaxAnswerBytes: orDefault(b.MaxAnswerBytes, defaultMaxAnswerBytes),
		}
		b.own = map[string]*Held{}
		b.watched = map[string]*watch{}
		b.outbox = ledger.Outbox{Common: b.Common, Log: b.Log, Limit: owedLimit}
	})
}

func orDefault[T int | clock.Millis](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// Run follows the claims stream and appends outcomes and releases until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	b.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = b.outbox.Run(ctx) })
	return b.Tail.Run(ctx, b.take)
}

// Ready tells whether the stream was read to its end within the horizon, so that new claims are possible.
func (b *Book) Ready() bool {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready()
}

func (b *Book) ready() bool {
	age := b.Common.Clock.Now() - b.endAt
	return b.endAt > 0 && !b.table.Missing() && age <= b.Common.Settings.Times.Horizon
}

// take folds one batch of the stream.
func (b *Book) take(sentAt clock.Millis, batch backoffice.Batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Common.Clock.Now()
	b.table.Skip(batch.Oldest, batch.End)
	for _, e := range batch.Entries {
		b.fold(e, now)
	}
	if b.table.Next() < batch.End {
		return
	}
	b.endAt = sentAt
	if !b.table.Missing() {
		b.asked = false
	} else if !b.asked {
		// An empty record makes the log show its time, which tells from when on keys can be proved new.
		b.asked = true
		b.owe(&Record{})
	}
}

func (b *Book) fold(e backoffice.Entry, now clock.Millis) {
	r := b.table.Fold(e, now)
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

// decide gives a claim of this process its verdict. One that was given up and won all the same is released.
func (b *Book) decide(c *Claim) {
	h := b.own[c.ID]
	if h == nil {
		return
	}
	delete(b.own, c.ID)
	s := b.table.Slot(c.Key)
	first := s != nil && s.Claim.ID == c.ID && !s.Released
	h.tooOld = s == nil || first && !b.table.Provable(c.KeyAt)
	h.won = first && !h.tooOld && !h.abandoned
	if first && !h.won {
		b.owe(&Record{Release: &Release{ID: c.ID, Key: c.Key}})
	}
	close(h.decided)
}

// watch is closed when the slot of a key changes; waiters counts the requests that wait for it.
type watch struct {
	changed chan struct{}
	waiters int
}

// notify wakes the requests that wait for the key; b.mu is held.
func (b *Book) notify(key string) {
	if w := b.watched[key]; w != nil {
		delete(b.watched, key)
		close(w.changed)
	}
}

// watch registers a request that waits for the key; b.mu is held.
func (b *Book) watch(key string) *watch {
	w := b.watched[key]
	if w == nil {
		w = &watch{changed: make(chan struct{})}
		b.watched[key] = w
	}
	w.waiters++
	return w
}

// unwatch tells that a request no longer waits for the key.
func (b *Book) unwatch(key string, w *watch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.waiters--
	if w.waiters == 0 && b.watched[key] == w {
		delete(b.watched, key)
	}
}

// hold registers a new claim for the ticket.
func (b *Book) hold(t ticket) *Held {
	h := &Held{
		book:    b,
		id:      uuid.NewString(),
		ticket:  t,
		bornAt:  b.Common.Clock.Now(),
		decided: make(chan struct{}),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.own) >= ownLimit {
		b.sweep(h.bornAt - lateAfter)
	}
	b.own[h.id] = h
	return h
}

// sweep forgets claims that were given up before a time. One that lands still later stays unreleased, which is safe.
func (b *Book) sweep(before clock.Millis) {
	for id, h := range b.own {
		if h.abandoned && h.bornAt < before {
			delete(b.own, id)
		}
	}
}

// forget drops a claim that is certainly not in the log.
func (b *Book) forget(h *Held) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.own, h.id)
}

// owe appends a record in the background. One that finds no room is dropped; its key stays claimed, which is safe.
func (b *Book) owe(r *Record) {
	data, err := encode(r)
	if err != nil || b.outbox.Add(data) == nil {
		b.Common.Log.WithName("reservation").Info("outcome not recorded, too many wait for the log", "record", r.name())
	}
}

// Flush returns once all outcomes and releases are in the log, or the cause for which ctx ended.
func (b *Book) Flush(ctx context.Context) error {
	b.init()
	return b.outbox.Wait(ctx)
}
