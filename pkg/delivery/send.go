package delivery

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// Gate is asked right before the first byte of a request leaves for its upstream.
type Gate interface {
	// Permit returns an error when the call may not be sent now.
	Permit(c *request.Call) error
}

// Canceller ends the work of an engine on a request; with keep the engine holds the request for resuming.
type Canceller interface {
	Cancel(ctx context.Context, address, requestID string, keep bool) error
}

// Send is the last filter: it sends a call to its upstream once and passes the answer on; it is safe for concurrent use.
// It is the only place, besides the recorded outcomes of claims, that refuses with another outcome than NotRun.
type Send struct {
	settings.Common
	// Gate is required.
	Gate Gate
	// Budget bounds what is held for readers; it is required.
	Budget *Budget
	// Cancel is optional.
	Cancel Canceller
	// Observe is told what each attempt showed; it is optional.
	Observe func(request.Sample)
	// Dial connects to an upstream; without it TCP is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Suffix makes what tells the attempts of one request apart at an engine; without it that is random.
	Suffix func() string

	once       sync.Once
	transports *transports
	background sync.WaitGroup
}

// Filter sends the call to c.Upstream; next is not called.
func (s *Send) Filter(ctx context.Context, c *request.Call, _ request.Handler) error {
	s.once.Do(s.open)
	if c.Upstream == nil {
		return request.Refuse(request.ReasonNoUpstream, 0, "no upstream was chosen")
	}
	if c.Sent && !c.Request.Repeatable {
		return errSentBefore(c)
	}
	c.Attempts++
	a := s.newAttempt(ctx, c)
	defer a.close()
	var err error
	if c.Upstream.Role == catalogue.RoleService {
		err = a.service()
	} else {
		err = a.chat()
	}
	a.report(err)
	c.Sent = c.Sent || a.outcome(err) != request.NotRun
	if err == nil {
		return nil
	}
	return a.refusal(err)
}

// Close waits for the cancelling of engines' work and closes idle connections; no call may be under way.
func (s *Send) Close() {
	s.once.Do(s.open)
	s.background.Wait()
	s.transports.closeIdle()
}

func (s *Send) open() {
	dial := s.Dial
	if dial == nil {
		d := &net.Dialer{Timeout: s.Settings.Times.Connect.Duration()}
		dial = d.DialContext
	}
	s.transports = newTransports(dial)
}

// cancelWork tells the engine, in the background, that nobody waits for the request any more.
func (s *Send) cancelWork(address, id string) {
	if s.Cancel == nil {
		return
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		if err := s.cancel(context.Background(), address, id, false); err != nil {
			s.log().V(1).Info("could not cancel", "request", id, "upstream", address, "error", err.Error())
		}
	}()
}

func (s *Send) cancel(ctx context.Context, address, id string, keep bool) error {
	ctx, stop := context.WithTimeout(ctx, s.Settings.Times.Connect.Duration())
	defer stop()
	return errors.Wrap(s.Cancel.Cancel(ctx, address, id, keep), "cancel")
}

func (s *Send) log() logr.Logger { return s.Log.WithName("courier") }
