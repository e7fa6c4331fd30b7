package dispatch

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestP05OnlyTheShareIsAcquiredAtOnce(t *testing.T) {
	const share = 5
	var l InFlightLimiter
	var acquired atomic.Int64
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			if l.Acquire("engine-a", share) {
				acquired.Add(1)
			}
		})
	}
	wg.Wait()
	if diff := cmp.Diff(int64(share), acquired.Load()); diff != "" {
		t.Errorf("acquired slots (-want +got):\n%s", diff)
	}
	l.Release("engine-a")
	if !l.Acquire("engine-a", share) || l.Acquire("engine-a", share) {
		t.Error("Release did not free exactly one slot")
	}
}
