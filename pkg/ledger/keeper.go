package ledger

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// holdFor is how long an origin must be silent before a keeper appends its bills, in milliseconds.
	holdFor = 6 * clock.Second
	// keepEvery is the period in which a keeper looks for such bills, in milliseconds.
	keepEvery        = 1 * clock.Second
	defaultMaxHeld   = 20000
	defaultHeldBytes = 8 << 20
)

// HoldArgs are the bills that a peer is asked to hold.
type HoldArgs struct {
	Bills []*Bill
}

// HoldReply tells whether the peer holds all of them.
type HoldReply struct {
	Held bool
}

// DropArgs are the bills that the log has. They also show that their origin lives and will append the others.
type DropArgs struct {
	Origin string
	Bills  []BillKey
}

// DropReply is empty.
type DropReply struct{}

// BillKeeper holds bills of other instances while the log does not take them, and appends those whose origin
// falls silent. It is a net/rpc receiver and safe for concurrent use.
type BillKeeper struct {
	Common settings.Common
	Log    RecordAppender
	// MaxHeld and MaxBytes bound what is held; 0 means a default.
	MaxHeld  int
	MaxBytes int

	once sync.Once
	mu   sync.Mutex
	held map[BillKey]*heldBill
	// heard is when each origin was heard of last.
	heard  map[string]clock.Millis
	bytes  int
	outbox Outbox
	// closed is true when this instance is leaving and takes no more bills.
	closed bool
}

type heldBill struct {
	bill   *Bill
	data   []byte
	since  clock.Millis
	posted bool
}

func (k *BillKeeper) init() {
	k.once.Do(func() {
		k.held = map[BillKey]*heldBill{}
		k.heard = map[string]clock.Millis{}
		limit := orDefault(k.MaxHeld, defaultMaxHeld)
		k.outbox = Outbox{Common: k.Common, Log: k.Log, Limit: limit, Appended: k.appended}
		k.outbox.init()
	})
}

// Hold takes all of the bills or none of them.
func (k *BillKeeper) Hold(args *HoldArgs, reply *HoldReply) error {
	k.init()
	fresh := make(map[BillKey]*heldBill, len(args.Bills))
	size := 0
	for _, l := range args.Bills {
		data, err := encodeBill(l)
		if err != nil {
			return err
		}
		fresh[l.Key()] = &heldBill{bill: l, data: data, since: k.Common.Clock.Now()}
		size += len(data)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	full := len(k.held)+len(fresh) > orDefault(k.MaxHeld, defaultMaxHeld) || k.bytes+size > orDefault(k.MaxBytes, defaultHeldBytes)
	if k.closed || full {
		return nil
	}
	for key, h := range fresh {
		if k.held[key] == nil {
			k.held[key] = h
			k.bytes += len(h.data)
		}
	}
	reply.Held = true
	return nil
}

// Drop forgets bills that the log has, and leaves the others of the same origin to it for a while longer.
func (k *BillKeeper) Drop(args *DropArgs, _ *DropReply) error {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range args.Bills {
		k.forget(key)
	}
	k.heard[args.Origin] = k.Common.Clock.Now()
	return nil
}

// Run appends bills whose origin is silent, until ctx ends.
func (k *BillKeeper) Run(ctx context.Context) error {
	k.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = k.outbox.Run(ctx) })
	for clock.Sleep(ctx, k.Common.Clock, keepEvery) == nil {
		k.post(k.Common.Clock.Now() - holdFor)
	}
	return nil
}

// close makes the keeper refuse further bills, also from instances whose list still shows this one.
func (k *BillKeeper) close() {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
}

// post hands the bills to the log whose origin was not heard of since before a time.
func (k *BillKeeper) post(before clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.held {
		if !h.posted && max(h.since, k.heard[h.bill.Instance]) <= before {
			h.posted = k.outbox.Add(h.data) != nil
		}
	}
	for origin, at := range k.heard {
		if at <= before {
			delete(k.heard, origin)
		}
	}
}

func (k *BillKeeper) appended(p *Posted) {
	l, err := DecodeBill(p.data)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forget(l.Key())
}

func (k *BillKeeper) forget(key BillKey) {
	if h := k.held[key]; h != nil {
		delete(k.held, key)
		k.bytes -= len(h.data)
	}
}

// Bills returns the bills held for other instances.
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
