package desk

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
)

// deadlineGrace is how long after the deadline the filter chain may still send its own response.
const deadlineGrace clock.Millis = 100

var errAlreadyAnswered = errors.New("the caller already got a response at its deadline")

// handleNonRepeatable passes a call that must not run twice through the filter chain. Once sent, the call runs to completion
// even past its deadline; the caller gets a response at the deadline and can ask for the outcome with its idempotency key.
// The handler returns only after the call, so that a shutdown waits for it.
func (h *CallerHandler) handleNonRepeatable(ctx context.Context, c *request.Call, out responseWriter) (answered bool, err error) {
	writer := &deadlineWriter{out: out}
	c.Writer = writer
	overdue, stop := h.Clock.Timer(c.Request.Deadline - h.Clock.Now() + deadlineGrace)
	defer stop()
	done := make(chan chainResult, 1)
	go func() { done <- h.runChain(ctx, c) }()
	select {
	case res := <-done:
		return false, res.result()
	case <-overdue:
	}
	answered = writer.respondOverdue(c.Request)
	res := <-done
	return answered, res.result()
}

// chainResult is the result of the filter chain, which runs in a goroutine of its own.
type chainResult struct {
	err error
	// panicked is the value of a panic, which is raised again in the goroutine where the HTTP server recovers it.
	panicked any
}

func (h *CallerHandler) runChain(ctx context.Context, c *request.Call) (res chainResult) {
	defer func() { res.panicked = recover() }()
	res.err = h.Handler.Handle(ctx, c)
	return res
}

func (r *chainResult) result() error {
	if r.panicked != nil {
		panic(r.panicked)
	}
	return r.err
}

// deadlineWriter forwards a response until the caller got another one at its deadline.
type deadlineWriter struct {
	mu     sync.Mutex
	out    responseWriter
	closed bool
}

// respondOverdue responds to the caller unless its response has started, and reports whether it did.
func (dw *deadlineWriter) respondOverdue(q *request.Request) bool {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	if dw.out.hasStarted() {
		return false
	}
	dw.closed = true
	dw.out.failAndClose(&request.Call{Request: q}, delivery.PendingRefusal())
	return true
}

// writeIfOpen calls write unless the caller got its response at the deadline.
func (dw *deadlineWriter) writeIfOpen(write func() error) error {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	if dw.closed {
		return errAlreadyAnswered
	}
	return write()
}

// WriteHead forwards the head, or fails after the response at the deadline.
func (dw *deadlineWriter) WriteHead(ctx context.Context, c *request.Call, h request.Head) error {
	return dw.writeIfOpen(func() error { return dw.out.WriteHead(ctx, c, h) })
}

// WriteChunk forwards tokens, or fails after the response at the deadline.
func (dw *deadlineWriter) WriteChunk(ctx context.Context, c *request.Call, k request.Chunk) error {
	return dw.writeIfOpen(func() error { return dw.out.WriteChunk(ctx, c, k) })
}

// WriteBytes forwards bytes, or fails after the response at the deadline.
func (dw *deadlineWriter) WriteBytes(ctx context.Context, c *request.Call, b []byte) error {
	return dw.writeIfOpen(func() error { return dw.out.WriteBytes(ctx, c, b) })
}

// WriteEnd forwards the end, or fails after the response at the deadline.
func (dw *deadlineWriter) WriteEnd(ctx context.Context, c *request.Call, e request.End) error {
	return dw.writeIfOpen(func() error { return dw.out.WriteEnd(ctx, c, e) })
}
