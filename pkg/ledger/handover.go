package ledger

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// handoverLogWait is how long a shutdown waits for the log before it replicates the remaining bills to peers.
	handoverLogWait = 5 * clock.Second
	// handoverBatchSize is how many bills one call to a peer carries during a shutdown.
	handoverBatchSize = 500
	// dropBatchSize bounds the bill keys of one call to a keeper, and maxDropKeys those sent to it in one round.
	dropBatchSize = 1000
	maxDropKeys   = 20000
	// maxConcurrentDrops bounds the keepers that are called at the same time.
	maxConcurrentDrops = 16
)

// HandoverError is returned when a shutdown leaves Bills bills that neither the log nor a peer has.
type HandoverError struct {
	Bills int
}

// Error has the number of bills that would be lost.
func (e *HandoverError) Error() string {
	return fmt.Sprintf("%d bills were neither appended to the log nor replicated to a peer", e.Bills)
}

// Run appends pending bills and notifies keepers of those that the log has, until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	b.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = b.outbox.Run(ctx) })
	for clock.Sleep(ctx, b.Common.Clock, dropInterval) == nil {
		b.notifyKeepers(ctx)
	}
	return nil
}

// notifyKeepers lets keepers drop the bills that the log has, and serves as a heartbeat of this instance. A keeper that can't be
// reached appends duplicates, which Fold ignores.
func (b *Biller) notifyKeepers(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentDrops)
	for keeper, keys := range b.nextDrops() {
		g.Go(func() error {
			b.notifyKeeper(ctx, keeper, keys[:min(len(keys), maxDropKeys)])
			return nil
		})
	}
	_ = g.Wait()
}

func (b *Biller) notifyKeeper(ctx context.Context, keeper string, keys []BillKey) {
	for {
		n := min(len(keys), dropBatchSize)
		args := &DropArgs{Origin: b.Common.Settings.Name, Bills: keys[:n]}
		err := b.callPeer(ctx, keeper, "BillKeeper.Drop", args, &DropReply{})
		keys = keys[n:]
		if err != nil || len(keys) == 0 {
			return
		}
	}
}

// nextDrops returns and clears the bills that keepers may drop. A keeper that still holds a pending bill of this instance gets an
// empty list at least, as a heartbeat.
func (b *Biller) nextDrops() map[string][]BillKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	drops := b.drops
	b.drops = map[string][]BillKey{}
	for _, pb := range b.pending {
		if pb.keeper != "" && drops[pb.keeper] == nil {
			drops[pb.keeper] = []BillKey{}
		}
	}
	return drops
}

// Handover appends all bills to the log before a shutdown, those held for other instances included, replicates them to peers if
// the log does not accept them, and returns a *HandoverError if neither does; Run must be running.
func (b *Biller) Handover(ctx context.Context) error {
	b.init()
	if b.Keeper != nil {
		b.Keeper.close()
		b.Keeper.enqueueSilentSince(b.Common.Clock.Now())
	}
	logCtx, cancel := clock.WithTimeout(ctx, b.Common.Clock, handoverLogWait)
	err := b.outbox.Wait(logCtx)
	if b.Keeper != nil {
		err = errors.CombineErrors(err, b.Keeper.outbox.Wait(logCtx))
	}
	cancel()
	if err == nil {
		b.notifyKeepers(ctx)
		return nil
	}
	failed := 0
	for bills := b.pendingBills(); len(bills) > 0; {
		n := min(len(bills), handoverBatchSize)
		if ctx.Err() != nil || b.replicate(ctx, bills[:n]) == "" {
			failed += n
		}
		bills = bills[n:]
	}
	if failed > 0 {
		return &HandoverError{Bills: failed}
	}
	return nil
}

// pendingBills returns the bills that are not yet in the log. Those with a keeper are included, since the keeper may have failed
// since.
func (b *Biller) pendingBills() []*Bill {
	var bills []*Bill
	if b.Keeper != nil {
		bills = b.Keeper.Bills()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, pb := range b.pending {
		bills = append(bills, pb.bill)
	}
	return bills
}

func (b *Biller) logger() logr.Logger { return b.Common.Log.WithName("ledger") }
