package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// loadBalancerNoticeTime is how long requests are still accepted after the instance reports that it is not ready: the load
	// balancer in front of the instances checks readiness once a second and removes an instance after two failures.
	loadBalancerNoticeTime clock.Millis = 3000
	// exitMargin is the part of the grace time reserved for the exit of the process.
	exitMargin clock.Millis = 700
	// cancelledAnswerTimeout is how long callers of cancelled requests may take to read their error.
	cancelledAnswerTimeout clock.Millis = 400
)

// onceListener is a listener that both the drain and its server close.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close closes the listener the first time.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// lateCalls is a filter that refuses calls that begin when the instance accepts no more connections and whose time ends after it cancels what is
// left, so that none is cut that could run elsewhere.
type lateCalls struct {
	Clock clock.Clock
	// ClosingAt is the monotonic time at which the calls in flight are cancelled, or 0 while all calls are taken.
	ClosingAt *atomic.Int64
}

// Filter refuses late calls, and passes on any other.
func (f *lateCalls) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if at := clock.Millis(f.ClosingAt.Load()); at > 0 && (c.Request.Deadline == 0 || c.Request.Deadline > at) {
		return request.Refuse(request.ReasonDraining, 0, "the instance cancels its calls in %d ms", at-f.Clock.Now())
	}
	return next.Handle(ctx, c)
}

// drain reports the instance as not ready, serves until the load balancer has noticed, and then shuts the server down. Requests that
// are still in flight near the end of the grace time are cancelled.
func (in *Instance) drain(s *http.Server) error {
	start := in.Clock.Now()
	in.draining.Store(true)
	in.control.Send(drainStarted{})
	in.Log.Info("draining", "inFlight", in.inFlight.Count())
	go in.deregister()
	drainCtx, drained := context.WithCancel(context.Background())
	left := make(chan struct{})
	go func() {
		defer close(left)
		in.leaveDuties(drainCtx)
	}()
	defer func() { <-left }()
	ctx, cancel := clock.WithTimeout(context.Background(), in.Clock, in.Settings.Bounds.Grace()-exitMargin)
	defer cancel()
	_ = clock.Sleep(ctx, in.Clock, loadBalancerNoticeTime)
	in.closingAt.Store(int64(start + in.Settings.Bounds.Grace() - exitMargin))
	if in.callerListener != nil {
		_ = in.callerListener.Close()
	}
	// The server would also close idle connections on which a request has just arrived.
	in.accounts.callers.Drain(ctx)
	err := s.Shutdown(ctx)
	drained()
	if err == nil {
		return nil
	}
	in.Log.Info("cancelling requests at the end of the grace time", "inFlight", in.inFlight.Count(), "afterMs", in.Clock.Now()-start)
	in.cancelRequests()
	cancelledCtx, cancelTimeout := clock.WithTimeout(context.Background(), in.Clock, cancelledAnswerTimeout)
	defer cancelTimeout()
	if err := s.Shutdown(cancelledCtx); err != nil {
		in.Log.Info("requests aborted", "inFlight", in.inFlight.Count())
		return errors.Wrap(err, "drain")
	}
	return nil
}
