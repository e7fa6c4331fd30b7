package delivery

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// givenUpTimeout is how long the head of the response to an attempt that was given up may take; an upstream that falls silent for a second
	// or so sends it after that.
	givenUpTimeout = 2 * clock.Second
	// maxGivenUp bounds the attempts that were given up and whose heads are awaited; each holds a connection.
	maxGivenUp = 64
)

// awaitedHead is the response of a round trip, or its error.
type awaitedHead struct {
	resp *http.Response
	err  error
}

// roundTrip sends the request and returns the response once its head has arrived. An attempt that is given up before doesn't wait for the
// head, which is read all the same: it may say that the upstream leaves or wants no requests.
func (a *relayAttempt) roundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(a.ctx))
	done := make(chan awaitedHead, 1)
	go func() {
		resp, err := a.transports.roundTrip(req.WithContext(ctx), a.ex, false)
		done <- awaitedHead{resp, err}
	}()
	select {
	case head := <-done:
		if head.err != nil {
			cancel(context.Canceled)
			return nil, head.err
		}
		context.AfterFunc(a.ctx, func() { cancel(context.Cause(a.ctx)) })
		return head.resp, nil
	case <-a.ctx.Done():
		cause := context.Cause(a.ctx)
		a.giveUp(done, func() { cancel(cause) })
		return nil, errors.Wrap(cause, "HTTP round trip")
	}
}

// giveUp tells the upstream that nobody waits for the answer, and reads its head in the background if the request was sent.
func (a *relayAttempt) giveUp(done <-chan awaitedHead, cancel func()) {
	wrote, _ := a.ex.seal()
	if !wrote || !a.givenUp.enter() {
		cancel()
		return
	}
	if !a.ex.closeWrite() {
		a.givenUp.leave()
		cancel()
		return
	}
	c := *a.call
	timer := time.AfterFunc(givenUpTimeout.Duration(), cancel)
	go func() {
		defer a.givenUp.leave()
		defer cancel()
		defer timer.Stop()
		head := <-done
		if head.err != nil {
			return
		}
		_, err := a.Wire.Head(&c, head.resp)
		a.reportHead(&c, head.resp, err)
		_ = head.resp.Body.Close()
	}()
}

// givenUpCount counts the attempts that were given up and whose heads are awaited.
type givenUpCount struct{ n atomic.Int64 }

// enter reports whether one more head may be awaited.
func (g *givenUpCount) enter() bool {
	if g.n.Add(1) > maxGivenUp {
		g.n.Add(-1)
		return false
	}
	return true
}

func (g *givenUpCount) leave() { g.n.Add(-1) }
