package ledger

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// defaultLogWait is how long the end of an answer waits for the log before a peer is asked.
	defaultLogWait clock.Millis = 200
	// peerWait bounds one call to a peer, in milliseconds.
	peerWait clock.Millis = 500
	// peerTries bounds the peers that are asked to hold a bill.
	peerTries = 3
	// defaultMaxUnsafe bounds the bills that only this instance has.
	defaultMaxUnsafe = 1000
	// defaultMaxOwed bounds the bills that the log doesn't have.
	defaultMaxOwed = 20000
	// owedReserve is room for the bills of calls that were admitted just below the bounds.
	owedReserve = 10000
	// retryLeast is the least RetryAfter of a refusal, in milliseconds; up to as much again is added by chance.
	retryLeast = 2 * clock.Second
	// dropEvery is the period in which peers are told which bills the log has, in milliseconds.
	dropEvery = 1 * clock.Second
)

// Peers calls other entry instances by net/rpc.
type Peers interface {
	Call(ctx context.Context, member, method string, args, reply any) error
}

// Biller is the filter that bills each request once. It stands before cascades and retries, so that they make one line,
// and after claims, so that a replayed answer isn't billed again. It is safe for concurrent use.
type Biller struct {
	Common settings.Common
	Log    RecordAppender
	Peers  Peers
	// Members returns the entry instances.
	Members func() []catalogue.Member
	// Keeper holds the bills of other instances here.
	Keeper *BillKeeper
	// LogWait is how long the end of an answer waits for the log before a peer is asked, in milliseconds; 0 means 200.
	LogWait clock.Millis
	// MaxUnsafe bounds the bills that only this instance has, MaxOwed those that the log doesn't have; 0 means a default.
	MaxUnsafe int
	MaxOwed   int

	once   sync.Once
	outbox Outbox
	mu     sync.Mutex
	// owed are the bills that the log doesn't have yet.
	owed map[*Posted]*owedBill
	// unsafe counts those that no peer holds either.
	unsafe int
	// drops are the bills that keepers need not hold any longer, by keeper.
	drops map[string][]BillKey
}

// owedBill is a bill on its way into the log; keeper is the peer that holds it too, or empty.
type owedBill struct {
	bill   *Bill
	keeper string
}

func (b *Biller) init() {
	b.once.Do(func() {
		b.owed = map[*Posted]*owedBill{}
		b.drops = map[string][]BillKey{}
		limit := orDefault(b.MaxOwed, defaultMaxOwed) + owedReserve
		b.outbox = Outbox{Common: b.Common, Log: b.Log, Limit: limit, Appended: b.appended}
		b.outbox.init()
	})
}

// Filter bills the call, and holds the end of its answer back until the bill is safe. Calls that did not run are not billed.
func (b *Biller) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	b.init()
	if r := b.admit(); r != nil {
		return r
	}
	w := &billWriter{biller: b, Writer: c.Writer}
	c.Writer = w
	err := next.Handle(ctx, c)
	c.Writer = w.Writer
	if w.billed || err == nil && len(c.Usage) == 0 {
		return err
	}
	outcome := request.MayHaveRun
	var r *request.Refusal
	if errors.As(err, &r) {
		outcome = r.Outcome
	}
	if outcome != request.NotRun {
		b.makeSafe(ctx, b.bill(c, outcome))
	}
	return err
}

// admit refuses new calls while too many bills are held by this instance alone, or not by the log.
func (b *Biller) admit() *request.Refusal {
	unsafe, owed := b.Owed()
	if unsafe < orDefault(b.MaxUnsafe, defaultMaxUnsafe) && owed < orDefault(b.MaxOwed, defaultMaxOwed) {
		return nil
	}
	return request.Refuse(request.ReasonLogUnavailable, retryLeast+rand.N(retryLeast), "%d bills wait for the log", owed)
}

// Owed returns how many bills only this instance has, and how many the log doesn't have.
func (b *Biller) Owed() (unsafe, owed int) {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unsafe, len(b.owed)
}

func (b *Biller) bill(c *request.Call, outcome request.Outcome) *Bill {
	return &Bill{
		RequestID: c.Request.ID,
		Workspace: c.Request.Workspace,
		Profile:   c.Request.Profile,
		Service:   c.Request.Service,
		Outcome:   outcome,
		Usage:     slices.Clone(c.Usage),
		Cost:      c.Cost(),
		At:        b.Common.Clock.Wall(),
		Instance:  b.Common.Settings.Name,
	}
}

// makeSafe returns once the log or a peer has the bill, or when neither takes it; then this instance alone holds it and
// appends it later.
func (b *Biller) makeSafe(ctx context.Context, l *Bill) {
	p := b.owe(l)
	if p == nil {
		return
	}
	late, stop := b.Common.Clock.Timer(orDefault(b.LogWait, defaultLogWait))
	defer stop()
	select {
	case <-p.appended:
		return
	case <-p.failed:
	case <-late:
	}
	if keeper := b.hold(context.WithoutCancel(ctx), []*Bill{l}); keeper != "" {
		b.setKeeper(p, keeper, l.Key())
	}
}

func (b *Biller) owe(l *Bill) *Posted {
	data, err := encodeBill(l)
	if err != nil {
		b.logger().Error(err, "bill can't be encoded", "request", l.RequestID)
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.outbox.Add(data)
	if p == nil {
		b.logger().Info("bill lost, the queue is full", "bill", string(data))
		return nil
	}
	b.owed[p] = &owedBill{bill: l}
	b.unsafe++
	return p
}

// setKeeper notes which peer holds the bill. When the log has it by now, the peer may drop it.
func (b *Biller) setKeeper(p *Posted, keeper string, key BillKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.owed[p]
	if o == nil {
		b.drops[keeper] = append(b.drops[keeper], key)
		return
	}
	o.keeper = keeper
	b.unsafe--
}

// appended forgets a bill that the log has.
func (b *Biller) appended(p *Posted) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.owed[p]
	if o == nil {
		return
	}
	delete(b.owed, p)
	if o.keeper == "" {
		b.unsafe--
		return
	}
	b.drops[o.keeper] = append(b.drops[o.keeper], o.bill.Key())
}

// hold asks peers to hold the bills and returns the name of the one that does, or an empty name.
func (b *Biller) hold(ctx context.Context, bills []*Bill) string {
	for _, m := range b.keepers(bills[0].RequestID) {
		var reply HoldReply
		if err := b.call(ctx, m.Name, "BillKeeper.Hold", &HoldArgs{Bills: bills}, &reply); err == nil && reply.Held {
			return m.Name
		}
	}
	return ""
}

func (b *Biller) call(ctx context.Context, member, method string, args, reply any) error {
	ctx, cancel := clock.WithTimeout(ctx, b.Common.Clock, peerWait)
	defer cancel()
	return b.Peers.Call(ctx, member, method, args, reply)
}

// keepers returns the peers to ask, by rendezvous on the request id; those of other availability zones come first.
func (b *Biller) keepers(id string) []catalogue.Member {
	var far, near []catalogue.Member
	for _, m := range membership.Rank(id, b.Members()) {
		switch {
		case m.Name == b.Common.Settings.Name || m.Leaving:
		case m.Zone != b.Common.Settings.Zone:
			far = append(far, m)
		default:
			near = append(near, m)
		}
	}
	all := append(far, near...)
	return all[:min(len(all), peerTries)]
}
