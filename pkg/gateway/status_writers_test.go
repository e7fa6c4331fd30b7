package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Pattern: hundreds of instances judge one rollout. Usually one of them writes its status, and the others see that before their turn; a
// third of them, or nine in ten, are turned away by the store.
func TestOneOfManyInstancesWritesTheStatusOfARollout(t *testing.T) {
	const (
		span = 30 * clock.Second
		// known is how long after a write all others know of it.
		known = 150 * clock.Millis(1)
	)
	for _, n := range []int{8, 68, 295, 330} {
		for _, refused := range []float64{0, 0.33, 0.9} {
			t.Run(fmt.Sprint(n, " instances, refused ", refused), func(t *testing.T) {
				more := 0
				for seed := range uint64(100) {
					if writes := statusWrites(seed, n, refused, span, known); writes > 3 {
						more++
					}
				}
				if more > 1 {
					t.Errorf("more than three writes in %d of 100 seeds, want at most 1", more)
				}
			})
		}
	}
}

// statusWrites returns how many instances write the beginning of a rollout.
func statusWrites(seed uint64, n int, refused float64, span, known clock.Millis) int {
	rng := rand.New(rand.NewPCG(seed, 3))
	delays := make([]clock.Millis, 0, n)
	for rank := range n {
		if rng.Float64() >= refused {
			delays = append(delays, clock.Millis(spreadOf(rank, n)*writeDelayFraction*float64(span)))
		}
	}
	if len(delays) == 0 {
		return 0
	}
	first := slices.Min(delays)
	return len(slices.DeleteFunc(delays, func(d clock.Millis) bool { return d >= first+known }))
}

// Failure: instances that the store turned away wrote the same status again each few hundred milliseconds.
func TestStatusThatCannotBeWrittenIsTriedLessAndLess(t *testing.T) {
	clk := clock.NewManual(10_000)
	in := &Instance{Clock: clk}
	rollout := &catalogue.ReleaseRollout{ReleaseOrder: catalogue.ReleaseOrder{Service: "lm", Target: "2", Span: 60 * clock.Second}, StartedAt: clk.Now()}
	writes := 0
	for end := clk.Now() + 30*clock.Second; clk.Now() < end; clk.Advance(rolloutPeriod) {
		if in.mayWriteStatus(rollout) {
			writes++
			in.noteStatusWrite(rollout, errors.New("429"))
		}
	}
	if writes < 5 || writes > 14 {
		t.Errorf("%d writes in 30 s, want 5 to 14", writes)
	}
	clk.Advance(maxStatusPause)
	in.noteStatusWrite(rollout, nil)
	if !in.mayWriteStatus(rollout) {
		t.Error("a write that succeeded left a pause")
	}
}
