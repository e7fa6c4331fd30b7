package dispatch

import (
	"errors"
	"io"
	"sync"
	"syscall"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/occupancy"
	"carawayknot.example/carawayknot/pkg/placement"
	"carawayknot.example/carawayknot/pkg/request"
)

// maxCrashesPerRequest is the number of upstreams that may crash before they begin to answer a request until it is retried no more.
const maxCrashesPerRequest = 2

// attempt follows one attempt of a call: its work is pending until its answer begins, and its prompt is watched until it ends.
type attempt struct {
	SuspectWatch
	loads    *LoadTracker
	upstream *catalogue.Upstream
	// stay is the request in the count of those at the upstream.
	stay *occupancy.Stay
	// choice is what was predicted of the upstream, and placed the request in the predictions for it.
	choice placement.Choice
	placed *placement.Stay
	clock  clock.Clock
	work   float64
	once   sync.Once
}

// begin records that the answer has begun.
func (a *attempt) begin() {
	a.subtractWork()
	a.placed.Begin(a.clock.Now())
	a.FirstEvent()
}

func (a *attempt) subtractWork() {
	a.once.Do(func() { a.loads.SubtractWork(a.upstream.Name, a.work) })
}

// end reports whether the upstream crashed before it began to answer.
func (a *attempt) end(err error) bool {
	if err == nil && !a.call.Route.Streaming {
		a.FirstEvent()
	}
	crashed := upstreamDown(err) && !a.begun.Load()
	a.End(a.upstream, crashed)
	return crashed
}

// upstreamDown reports whether the upstream ended with the attempt.
func upstreamDown(err error) bool {
	var r *request.Refusal
	return errors.As(err, &r) && r.UpstreamDown
}

// peerClosed reports whether the upstream closed or reset the connection after the request was sent.
func peerClosed(err error) bool {
	var r *request.Refusal
	if !errors.As(err, &r) || r.Outcome != request.MayHaveRun {
		return false
	}
	switch r.Reason {
	case request.ReasonUpstreamFailed, request.ReasonAnswerIncomplete:
		return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	}
	return false
}
