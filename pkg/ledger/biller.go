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
	// defaultLogWait is how long the end of an answer waits for the log before the bill is replicated to a peer.
	defaultLogWait  clock.Millis = 200
	peerCallTimeout clock.Millis = 500
	// maxPeerAttempts bounds the peers that are asked in turn to hold a bill.
	maxPeerAttempts = 3
	// defaultMaxUnreplicated bounds the bills that would be lost with this instance.
	defaultMaxUnreplicated = 1000
	// defaultMaxPending bounds the bills that are not yet in the log.
	defaultMaxPending = 20000
	// pendingReserve is outbox capacity for calls that were admitted just below the bounds and end later.
	pendingReserve = 10000
	// minRetryAfter is the RetryAfter of a refusal without its random jitter, which is at most as long.
	minRetryAfter = 2 * clock.Second
	// dropInterval is the period in which keepers are notified of the bills that they may drop.
	dropInterval = 1 * clock.Second
)

// Peers calls a net/rpc method of another entry instance, named by member.
type Peers interface {
	Call(ctx context.Context, member, method string, args, reply any) error
}

// Biller is a request filter that bills each request exactly once and is safe for concurrent use.
type Biller struct {
	Common settings.Common
	Log    RecordAppender
	Peers  Peers
	// Members returns the entry instances; this one may be among them.
	Members func() []catalogue.Member
	// Keeper holds replicas of the bills of other instances; nil means none.
	Keeper *BillKeeper
	// LogWait is how long the end of an answer waits for the log before the bill is replicated to a peer, in milliseconds;
	// 0 means 200.
	LogWait clock.Millis
	// MaxUnreplicated bounds the bills that neither the log nor a peer has, and MaxPending those that the log doesn't have;
	// new calls are refused beyond either. 0 means 1000 and 20000.
	MaxUnreplicated int
	MaxPending      int

	once   sync.Once
	outbox Outbox
	mu     sync.Mutex
	// pending has the bills that are not yet in the log.
	pending map[*OutboxRecord]*pendingBill
	// unreplicated counts the pending bills that no peer holds.
	unreplicated int
	// drops has the bills that a keeper may drop because the log has them, by keeper.
	drops map[string][]BillKey
}

// pendingBill is a bill that is not yet in the log.
type pendingBill struct {
	bill *Bill
	// keeper is the peer that holds a replica, or empty.
	keeper string
}

func (b *Biller) init() {
	b.once.Do(func() {
		b.pending = map[*OutboxRecord]*pendingBill{}
		b.drops = map[string][]BillKey{}
		limit := orDefault(b.MaxPending, defaultMaxPending) + pendingReserve
		b.outbox = Outbox{Common: b.Common, Log: b.Log, Limit: limit, Appended: b.appended}
		b.outbox.init()
	})
}

// Filter bills the call unless it did not run, and delays the end of its answer until the log or a peer has the bill or neither
// accepts it.
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
		b.persist(ctx, b.newBill(c, outcome))
	}
	return err
}

// admit refuses new calls while too many bills are unreplicated or pending.
func (b *Biller) admit() *request.Refusal {
	unreplicated, pending := b.Backlog()
	if unreplicated < orDefault(b.MaxUnreplicated, defaultMaxUnreplicated) && pending < orDefault(b.MaxPending, defaultMaxPending) {
		return nil
	}
	return request.Refuse(request.ReasonLogUnavailable, minRetryAfter+rand.N(minRetryAfter), "%d bills wait for the log", pending)
}

// Backlog returns how many bills neither the log nor a peer has, and how many are not yet in the log.
func (b *Biller) Backlog() (unreplicated, pending int) {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreplicated, len(b.pending)
}

func (b *Biller) newBill(c *request.Call, outcome request.Outcome) *Bill {
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

// persist queues the bill for the log and returns once the log or a peer has it. If neither accepts it, the bill stays in the
// outbox of this instance alone.
func (b *Biller) persist(ctx context.Context, bill *Bill) {
	p := b.enqueue(bill)
	if p == nil {
		return
	}
	timeout, stop := b.Common.Clock.Timer(orDefault(b.LogWait, defaultLogWait))
	defer stop()
	select {
	case <-p.appended:
		return
	case <-p.failed:
	case <-timeout:
	}
	if keeper := b.replicate(context.WithoutCancel(ctx), []*Bill{bill}); keeper != "" {
		b.setKeeper(p, keeper, bill.Key())
	}
}

// enqueue adds the bill to the outbox, or returns nil if that fails.
func (b *Biller) enqueue(bill *Bill) *OutboxRecord {
	data, err := encodeBill(bill)
	if err != nil {
		b.logger().Error(err, "failed to encode bill", "request", bill.RequestID)
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.outbox.Add(data)
	if p == nil {
		b.logger().Info("dropped bill: outbox is full", "bill", string(data))
		return nil
	}
	b.pending[p] = &pendingBill{bill: bill}
	b.unreplicated++
	return p
}

// setKeeper records which peer holds a replica of the bill. If the log has the bill by now, the peer may drop it.
func (b *Biller) setKeeper(p *OutboxRecord, keeper string, key BillKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pb := b.pending[p]
	if pb == nil {
		b.drops[keeper] = append(b.drops[keeper], key)
		return
	}
	pb.keeper = keeper
	b.unreplicated--
}

// appended removes a bill that the log has, and lets its keeper drop it.
func (b *Biller) appended(p *OutboxRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pb := b.pending[p]
	if pb == nil {
		return
	}
	delete(b.pending, p)
	if pb.keeper == "" {
		b.unreplicated--
		return
	}
	b.drops[pb.keeper] = append(b.drops[pb.keeper], pb.bill.Key())
}

// replicate asks peers in turn to hold the bills and returns the name of the one that does, or an empty string.
func (b *Biller) replicate(ctx context.Context, bills []*Bill) string {
	for _, m := range b.keeperCandidates(bills[0].RequestID) {
		var reply HoldReply
		if err := b.callPeer(ctx, m.Name, "BillKeeper.Hold", &HoldArgs{Bills: bills}, &reply); err == nil && reply.Held {
			return m.Name
		}
	}
	return ""
}

func (b *Biller) callPeer(ctx context.Context, member, method string, args, reply any) error {
	ctx, cancel := clock.WithTimeout(ctx, b.Common.Clock, peerCallTimeout)
	defer cancel()
	return b.Peers.Call(ctx, member, method, args, reply)
}

// keeperCandidates returns the peers to ask, in rendezvous order of the request id, with those in other availability zones
// first.
func (b *Biller) keeperCandidates(id string) []catalogue.Member {
	var otherZones, sameZone []catalogue.Member
	for _, m := range membership.Rank(id, b.Members()) {
		switch {
		case m.Name == b.Common.Settings.Name || m.Leaving:
		case m.Zone != b.Common.Settings.Zone:
			otherZones = append(otherZones, m)
		default:
			sameZone = append(sameZone, m)
		}
	}
	all := append(otherZones, sameZone...)
	return all[:min(len(all), maxPeerAttempts)]
}
