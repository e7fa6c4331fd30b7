package fake

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Faults are the switches that all fakes have.
type Faults struct {
	// Down refuses each call, without effect.
	Down bool
	// Delay is waited for before a call takes effect, in milliseconds.
	Delay clock.Millis
	// LoseAnswers counts the next calls that take effect and get no answer; reads are not counted.
	LoseAnswers int
}

var (
	errDown = errors.New("down")
	errLost = errors.New("answer lost")
	errCut  = errors.New("cut off")
)

// gate lets calls suffer the faults of a fake.
type gate struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults.
func (g *gate) SetFaults(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *gate) get() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// enter returns an error for a call that has no effect.
func (g *gate) enter(ctx context.Context, c clock.Clock, service string) error {
	f := g.get()
	if f.Down {
		return &backoffice.UnavailableError{Service: service, Cause: errDown}
	}
	if f.Delay <= 0 {
		return nil
	}
	if err := clock.Sleep(ctx, c, f.Delay); err != nil {
		return &backoffice.UnavailableError{Service: service, Unknown: true, Cause: err}
	}
	return nil
}

// leave returns an error for a call that took effect and whose answer is lost.
func (g *gate) leave(service string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.LoseAnswers <= 0 {
		return nil
	}
	g.faults.LoseAnswers--
	return &backoffice.UnavailableError{Service: service, Unknown: true, Cause: errLost}
}
