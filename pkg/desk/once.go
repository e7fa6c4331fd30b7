package desk

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
)

// overdueGrace is how long after the deadline the line may still give its own answer, in milliseconds.
const overdueGrace clock.Millis = 100

var errOverdue = errors.New("the caller was answered at its deadline")

// handleOnce takes a call that must not run twice through the line. Once it was sent, the call is seen to its end also past
// its deadline; its caller is answered at the deadline and can ask for the outcome under its key. The connection stays
// with the call, so that a shutdown waits for it.
func (d *Caller) handleOnce(ctx context.Context, c *request.Call, out answerWriter) (answered bool, err error) {
	guard := &guardedWriter{out: out}
	c.Writer = guard
	overdue, stop := d.Clock.Timer(c.Request.Deadline - d.Clock.Now() + overdueGrace)
	defer stop()
	done := make(chan lineEnd, 1)
	go func() { done <- d.throughLine(ctx, c) }()
	select {
	case end := <-done:
		return false, end.result()
	case <-overdue:
	}
	answered = guard.overtake(c.Request)
	end := <-done
	return answered, end.result()
}

// lineEnd is what came of the line on a goroutine of its own.
type lineEnd struct {
	err error
	// panicked is the value of a panic, which is raised again where the server of the connection handles it.
	panicked any
}

func (d *Caller) throughLine(ctx context.Context, c *request.Call) (end lineEnd) {
	defer func() { end.panicked = recover() }()
	end.err = d.Line.Handle(ctx, c)
	return end
}

func (e *lineEnd) result() error {
	if e.panicked != nil {
		panic(e.panicked)
	}
	return e.err
}

// guardedWriter passes an answer on until the caller was answered at its deadline.
type guardedWriter struct {
	mu     sync.Mutex
	out    answerWriter
	closed bool
}

// overtake answers the caller, unless it has seen a part of the answer already, and tells whether it did.
func (g *guardedWriter) overtake(q *request.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.out.hasStarted() {
		return false
	}
	g.closed = true
	g.out.failNow(&request.Call{Request: q}, delivery.Overdue())
	return true
}

// pass writes, unless the caller was answered.
func (g *guardedWriter) pass(write func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errOverdue
	}
	return write()
}

// WriteHead begins the answer.
func (g *guardedWriter) WriteHead(ctx context.Context, c *request.Call, h request.Head) error {
	return g.pass(func() error { return g.out.WriteHead(ctx, c, h) })
}

// WriteChunk passes tokens on.
func (g *guardedWriter) WriteChunk(ctx context.Context, c *request.Call, k request.Chunk) error {
	return g.pass(func() error { return g.out.WriteChunk(ctx, c, k) })
}

// WriteBytes passes bytes on.
func (g *guardedWriter) WriteBytes(ctx context.Context, c *request.Call, b []byte) error {
	return g.pass(func() error { return g.out.WriteBytes(ctx, c, b) })
}

// WriteEnd ends the answer.
func (g *guardedWriter) WriteEnd(ctx context.Context, c *request.Call, e request.End) error {
	return g.pass(func() error { return g.out.WriteEnd(ctx, c, e) })
}
