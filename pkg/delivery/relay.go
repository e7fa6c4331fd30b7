package delivery

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// maxBufferedBytes bounds the response bytes that are buffered before the first of them is forwarded.
	maxBufferedBytes = 1 << 20
	// minTimeLeft is the time to the deadline below which a call is not sent, in milliseconds.
	minTimeLeft clock.Millis = 5
)

// Wire encodes calls and decodes response heads in the protocol of the upstreams.
type Wire interface {
	// Request returns the HTTP request for the call; timeLeft is the time that the upstream may take, in milliseconds.
	Request(c *request.Call, timeLeft clock.Millis) *http.Request
	// Head decodes the head of a response; its errors are *DeclinedError and *InvalidResponseError.
	Head(c *request.Call, resp *http.Response) (request.Head, error)
	// Limit decodes the limit that a response names.
	Limit(resp *http.Response) request.NamedLimit
	// Room decodes what a response says of the room at its upstream.
	Room(resp *http.Response) request.Room
	// Notice decodes what a response says of its upstream; now is the time of day.
	Notice(resp *http.Response, now clock.Millis) request.Notice
}

// DeclinedError reports that the upstream did not execute the call and never will.
type DeclinedError struct {
	Status int
	// WrongUpstream is true if a different upstream responded at the address.
	WrongUpstream bool
	// Load is the load that the upstream reported; it may be nil.
	Load *request.LoadReport
}

// Error includes the text of the HTTP status.
func (e *DeclinedError) Error() string {
	return "upstream declined the request: " + http.StatusText(e.Status)
}

// InvalidResponseError reports a response that is not a valid response to the call.
type InvalidResponseError struct{ Detail string }

// Error includes what is invalid about the response.
func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Detail }

// FailedResponse is a complete response of the upstream with 5xx or a false refusal, kept so that it can be forwarded if no other attempt succeeds.
type FailedResponse struct {
	Head request.Head
	Body []byte
}

// Error includes the text of the HTTP status.
func (e *FailedResponse) Error() string {
	return "upstream failed: " + http.StatusText(e.Head.Status)
}

var (
	errRequestTimeout   = errors.New("time limit of the request exceeded")
	errFirstByteTimeout = errors.New("upstream did not start its response in time")
	errStreamPaused     = errors.New("upstream paused its stream for too long")
)

// Relay is the last filter of routed requests: it sends each call to its upstream once and forwards the response unchanged.
type Relay struct {
	Clock clock.Clock
	Log   logr.Logger
	Wire  Wire
	// Permit is called right before the first byte is sent; its error stops the request.
	Permit func(c *request.Call) error
	// Dial connects to an upstream; it is required.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Observe receives one sample per attempt; it is optional.
	Observe func(c *request.Call, s request.Sample)
	// OnLimit receives what the head of each response of the call's upstream says of its limit, with the time at which the request was
	// sent; it is optional.
	OnLimit func(upstream string, limit request.NamedLimit, sentAt clock.Millis)
	// OnRoom receives what the head of each response of the call's upstream says of the room there, with the time at which the request was
	// sent; it is optional.
	OnRoom func(u *catalogue.Upstream, room request.Room, sentAt clock.Millis)
	// OnNotice receives what the head of each response of the call's upstream says of it; it is optional.
	OnNotice func(u *catalogue.Upstream, notice request.Notice)
	// OnProgress receives a sample of a stream when its first event has arrived, and another with its pace once that is known; it is
	// optional.
	OnProgress func(c *request.Call, s request.Sample)

	// BufferBytes bounds the bytes of responses that all attempts together hold before they forward them, beyond a small part that each may
	// hold; 0 means no bound.
	BufferBytes int64
	// MaxIdleConns bounds the idle connections to all upstreams together; 0 means no bound.
	MaxIdleConns int
	// Memory is what else bounds those bytes; it is optional.
	Memory Memory

	buffers    bufferLimit
	givenUp    givenUpCount
	transports *transports
}

// Open prepares the relay; it must be called before the first call of Filter.
func (r *Relay) Open() {
	r.buffers.total, r.buffers.memory = r.BufferBytes, r.Memory
	r.transports = newTransports(r.Dial, r.MaxIdleConns)
}

// Close closes idle connections; calls in progress continue.
func (r *Relay) Close() { r.transports.closeIdle() }

// relayAttempt is one attempt of a routed call.
type relayAttempt struct {
	*Relay
	call      *request.Call
	ctx       context.Context
	stop      context.CancelCauseFunc
	ex        *exchange
	startedAt clock.Millis
	firstByte clock.Millis
	load      *request.LoadReport
	// full is true if the upstream had no room for the request.
	full bool
	// mayAbort reserves a retry and reports whether the attempt may be aborted for it. The timers of an attempt may fire when the call is
	// already at the next one, so that they must not read the call.
	mayAbort func() bool
	// gaps are the pauses between reads of events of a stream.
	gaps        []clock.Millis
	lastEventAt clock.Millis
}

// Filter sends the call to c.Upstream and never calls next; its errors are of type *request.Refusal.
func (r *Relay) Filter(ctx context.Context, c *request.Call, _ request.Handler) error {
	now := r.Clock.Now()
	timeLeft := c.Request.Deadline - now
	if timeLeft < minTimeLeft {
		return request.Refuse(request.ReasonDeadline, 0, "no time is left to send the request")
	}
	c.Attempts++
	if !c.Route.MayRepeat() {
		// A non-repeatable call runs to completion even if the caller leaves, so that its outcome is known.
		ctx = context.WithoutCancel(ctx)
	}
	a := &relayAttempt{Relay: r, call: c, startedAt: now, mayAbort: c.MayAbort(), ex: newExchange(func() error { return r.Permit(c) })}
	a.ctx, a.stop = context.WithCancelCause(ctx)
	defer a.stop(context.Canceled)
	timer := time.AfterFunc(timeLeft.Duration(), func() { a.stop(errRequestTimeout) })
	defer timer.Stop()
	err := a.run(timeLeft)
	wrote, denied := a.ex.seal()
	outcome := a.outcome(err, wrote, denied)
	if outcome != request.NotRun {
		c.Runs++
		c.Sent = true
	}
	a.observe(err, outcome)
	if err == nil {
		return nil
	}
	refusal := a.refusal(err, outcome, denied)
	refusal.Unreached = outcome == request.NotRun && !a.ex.connected.Load() && refusal.Reason != request.ReasonCallerGone
	refusal.Full = a.full
	var declined *DeclinedError
	refusal.WrongUpstream = errors.As(err, &declined) && declined.WrongUpstream
	refusal.GivenUp = outcome == request.MayHaveRun && context.Cause(a.ctx) != nil
	refusal.UpstreamDown = outcome == request.MayHaveRun && a.upstreamDown(err)
	return refusal
}

func (a *relayAttempt) run(timeLeft clock.Millis) error {
	req := a.Wire.Request(a.call, timeLeft).WithContext(a.ctx)
	stopTimer := a.startFirstByteTimer()
	resp, err := a.roundTrip(req)
	if err != nil {
		stopTimer()
		return err
	}
	defer resp.Body.Close()
	head, err := a.Wire.Head(a.call, resp)
	a.full = a.reportHead(a.call, resp, err)
	if err != nil {
		stopTimer()
		var declined *DeclinedError
		if errors.As(err, &declined) {
			a.load = declined.Load
		}
		return err
	}
	a.load = head.Load
	a.call.Unframed = isUnframed(resp)
	if head.Status >= http.StatusInternalServerError || isFalseRefusal(a.call, head) {
		stopTimer()
		return a.readFailure(resp, head)
	}
	if a.call.HeadWritten && head.Status != http.StatusOK {
		stopTimer()
		return &InvalidResponseError{Detail: "the rest of a stream came with status " + strconv.Itoa(head.Status)}
	}
	if a.call.Route.Streaming && head.Status == http.StatusOK {
		return a.stream(resp, head, stopTimer)
	}
	return a.forwardBuffered(resp, head, stopTimer)
}

// isFalseRefusal reports whether the caller would take a response for a promise that the call hasn't run, and send it again although it may
// have run and may not be repeated.
func isFalseRefusal(c *request.Call, head request.Head) bool {
	return head.FalselyRefused && !c.Route.MayRepeat()
}

// reportHead reports the limit that a response names, the room at its upstream and what else it says of it; err is that of its head. Only
// responses of the upstream that was meant count. It returns whether the upstream had no room for the request.
func (a *relayAttempt) reportHead(c *request.Call, resp *http.Response, err error) (full bool) {
	var declined *DeclinedError
	var invalid *InvalidResponseError
	if errors.As(err, &invalid) || errors.As(err, &declined) && declined.WrongUpstream {
		return false
	}
	if a.OnLimit != nil {
		a.OnLimit(c.Upstream.Name, a.Wire.Limit(resp), a.startedAt)
	}
	notice := a.Wire.Notice(resp, a.Clock.Wall())
	// An upstream that names a time to come back turns this instance away, whether it has room or not.
	full = declined != nil && declined.Status == http.StatusServiceUnavailable && notice.PauseFor == 0
	if a.OnRoom != nil {
		room := a.Wire.Room(resp)
		room.Rejected = full
		a.OnRoom(c.Upstream, room, a.startedAt)
	}
	if a.OnNotice != nil {
		a.OnNotice(c.Upstream, notice)
	}
	return full
}

// startFirstByteTimer aborts the attempt if its response does not start in time and it may be retried; the returned function stops the
// timer.
func (a *relayAttempt) startFirstByteTimer() func() {
	limit := a.call.FirstByteTimeout
	if limit <= 0 || !a.call.Route.MayRepeat() {
		return func() {}
	}
	t := time.AfterFunc(limit.Duration(), func() {
		if a.mayAbort() {
			a.stop(errFirstByteTimeout)
		}
	})
	return func() { t.Stop() }
}

// readFailure reads a 5xx response, so that the caller can get it if no other upstream succeeds.
func (a *relayAttempt) readFailure(resp *http.Response, head request.Head) error {
	// The body is kept while other upstreams are tried.
	buffer := &responseBuffer{limit: &a.buffers, most: freeBufferBytes}
	complete, err := a.readBody(resp, buffer)
	if err != nil {
		return err
	}
	if !complete {
		return &incompleteError{cause: errBodyTooLong}
	}
	head.Length = int64(len(buffer.bytes))
	return &FailedResponse{Head: head, Body: buffer.bytes}
}

// readBody reads the body of a response, and reports whether the buffer may hold all of it.
func (a *relayAttempt) readBody(resp *http.Response, buffer *responseBuffer) (complete bool, err error) {
	for {
		full, err := buffer.read(resp.Body)
		switch {
		case full:
			return false, nil
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, a.readError(err)
		}
	}
}

// readError returns the reason why reading a response ended early: the cancellation cause, or a truncated response.
func (a *relayAttempt) readError(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		return cause
	}
	return &incompleteError{cause: err}
}

// forwardBuffered reads the response to its end before forwarding it; the part beyond what may be buffered is streamed. The timer of the first
// byte ends with the reading: from then on the caller sets the pace.
func (a *relayAttempt) forwardBuffered(resp *http.Response, head request.Head, stopFirstByteTimer func()) error {
	buffer := &responseBuffer{limit: &a.buffers, most: maxBufferedBytes}
	defer buffer.release()
	complete, err := a.readBody(resp, buffer)
	stopFirstByteTimer()
	if err != nil {
		return err
	}
	a.firstByte = a.Clock.Now() - a.startedAt
	if complete {
		head.Length = int64(len(buffer.bytes))
	}
	return writeResponse(a.ctx, a.call, head, buffer.bytes, func() error {
		buffer.release()
		if complete {
			return nil
		}
		return a.forwardRemainder(resp.Body)
	})
}

func (a *relayAttempt) forwardRemainder(body io.Reader) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if werr := a.call.Writer.WriteBytes(a.ctx, a.call, buf[:n]); werr != nil {
				return &writeError{cause: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return a.readError(err)
		}
	}
}

// outcome returns whether the upstream may have executed the call.
func (a *relayAttempt) outcome(err error, wrote bool, denied error) request.Outcome {
	var declined *DeclinedError
	var failed *FailedResponse
	switch {
	case err == nil, errors.As(err, &failed):
		return request.Ran
	case denied != nil, !wrote, errors.As(err, &declined):
		return request.NotRun
	}
	return request.MayHaveRun
}

func (a *relayAttempt) refusal(err error, outcome request.Outcome, denied error) *request.Refusal {
	var refusal *request.Refusal
	if denied != nil && errors.As(denied, &refusal) {
		return refusal
	}
	r := &request.Refusal{Outcome: outcome, Reason: request.ReasonUpstreamFailed, Cause: err}
	var declined *DeclinedError
	var invalid *InvalidResponseError
	var incomplete *incompleteError
	var write *writeError
	switch {
	case errors.As(err, &declined):
		r.Reason = request.ReasonUpstreamRefused
	case errors.As(err, &invalid):
		r.Reason = request.ReasonAnswerMismatch
	case errors.As(err, &incomplete), errors.Is(err, errStreamPaused):
		r.Reason = request.ReasonAnswerIncomplete
	case errors.Is(err, errRequestTimeout):
		r.Reason = request.ReasonDeadline
	case errors.Is(err, request.ErrResponseDiscarded):
		r.Reason = request.ReasonUnsure
	case errors.As(err, &write):
		r.Reason = request.ReasonCallerGone
	case errors.Is(err, context.Canceled):
		r.Reason = request.ReasonCallerGone
	}
	return r
}

func (a *relayAttempt) observe(err error, outcome request.Outcome) {
	if a.Observe == nil {
		return
	}
	s := request.Sample{
		At:         a.Clock.Now(),
		RequestID:  a.call.Request.ID,
		Workspace:  a.call.Request.Workspace,
		Upstream:   a.call.Upstream.Name,
		Version:    catalogue.VersionID(a.call.ListedModel(a.call.Model)),
		Result:     resultOf(err),
		FirstToken: a.firstByte,
		Gap:        lowerQuartileGap(a.gaps),
		Load:       a.load,
	}
	if s.Result == request.ResultFailed && outcome == request.NotRun {
		s.Result = request.ResultUnreached
	}
	s.Total = s.At - a.startedAt
	var failed *FailedResponse
	s.Answered = err == nil || errors.As(err, &failed)
	a.Observe(a.call, s)
}

func resultOf(err error) request.Result {
	var declined *DeclinedError
	var invalid *InvalidResponseError
	var incomplete *incompleteError
	var write *writeError
	switch {
	case err == nil:
		return request.ResultComplete
	case errors.As(err, &declined):
		return request.ResultRefused
	case errors.As(err, &invalid):
		return request.ResultMismatch
	case errors.As(err, &incomplete):
		return request.ResultCut
	case errors.As(err, &write), errors.Is(err, context.Canceled):
		return request.ResultCancelled
	}
	return request.ResultFailed
}

// Forward writes the failed response to the caller unchanged. One that would be a false promise is replaced by a *request.Refusal.
func (e *FailedResponse) Forward(ctx context.Context, c *request.Call) error {
	if isFalseRefusal(c, e.Head) {
		return &request.Refusal{Outcome: request.Ran, Reason: request.ReasonUpstreamFailed, Cause: e}
	}
	return writeResponse(ctx, c, e.Head, e.Body, func() error { return nil })
}

// writeResponse writes a response; writeRemainder writes what follows the buffered body.
func writeResponse(ctx context.Context, c *request.Call, head request.Head, body []byte, writeRemainder func() error) error {
	if err := c.Writer.WriteHead(ctx, c, head); err != nil {
		return &writeError{cause: err}
	}
	c.HeadWritten, c.Unresumable = true, true
	if err := c.Writer.WriteBytes(ctx, c, body); err != nil {
		return &writeError{cause: err}
	}
	if err := writeRemainder(); err != nil {
		return err
	}
	if err := c.Writer.WriteEnd(ctx, c, request.End{}); err != nil {
		return &writeError{cause: err}
	}
	return nil
}
