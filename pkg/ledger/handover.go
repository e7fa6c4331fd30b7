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
	// handoverLogWait is how much of a shutdown is left to the log before peers are asked, in milliseconds.
	handoverLogWait = 5 * clock.Second
	// handoverBatch is how many bills one call to a peer carries.
	handoverBatch = 500
	// dropBatch is how many keys of bills one call to a keeper carries, dropLimit how many wait for it.
	dropBatch = 1000
	dropLimit = 20000
	// tellAtOnce bounds the calls to keepers under way.
	tellAtOnce = 16
)

// LeftError says that bills are neither in the log nor with a peer.
type LeftError struct {
	Bills int
}

// Error tells how many bills are left.
func (e *LeftError) Error() string {
	return fmt.Sprintf("%d bills are neither in the log nor with a peer", e.Bills)
}

// Run appends what is owed and tells keepers what the log has, until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	b.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = b.outbox.Run(ctx) })
	for clock.Sleep(ctx, b.Common.Clock, dropEvery) == nil {
		b.tellKeepers(ctx)
	}
	return nil
}

// tellKeepers lets keepers drop what the log has, and shows them that this instance lives. One that can't be told appends doubles, which the fold removes.
func (b *Biller) tellKeepers(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(tellAtOnce)
	for keeper, keys := range b.takeDrops() {
		g.Go(func() error {
			b.tellKeeper(ctx, keeper, keys[:min(len(keys), dropLimit)])
			return nil
		})
	}
	_ = g.Wait()
}

func (b *Biller) tellKeeper(ctx context.Context, keeper string, keys []BillKey) {
	for {
		n := min(len(keys), dropBatch)
		args := &DropArgs{Origin: b.Common.Settings.Name, Bills: keys[:n]}
		err := b.call(ctx, keeper, "BillKeeper.Drop", args, &DropReply{})
		keys = keys[n:]
		if err != nil || len(keys) == 0 {
			return
		}
	}
}

// takeDrops returns what keepers may drop, with an entry for each keeper that still holds a bill of this instance.
func (b *Biller) takeDrops() map[string][]BillKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	drops := b.drops
	b.drops = map[string][]BillKey{}
	for _, o := range b.owed {
		if o.keeper != "" && drops[o.keeper] == nil {
			drops[o.keeper] = []BillKey{}
		}
	}
	return drops
}

// Handover brings all bills into the log, those held for others included, or to peers when the log does not take them.
// It needs Run to be running, and returns a *LeftError when some stay behind.
func (b *Biller) Handover(ctx context.Context) error {
	b.init()
	if b.Keeper != nil {
		b.Keeper.close()
		b.Keeper.post(b.Common.Clock.Now())
	}
	logCtx, cancel := clock.WithTimeout(ctx, b.Common.Clock, handoverLogWait)
	err := b.outbox.Wait(logCtx)
	if b.Keeper != nil {
		err = errors.CombineErrors(err, b.Keeper.outbox.Wait(logCtx))
	}
	cancel()
	if err == nil {
		b.tellKeepers(ctx)
		return nil
	}
	left := 0
	for bills := b.remaining(); len(bills) > 0; {
		n := min(len(bills), handoverBatch)
		if ctx.Err() != nil || b.hold(ctx, bills[:n]) == "" {
			left += n
		}
		bills = bills[n:]
	}
	if left > 0 {
		return &LeftError{Bills: left}
	}
	return nil
}

// remaining returns the bills that the log doesn't have, also those with a keeper, since that one may have died since.
func (b *Biller) remaining() []*Bill {
	var bills []*Bill
	if b.Keeper != nil {
		bills = b.Keeper.Bills()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.owed {
		bills = append(bills, o.bill)
	}
	return bills
}

func (b *Biller) logger() logr.Logger { return b.Common.Log.WithName("ledger") }
