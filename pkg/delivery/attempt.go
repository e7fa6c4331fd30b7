package delivery

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// drainTimeout and maxDrainBytes bound the reading of what follows a complete response.
	drainTimeout  = 1 * clock.Second
	maxDrainBytes = 4 << 10
)

// suffixLength is the number of characters of a random attempt suffix.
const suffixLength = 8

// requestIDHeader carries the attempt ID to the upstream, which echoes it in its response.
const requestIDHeader = "X-Request-Id"

// attempt is one attempt of a call at one upstream; resuming a broken stream does not start a new attempt.
type attempt struct {
	*Sender
	call *request.Call
	// id identifies the attempt at the upstream.
	id string
	// initialCall is a copy of the call at the start of the attempt.
	initialCall request.Call
	ctx         context.Context
	stop        context.CancelCauseFunc
	// stopWatchdog stops the watchdog but not the attempt.
	stopWatchdog context.CancelFunc
	watchdog     *watchdog
	wg           sync.WaitGroup

	mu       sync.Mutex
	exchange *exchange

	startedAt clock.Millis
	// wrote is true once a byte of the request may have been sent.
	wrote bool
	// offset is the number of tokens received in order.
	offset int
	// firstToken is the time to the first token or body byte, in milliseconds; 0 before it.
	firstToken clock.Millis
	// headWritten is true once the response head was written to the caller.
	headWritten bool
	// end is set once the response is complete.
	end *request.End
	// tail is the body of a finished response, of which only the last bytes are unread.
	tail io.ReadCloser
	// usageRecorded is true once the usage of the attempt was added to the call.
	usageRecorded bool
}

func (s *Sender) newAttempt(ctx context.Context, c *request.Call) *attempt {
	c.AttemptID = s.attemptID(c)
	a := &attempt{Sender: s, call: c, id: c.AttemptID, initialCall: *c, startedAt: s.Clock.Now()}
	a.ctx, a.stop = context.WithCancelCause(context.WithoutCancel(ctx))
	stopAfterFunc := context.AfterFunc(ctx, func() { a.abort(context.Cause(ctx)) })
	a.watchdog = &watchdog{clock: s.Clock, stallTimeout: s.Settings.Times.Stall, deadline: c.Request.Deadline, onStall: a.stop, onDeadline: a.abort}
	a.watchdog.touch()
	watched, stopWatchdog := context.WithCancel(a.ctx)
	a.stopWatchdog = stopWatchdog
	a.wg.Go(func() {
		defer stopAfterFunc()
		a.watchdog.run(watched)
	})
	return a
}

// attemptID returns the ID of a new attempt. Callers choose request IDs, so two requests can share one, and engines look up
// by ID what to resume or cancel; each attempt of a chat completion therefore gets a unique ID.
func (s *Sender) attemptID(c *request.Call) string {
	if c.Version == nil {
		return c.Request.ID
	}
	if s.Suffix != nil {
		return c.Request.ID + s.Suffix()
	}
	return c.Request.ID + "~" + uuid.NewString()[:suffixLength]
}

// close releases the resources of the attempt; the tail of a finished response is drained in the background.
func (a *attempt) close() {
	a.stopWatchdog()
	if a.tail == nil {
		a.stop(context.Canceled)
		a.wg.Wait()
		return
	}
	a.wg.Wait()
	a.background.Go(a.drainTail)
}

// drainTail reads the rest of the body, normally just its end, so that the connection can be reused.
func (a *attempt) drainTail() {
	defer a.stop(context.Canceled)
	defer a.tail.Close()
	ctx, cancel := clock.WithTimeout(a.ctx, a.Clock, drainTimeout)
	defer cancel()
	stopAfterFunc := context.AfterFunc(ctx, func() { a.stop(context.Canceled) })
	defer stopAfterFunc()
	_, _ = io.CopyN(io.Discard, a.tail, maxDrainBytes)
}

// abort ends the attempt because nobody waits for it any more.
// A non-repeatable request of which a byte was sent continues after an abort, unless the cause is context.DeadlineExceeded: that
// comes only from the time limit that package reservation sets on the context.
func (a *attempt) abort(cause error) {
	if !a.call.Request.Repeatable && a.sealExchange() && !errors.Is(cause, context.DeadlineExceeded) {
		return
	}
	a.stop(cause)
}

// sealExchange keeps an unwritten exchange from being sent and reports whether bytes of it may have been sent.
func (a *attempt) sealExchange() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.exchange == nil {
		return false
	}
	wrote, _ := a.exchange.seal()
	return wrote
}

// do sends one HTTP request of the attempt; permit is called right before its first byte.
func (a *attempt) do(req *http.Request, permit func() error) (*http.Response, error) {
	ex := newExchange(permit)
	if a.call.Version == nil {
		// Callers choose the ids of service calls, and use them again.
		ex.id = a.id
	}
	a.mu.Lock()
	a.exchange = ex
	a.mu.Unlock()
	resp, err := a.transports.roundTrip(req, ex, a.call.Request.Repeatable)
	wrote, denied := ex.seal()
	a.wrote = a.wrote || wrote
	if denied != nil {
		return nil, &deniedError{cause: denied}
	}
	if err != nil {
		return nil, err
	}
	a.watchdog.touch()
	resp.Body = &watchedBody{ReadCloser: resp.Body, watchdog: a.watchdog}
	return resp, nil
}

// closeConn closes the connection of the current exchange so that it is not reused.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exchange.closeConn()
}

// checkPermit checks the gate and then the BeforeSend hook of the call. It passes a copy of the call, because the transport
// calls it on its own goroutine, which may outlive the attempt.
func (a *attempt) checkPermit() error {
	c := a.initialCall
	if err := a.Gate.Permit(&c); err != nil {
		return err
	}
	if r := c.CheckBeforeSend(a.Clock.Now()); r != nil {
		return r
	}
	return nil
}

// watchedBody resets the watchdog whenever bytes arrive.
type watchedBody struct {
	io.ReadCloser
	watchdog *watchdog
}

// Read resets the watchdog if it returns bytes.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watchdog.touch()
	}
	return n, err
}
