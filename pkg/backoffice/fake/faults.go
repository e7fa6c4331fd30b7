package fake

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Faults are the faults that every fake can inject.
type Faults struct {
	// Down rejects each call before it takes effect.
	Down bool
	// Delay is the time before a call takes effect, in milliseconds.
	Delay clock.Millis
	// LoseAnswers is the number of further calls that take effect but lose their response; reads are not affected.
	LoseAnswers int
}

var (
	errDown        = errors.New("down")
	errLost        = errors.New("response lost")
	errPartitioned = errors.New("partitioned")
)

// faultInjector applies the configured faults to the calls of a fake.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces all faults, so that those left at zero are switched off.
func (i *faultInjector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

func (i *faultInjector) current() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// before runs before a call takes effect and returns an error if the call must not.
func (i *faultInjector) before(ctx context.Context, c clock.Clock, service string) error {
	f := i.current()
	if f.Down {
		return &backoffice.UnavailableError{Service: service, Cause: errDown}
	}
	if f.Delay <= 0 {
		return nil
	}
	if err := clock.Sleep(ctx, c, f.Delay); err != nil {
		return &backoffice.UnavailableError{Service: service, OutcomeUnknown: true, Cause: err}
	}
	return nil
}

// after runs once a call has taken effect and returns an error if its response is lost.
func (i *faultInjector) after(service string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseAnswers <= 0 {
		return nil
	}
	i.faults.LoseAnswers--
	return &backoffice.UnavailableError{Service: service, OutcomeUnknown: true, Cause: errLost}
}
