package desk

import (
	"context"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// TestP09CallerGetsResponseAtDeadline lets the deadline of a call that is not repeatable pass while the service works on it:
// the caller gets a response at once, and the call runs to completion.
func TestP09CallerGetsResponseAtDeadline(t *testing.T) {
	type response struct {
		Status  int
		Outcome request.Outcome
		Reason  request.Reason
	}
	overdue := response{http.StatusGatewayTimeout, request.MayHaveRun, request.ReasonDeadline}
	for _, c := range []struct {
		name string
		// before is the part of the response that is written before the deadline.
		before string
		want   response
	}{
		{name: "nothing written", want: overdue},
		{name: "a part buffered", before: "boo", want: overdue},
		{name: "a part sent to the caller", before: string(make([]byte, serviceBufferBytes+1)), want: response{Status: http.StatusOK}},
	} {
		t.Run(c.name, func(t *testing.T) {
			working, finish, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			caller := testCaller(testSnapshot(testNow), func(ctx context.Context, call *request.Call) error {
				call.Upstream = &catalogue.Upstream{Name: "desk-1"}
				if c.before != "" {
					_ = call.Writer.WriteHead(ctx, call, request.Head{Status: http.StatusOK, Header: http.Header{}})
					_ = call.Writer.WriteBytes(ctx, call, []byte(c.before))
				}
				close(working)
				<-finish
				err := call.Writer.WriteEnd(ctx, call, request.End{})
				ended <- err
				return nil
			})
			manual := caller.Clock.(*clock.Manual)
			srv := serveTest(t, caller)
			go func() {
				<-working
				manual.Advance(5_000 + deadlineGrace)
				if c.want == overdue {
					return
				}
				close(finish)
			}()
			resp, body := sendRequest(t, srv.URL, http.MethodPost, "/services/booking/tables", "six", map[string]string{HeaderRequestKey: "k-1"})
			got := response{Status: resp.StatusCode}
			if c.want == overdue {
				e := decodeError(t, body)
				got.Outcome, got.Reason = e.Outcome, e.Reason
				if n := caller.InFlight.Count(); n != 1 {
					t.Errorf("got %d requests in flight while the call runs, want 1", n)
				}
				close(finish)
			}
			if c.want != overdue && body != c.before {
				t.Errorf("got a body of %d bytes, want %d", len(body), len(c.before))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if err := <-ended; (err != nil) != (c.want == overdue) {
				t.Errorf("WriteEnd() = %v, want an error only after the response at the deadline", err)
			}
			if err := caller.InFlight.Wait(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
}
