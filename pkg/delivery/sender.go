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

// Gate decides, right before the first byte of a request is written to its upstream, whether the request may still be sent.
type Gate interface {
	// Permit returns an error if the call may not be sent now.
	Permit(c *request.Call) error
}

// Canceller stops an engine's work on a request; with keep set, the engine retains the request so that it can be resumed.
type Canceller interface {
	Cancel(ctx context.Context, address, requestID string, keep bool) error
}

// Sender is the last filter of chat completions and service calls: it sends each call to its upstream once, forwards the
// response and is safe for concurrent use.
type Sender struct {
	settings.Common
	// Gate is required; it is checked right before the first byte of each attempt.
	Gate Gate
	// Budget bounds the response bytes buffered for callers; it is required.
	Budget *Budget
	// Cancel stops abandoned or paused work at engines; it is optional.
	Cancel Canceller
	// Observe receives one sample per attempt; it is optional.
	Observe func(request.Sample)
	// Dial connects to an upstream; the default is TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Suffix returns the ID suffix that distinguishes the attempts of one request at an engine; the default is random.
	Suffix func() string

	once       sync.Once
	transports *transports
	background sync.WaitGroup
}

// Filter sends the call to c.Upstream and never calls next; its errors are of type *request.Refusal.
func (s *Sender) Filter(ctx context.Context, c *request.Call, _ request.Handler) error {
	s.once.Do(s.initTransports)
	if c.Upstream == nil {
		return request.Refuse(request.ReasonNoUpstream, 0, "no upstream was chosen")
	}
	if c.Sent && !c.Request.Repeatable {
		return alreadySentRefusal(c)
	}
	c.Attempts++
	a := s.newAttempt(ctx, c)
	defer a.close()
	var err error
	if c.Upstream.Role == catalogue.RoleService {
		err = a.sendService()
	} else {
		err = a.sendChat()
	}
	a.report(err)
	c.Sent = c.Sent || a.outcome(err) != request.NotRun
	if err == nil {
		return nil
	}
	return a.refusal(err)
}

// Close waits for background cancellations and closes idle connections; no call may be in progress.
func (s *Sender) Close() {
	s.once.Do(s.initTransports)
	s.background.Wait()
	s.transports.closeIdle()
}

func (s *Sender) initTransports() {
	dial := s.Dial
	if dial == nil {
		d := &net.Dialer{Timeout: s.Settings.Times.Connect.Duration()}
		dial = d.DialContext
	}
	s.transports = newTransports(dial, 0)
}

// cancelInBackground stops the engine's work on a request that nobody waits for any more.
func (s *Sender) cancelInBackground(address, id string) {
	if s.Cancel == nil {
		return
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		if err := s.cancelRequest(context.Background(), address, id, false); err != nil {
			s.log().V(1).Info("cancelling the request at the upstream failed", "request", id, "upstream", address, "error", err.Error())
		}
	}()
}

func (s *Sender) cancelRequest(ctx context.Context, address, id string, keep bool) error {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Times.Connect.Duration())
	defer cancel()
	return errors.Wrap(s.Cancel.Cancel(ctx, address, id, keep), "cancel request")
}

func (s *Sender) log() logr.Logger { return s.Log.WithName("delivery") }
