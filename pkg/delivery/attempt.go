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
	// restTime and restBytes bound what is read of an answer after its end.
	restTime  = 1 * clock.Second
	restBytes = 4 << 10
)

// suffixLength is the number of digits that tell the attempts of a request apart.
const suffixLength = 8

// requestIDHeader carries the request id to the upstream and back.
const requestIDHeader = "X-Request-Id"

// attempt is one try of a call at one upstream; a resumed stream belongs to the same attempt.
type attempt struct {
	*Send
	call *request.Call
	// id is the id under which the upstream knows the attempt.
	id string
	// asked is the call as it was when the attempt began.
	asked request.Call
	ctx   context.Context
	stop  context.CancelCauseFunc
	// unwatch ends the watch alone.
	unwatch context.CancelFunc
	watch   *watch
	wg      sync.WaitGroup

	mu       sync.Mutex
	exchange *exchange

	began clock.Millis
	// wrote is true once a byte of the request may have left.
	wrote bool
	// offset counts the tokens received in order.
	offset int
	// firstToken is the time to the first token, in milliseconds; 0 while there is none.
	firstToken clock.Millis
	// headed is true once the writer got the head.
	headed bool
	// end is set once the answer is complete.
	end *request.End
	// rest is the body of an answer that has ended, up to its last bytes.
	rest io.ReadCloser
	// charged is true once the attempt stands in the usage of the call.
	charged bool
}

func (s *Send) newAttempt(ctx context.Context, c *request.Call) *attempt {
	c.AttemptID = s.attemptID(c)
	a := &attempt{Send: s, call: c, id: c.AttemptID, asked: *c, began: s.Clock.Now()}
	a.ctx, a.stop = context.WithCancelCause(context.WithoutCancel(ctx))
	unhook := context.AfterFunc(ctx, func() { a.giveUp(context.Cause(ctx)) })
	a.watch = &watch{clock: s.Clock, stall: s.Settings.Times.Stall, deadline: c.Request.Deadline, stalled: a.stop, late: a.giveUp}
	a.watch.touch()
	watched, unwatch := context.WithCancel(a.ctx)
	a.unwatch = unwatch
	a.wg.Go(func() {
		defer unhook()
		a.watch.run(watched)
	})
	return a
}

// attemptID returns the id of a new attempt. Callers choose the ids of requests, and engines find by id what they are to
// go on with or to cancel; so each chat completion gets an id of its own there.
func (s *Send) attemptID(c *request.Call) string {
	if c.Version == nil {
		return c.Request.ID
	}
	if s.Suffix != nil {
		return c.Request.ID + s.Suffix()
	}
	return c.Request.ID + "~" + uuid.NewString()[:suffixLength]
}

// close ends what the attempt started; what is left of an answer that has ended is read in the background.
func (a *attempt) close() {
	a.unwatch()
	if a.rest == nil {
		a.stop(context.Canceled)
		a.wg.Wait()
		return
	}
	a.wg.Wait()
	a.background.Go(a.readRest)
}

// readRest reads an answer to the end of its body, which is next to come, so that its connection can be used again.
func (a *attempt) readRest() {
	defer a.stop(context.Canceled)
	defer a.rest.Close()
	ctx, cancel := clock.WithTimeout(a.ctx, a.Clock, restTime)
	defer cancel()
	unhook := context.AfterFunc(ctx, func() { a.stop(context.Canceled) })
	defer unhook()
	_, _ = io.CopyN(io.Discard, a.rest, restBytes)
}

// giveUp ends the attempt because nobody waits for it any more.
// A request that must not run twice is seen to its end once a byte of it has left, as long as the time of its claim allows;
// that time is the context's, and it alone ends with context.DeadlineExceeded.
func (a *attempt) giveUp(cause error) {
	if !a.call.Request.Repeatable && a.sealed() && !errors.Is(cause, context.DeadlineExceeded) {
		return
	}
	a.stop(cause)
}

// sealed stops the exchange if it is unwritten, and tells whether bytes of it may have left.
func (a *attempt) sealed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.exchange == nil {
		return false
	}
	wrote, _ := a.exchange.seal()
	return wrote
}

// do sends one request of the attempt; permit is asked right before its first byte.
func (a *attempt) do(req *http.Request, permit func() error) (*http.Response, error) {
	ex := &exchange{permit: permit}
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
	a.watch.touch()
	resp.Body = &watchedBody{ReadCloser: resp.Body, watch: a.watch}
	return resp, nil
}

// abandon keeps the connection of the exchange from being used again.
func (a *attempt) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exchange.abandon()
}

// permitted asks the gate, and then the filter that holds a claim, on a copy of the call, since the transport asks on a
// goroutine of its own that may outlive the attempt.
func (a *attempt) permitted() error {
	c := a.asked
	if err := a.Gate.Permit(&c); err != nil {
		return err
	}
	if r := c.MaySend(a.Clock.Now()); r != nil {
		return r
	}
	return nil
}

// watchedBody tells the watch of each byte that comes.
type watchedBody struct {
	io.ReadCloser
	watch *watch
}

// Read reads and notes that bytes have come.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watch.touch()
	}
	return n, err
}
