package delivery

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"carawayknot.example/carawayknot/pkg/request"
)

// TestP08OutcomeCountsAllAttempts makes two attempts, as retries and cascades do, for each way in which the second can fail:
// the outcome of the first must not be lost.
func TestP08OutcomeCountsAllAttempts(t *testing.T) {
	dialFails := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	dialCloses := (&countingUpstream{closeAfter: 10}).dial
	dialAnswers := (&countingUpstream{closeAfter: -1, response: bookedResponse}).dial
	dialDeclines := (&countingUpstream{closeAfter: -1, response: refusedResponse}).dial
	for _, c := range []struct {
		name          string
		nonRepeatable bool
		first         dialFunc
		second        dialFunc
		want          request.Outcome
		// dials is the expected number of connection attempts.
		dials int
	}{
		{"neither sent", false, dialFails, dialFails, request.NotRun, 2},
		{"refused by contract, not sent", false, dialDeclines, dialFails, request.NotRun, 2},
		{"connection broke, not sent", false, dialCloses, dialFails, request.MayHaveRun, 2},
		{"connection broke, refused by contract", false, dialCloses, dialDeclines, request.MayHaveRun, 2},
		{"answered, not sent", false, dialAnswers, dialFails, request.MayHaveRun, 2},
		{"answered, refused by contract", false, dialAnswers, dialDeclines, request.MayHaveRun, 2},
		{"non-repeatable: not sent, connection broke", true, dialFails, dialCloses, request.MayHaveRun, 2},
		{"non-repeatable: connection broke, answered", true, dialCloses, dialAnswers, request.MayHaveRun, 1},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			dials := 0
			s := newTestSender(func(ctx context.Context, network, address string) (net.Conn, error) {
				dials++
				if dials == 1 {
					return c.first(ctx, network, address)
				}
				return c.second(ctx, network, address)
			})
			defer s.Close()
			twice := request.HandlerFunc(func(ctx context.Context, call *request.Call) error {
				_ = s.Filter(ctx, call, nil)
				// An idle connection would be reused by the second attempt, which must dial its own.
				s.transports.closeIdle()
				return s.Filter(ctx, call, nil)
			})
			r := refusalOf(t, FinalOutcome{}.Filter(t.Context(), serviceCall(s, &recorder{}, http.MethodPost, !c.nonRepeatable), twice))
			if r == nil || r.Outcome != c.want {
				t.Errorf("refusal %v, want %s", r, c.want)
			}
			if dials != c.dials {
				t.Errorf("%d connection attempts, want %d", dials, c.dials)
			}
		})
	}
}

// TestP08FinalOutcomeKeepsOtherErrors checks that success, other errors and other outcomes are returned unchanged.
func TestP08FinalOutcomeKeepsOtherErrors(t *testing.T) {
	for _, c := range []struct {
		sent bool
		err  error
	}{
		{true, nil},
		{true, io.EOF},
		{true, &request.Refusal{Outcome: request.Ran}},
		{false, request.Refuse(request.ReasonMemory, 0, "")},
	} {
		next := request.HandlerFunc(func(context.Context, *request.Call) error { return c.err })
		if got := (FinalOutcome{}).Filter(t.Context(), &request.Call{Sent: c.sent}, next); got != c.err {
			t.Errorf("got %v, want %v", got, c.err)
		}
	}
}
