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

// TestP08OutcomeCountsAllAttempts makes two attempts, as the filters that place and cascade calls do, with each way in
// which the second can be stopped.
func TestP08OutcomeCountsAllAttempts(t *testing.T) {
	refuses := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	breaks := (&witness{breakAfter: 10}).dial
	answers := (&witness{breakAfter: -1, answer: booked}).dial
	declines := (&witness{breakAfter: -1, answer: refused}).dial
	for _, c := range []struct {
		name   string
		once   bool
		first  dialFunc
		second dialFunc
		want   request.Outcome
		// dials is how many connections are made.
		dials int
	}{
		{"both never left", false, refuses, refuses, request.NotRun, 2},
		{"refused by contract, never left", false, declines, refuses, request.NotRun, 2},
		{"broke off, never left", false, breaks, refuses, request.MayHaveRun, 2},
		{"broke off, refused by contract", false, breaks, declines, request.MayHaveRun, 2},
		{"answered, never left", false, answers, refuses, request.MayHaveRun, 2},
		{"answered, refused by contract", false, answers, declines, request.MayHaveRun, 2},
		{"once: never left, broke off", true, refuses, breaks, request.MayHaveRun, 2},
		{"once: broke off, answered", true, breaks, answers, request.MayHaveRun, 1},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			dials := 0
			s := testSend(func(ctx context.Context, network, address string) (net.Conn, error) {
				dials++
				if dials == 1 {
					return c.first(ctx, network, address)
				}
				return c.second(ctx, network, address)
			})
			defer s.Close()
			twice := request.HandlerFunc(func(ctx context.Context, call *request.Call) error {
				_ = s.Filter(ctx, call, nil)
				// A connection that is kept would save the second attempt its own.
				s.transports.closeIdle()
				return s.Filter(ctx, call, nil)
			})
			r := refusalOf(t, Settle{}.Filter(t.Context(), serviceCall(s, &recorder{}, http.MethodPost, !c.once), twice))
			if r == nil || r.Outcome != c.want {
				t.Errorf("refusal %v, want %s", r, c.want)
			}
			if dials != c.dials {
				t.Errorf("%d connections were made, want %d", dials, c.dials)
			}
		})
	}
}

// TestP08SettleLeavesTheRestAlone passes answers and other errors through.
func TestP08SettleLeavesTheRestAlone(t *testing.T) {
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
		if got := (Settle{}).Filter(t.Context(), &request.Call{Sent: c.sent}, next); got != c.err {
			t.Errorf("got %v, want %v", got, c.err)
		}
	}
}
