package ledger

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// originTimeout is how long an origin must send no heartbeat before its keeper appends its bills.
	originTimeout = 6 * clock.Second
	// keeperInterval is the period in which a keeper checks for such origins.
	keeperInterval      = 1 * clock.Second
	defaultMaxHeld      = 20000
	defaultMaxHeldBytes = 8 << 20
)

// HoldArgs has the bills of which a peer is asked to hold replicas.
type HoldArgs struct {
	Bills []*Bill
}

// HoldReply reports in Held whether the peer holds all of the bills; otherwise it stored none of them.
type HoldReply struct {
	Held bool
}

// DropArgs has the bills that the log has, and is a heartbeat of their Origin, which will append its other bills itself.
type DropArgs struct {
	Origin string
	Bills  []BillKey
}

// DropReply is the empty reply that net/rpc requires of BillKeeper.Drop.
type DropReply struct{}

// BillKeeper is a net/rpc receiver that holds replicas of other instances' bills until the log has them, and appends those of
// an origin that sends no heartbeat; it is safe for concurrent use.
type BillKeeper struct {
	Common settings.Common
	Log    RecordAppender
	// MaxHeld and MaxBytes bound the held bills; 0 means 20000 and 8 MiB.
	MaxHeld  int
	MaxBytes int

	once sync.Once
	mu   sync.Mutex
	held map[BillKey]*heldBill
	// lastContact is the time of the last heartbeat of each origin.
	lastContact map[string]clock.Millis
	bytes       int
	outbox      Outbox
	// closed is set when this instance shuts down and accepts no more bills.
	closed bool
}

type heldBill struct {
	bill   *Bill
	data   []byte
	since  clock.Millis
	queued bool
}

func (k *BillKeeper) init() {
	k.once.Do(func() {
		k.held = map[BillKey]*heldBill{}
		k.lastContact = map[string]clock.Millis{}
		limit := orDefault(k.MaxHeld, defaultMaxHeld)
		k.outbox = Outbox{Common: k.Common, Log: k.Log, Limit: limit, Appended: k.appended}
		k.outbox.init()
	})
}

// Hold stores replicas of all of the bills, or of none if they don't fit or this instance is shutting down.
func (k *BillKeeper) Hold(args *HoldArgs, reply *HoldReply) error {
	k.init()
	added := make(map[BillKey]*heldBill, len(args.Bills))
	size := 0
	for _, bill := range args.Bills {
		data, err := encodeBill(bill)
		if err != nil {
			return err
		}
		added[bill.Key()] = &heldBill{bill: bill, data: data, since: k.Common.Clock.Now()}
		size += len(data)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	full := len(k.held)+len(added) > orDefault(k.MaxHeld, defaultMaxHeld) || k.bytes+size > orDefault(k.MaxBytes, defaultMaxHeldBytes)
	if k.closed || full {
		return nil
	}
	for key, h := range added {
		if k.held[key] == nil {
			k.held[key] = h
			k.bytes += len(h.data)
		}
	}
	reply.Held = true
	return nil
}

// Drop removes bills that the log has, and records the heartbeat of their origin.
func (k *BillKeeper) Drop(args *DropArgs, _ *DropReply) error {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range args.Bills {
		k.remove(key)
	}
	k.lastContact[args.Origin] = k.Common.Clock.Now()
	return nil
}

// Run appends the bills of origins without a recent heartbeat, until ctx ends.
func (k *BillKeeper) Run(ctx context.Context) error {
	k.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = k.outbox.Run(ctx) })
	for clock.Sleep(ctx, k.Common.Clock, keeperInterval) == nil {
		k.enqueueSilentSince(k.Common.Clock.Now() - originTimeout)
	}
	return nil
}

// close makes the keeper refuse further bills, which may come from instances whose member list still has this one.
func (k *BillKeeper) close() {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
}

// enqueueSilentSince queues the bills for the log whose origin has not been heard from since the cutoff.
func (k *BillKeeper) enqueueSilentSince(cutoff clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.held {
		if !h.queued && max(h.since, k.lastContact[h.bill.Instance]) <= cutoff {
			h.queued = k.outbox.Add(h.data) != nil
		}
	}
	for origin, at := range k.lastContact {
		if at <= cutoff {
			delete(k.lastContact, origin)
		}
	}
}

func (k *BillKeeper) appended(p *OutboxRecord) {
	bill, err := DecodeBill(p.data)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.remove(bill.Key())
}

func (k *BillKeeper) remove(key BillKey) {
	if h := k.held[key]; h != nil {
		delete(k.held, key)
		k.bytes -= len(h.data)
	}
}

// Bills returns the bills held for other instances, in no particular order.
func (k *BillKeeper) Bills() []*Bill {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	bills := make([]*Bill, 0, len(k.held))
	for _, h := range k.held {
		bills = append(bills, h.bill)
	}
	return bills
}
