package delivery

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// wholeBytes bounds the answer of a call that is read whole before a byte of it is passed on.
	wholeBytes = 1 << 20
	// leastLeft is the time below which a call is not worth sending, in milliseconds.
	leastLeft clock.Millis = 5
)

// Wire writes calls and reads the heads of answers in the form that upstreams speak.
type Wire interface {
	// Request returns the call as its upstream gets it; left is the time that the upstream may take.
	Request(c *request.Call, left clock.Millis) *http.Request
	// Head reads the head of an answer; its errors are *DeclinedError and *GarbledError.
	Head(c *request.Call, resp *http.Response) (request.Head, error)
}

// DeclinedError says that the upstream did not execute the call and never will.
type DeclinedError struct {
	Status int
	// Other is true when another upstream was found at the address.
	Other bool
	// Load is what the upstream said of its load; it may be nil.
	Load *request.LoadReport
}

// Error tells the status.
func (e *DeclinedError) Error() string {
	return "the upstream declined with " + http.StatusText(e.Status)
}

// GarbledError says that what came is no answer to the call.
type GarbledError struct{ Detail string }

// Error tells what is wrong.
func (e *GarbledError) Error() string { return "not an answer to the call: " + e.Detail }

// FailedAnswer is a whole answer by which the upstream says that it failed.
type FailedAnswer struct {
	Head request.Head
	Body []byte
}

// Error tells the status.
func (e *FailedAnswer) Error() string {
	return "the upstream answered " + http.StatusText(e.Head.Status)
}

var (
	errTimeLimit = errors.New("the time limit of the request has passed")
	errFirstByte = errors.New("the upstream did not begin its answer in time")
	errGap       = errors.New("the upstream's stream paused for too long")
)

// Relay is the last filter of routed requests: it sends a call to its upstream once and passes the answer on unchanged.
type Relay struct {
	Clock clock.Clock
	Log   logr.Logger
	Wire  Wire
	// Permit is asked as the last thing before the first byte leaves.
	Permit func(c *request.Call) error
	// Dial connects to an upstream.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Observe is told what each attempt showed; it is optional.
	Observe func(c *request.Call, s request.Sample)

	transports *transports
}

// Open makes the relay ready for use.
func (f *Relay) Open() { f.transports = newTransports(f.Dial) }

// Close closes idle connections.
func (f *Relay) Close() { f.transports.closeIdle() }

// passage is one attempt of a routed call.
type passage struct {
	*Relay
	call  *request.Call
	ctx   context.Context
	stop  context.CancelCauseFunc
	ex    *exchange
	began clock.Millis
	first clock.Millis
	load  *request.LoadReport
	// gaps are the pauses between the events of a stream.
	gaps   []clock.Millis
	lastAt clock.Millis
}

// Filter sends the call to c.Upstream; next is not called.
func (f *Relay) Filter(ctx context.Context, c *request.Call, _ request.Handler) error {
	now := f.Clock.Now()
	left := c.Request.Deadline - now
	if left < leastLeft {
		return request.Refuse(request.ReasonDeadline, 0, "no time is left to send the request")
	}
	c.Attempts++
	if !c.Route.MayRepeat() {
		// A call that must not run twice is seen to its end, so that its fate is known.
		ctx = context.WithoutCancel(ctx)
	}
	p := &passage{Relay: f, call: c, began: now, ex: &exchange{permit: func() error { return f.Permit(c) }}}
	p.ctx, p.stop = context.WithCancelCause(ctx)
	defer p.stop(context.Canceled)
	limit := time.AfterFunc(left.Duration(), func() { p.stop(errTimeLimit) })
	defer limit.Stop()
	err := p.run(left)
	wrote, denied := p.ex.seal()
	outcome := p.outcome(err, wrote, denied)
	if outcome != request.NotRun {
		c.Runs++
		c.Sent = true
	}
	p.observe(err, outcome)
	if err == nil {
		return nil
	}
	return p.refusal(err, outcome, denied)
}

func (p *passage) run(left clock.Millis) error {
	req := p.Wire.Request(p.call, left).WithContext(p.ctx)
	first := p.firstByteLimit()
	resp, err := p.transports.roundTrip(req, p.ex, false)
	if err != nil {
		first()
		return err
	}
	defer resp.Body.Close()
	head, err := p.Wire.Head(p.call, resp)
	if err != nil {
		first()
		var declined *DeclinedError
		if errors.As(err, &declined) {
			p.load = declined.Load
		}
		return err
	}
	p.load = head.Load
	if head.Status >= http.StatusInternalServerError {
		first()
		return p.failed(resp, head)
	}
	if p.call.Route.Streaming && head.Status == http.StatusOK {
		return p.stream(resp, head, first)
	}
	defer first()
	return p.whole(resp, head)
}

// firstByteLimit ends the attempt when its answer does not begin in time, as long as the returned function was not called.
func (p *passage) firstByteLimit() func() {
	limit := p.call.FirstByteLimit
	if limit <= 0 || !p.call.Route.MayRepeat() {
		return func() {}
	}
	t := time.AfterFunc(limit.Duration(), func() { p.stop(errFirstByte) })
	return func() { t.Stop() }
}

// failed reads an answer that tells of a failure, so that the caller may get it if no other upstream does better.
func (p *passage) failed(resp *http.Response, head request.Head) error {
	body, err := p.readAll(resp)
	if err != nil {
		return err
	}
	head.Length = int64(len(body))
	return &FailedAnswer{Head: head, Body: body}
}

func (p *passage) readAll(resp *http.Response) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, wholeBytes+1))
	if err != nil {
		return nil, p.cut(err)
	}
	return b, nil
}

// cut returns why reading an answer ended early.
func (p *passage) cut(err error) error {
	if cause := context.Cause(p.ctx); cause != nil {
		return cause
	}
	return &cutError{cause: err}
}

// whole passes on an answer that was read to its end before; one that is larger than what is held is passed on as it comes.
func (p *passage) whole(resp *http.Response, head request.Head) error {
	body, err := p.readAll(resp)
	if err != nil {
		return err
	}
	p.first = p.Clock.Now() - p.began
	complete := len(body) <= wholeBytes
	if complete {
		head.Length = int64(len(body))
	}
	return writeAnswer(p.ctx, p.call, head, body, func() error {
		if complete {
			return nil
		}
		return p.copyRest(resp.Body)
	})
}

func (p *passage) copyRest(body io.Reader) error {
	piece := make([]byte, pieceBytes)
	for {
		n, err := body.Read(piece)
		if n > 0 {
			if werr := p.call.Writer.WriteBytes(p.ctx, p.call, piece[:n]); werr != nil {
				return &writeError{cause: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return p.cut(err)
		}
	}
}

// outcome tells whether the upstream may have executed the call.
func (p *passage) outcome(err error, wrote bool, denied error) request.Outcome {
	var declined *DeclinedError
	var failed *FailedAnswer
	switch {
	case err == nil, errors.As(err, &failed):
		return request.Ran
	case denied != nil, !wrote, errors.As(err, &declined):
		return request.NotRun
	}
	return request.MayHaveRun
}

func (p *passage) refusal(err error, outcome request.Outcome, denied error) error {
	var refusal *request.Refusal
	if denied != nil && errors.As(denied, &refusal) {
		return refusal
	}
	r := &request.Refusal{Outcome: outcome, Reason: request.ReasonUpstreamFailed, Cause: err}
	var declined *DeclinedError
	var garbled *GarbledError
	var cut *cutError
	var written *writeError
	switch {
	case errors.As(err, &declined):
		r.Reason = request.ReasonUpstreamRefused
	case errors.As(err, &garbled):
		r.Reason = request.ReasonAnswerMismatch
	case errors.As(err, &cut), errors.Is(err, errGap):
		r.Reason = request.ReasonAnswerIncomplete
	case errors.Is(err, errTimeLimit):
		r.Reason = request.ReasonDeadline
	case errors.Is(err, request.ErrTurnedDown):
		r.Reason = request.ReasonUnsure
	case errors.As(err, &written):
		r.Reason = request.ReasonCallerGone
	case errors.Is(err, context.Canceled):
		r.Reason = request.ReasonCallerGone
	}
	return r
}

func (p *passage) observe(err error, outcome request.Outcome) {
	if p.Observe == nil {
		return
	}
	s := request.Sample{
		At:         p.Clock.Now(),
		RequestID:  p.call.Request.ID,
		Workspace:  p.call.Request.Workspace,
		Upstream:   p.call.Upstream.Name,
		Version:    catalogue.VersionID(p.call.Model),
		Result:     resultOf(err),
		FirstToken: p.first,
		Gap:        shortGap(p.gaps),
		Load:       p.load,
	}
	if s.Result == request.ResultFailed && outcome == request.NotRun {
		s.Result = request.ResultUnreached
	}
	s.Total = s.At - p.began
	p.Observe(p.call, s)
}

func resultOf(err error) request.Result {
	var declined *DeclinedError
	var garbled *GarbledError
	var cut *cutError
	var written *writeError
	switch {
	case err == nil:
		return request.ResultComplete
	case errors.As(err, &declined):
		return request.ResultRefused
	case errors.As(err, &garbled):
		return request.ResultMismatch
	case errors.As(err, &cut):
		return request.ResultCut
	case errors.As(err, &written), errors.Is(err, context.Canceled):
		return request.ResultCancelled
	}
	return request.ResultFailed
}

// PassOn gives the upstream's answer to the caller as it is.
func (e *FailedAnswer) PassOn(ctx context.Context, c *request.Call) error {
	return writeAnswer(ctx, c, e.Head, e.Body, func() error { return nil })
}

// writeAnswer writes an answer; rest writes what follows the body that is held.
func writeAnswer(ctx context.Context, c *request.Call, head request.Head, body []byte, rest func() error) error {
	if err := c.Writer.WriteHead(ctx, c, head); err != nil {
		return &writeError{cause: err}
	}
	c.Headed = true
	if err := c.Writer.WriteBytes(ctx, c, body); err != nil {
		return &writeError{cause: err}
	}
	if err := rest(); err != nil {
		return err
	}
	if err := c.Writer.WriteEnd(ctx, c, request.End{}); err != nil {
		return &writeError{cause: err}
	}
	return nil
}
