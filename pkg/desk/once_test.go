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

// TestP09CallerIsAnsweredAtItsDeadline lets the deadline of a booking pass while the service works on it: the caller is
// answered at once, and the call goes on to its end.
func TestP09CallerIsAnsweredAtItsDeadline(t *testing.T) {
	type verdict struct {
		Status  int
		Outcome request.Outcome
		Reason  request.Reason
	}
	late := verdict{http.StatusGatewayTimeout, request.MayHaveRun, request.ReasonDeadline}
	for _, c := range []struct {
		name string
		// before is written before the deadline passes.
		before string
		want   verdict
	}{
		{name: "nothing came", want: late},
		{name: "a first part came", before: "boo", want: late},
		{name: "the caller has seen a part", before: string(make([]byte, serviceHold+1)), want: verdict{Status: http.StatusOK}},
	} {
		t.Run(c.name, func(t *testing.T) {
			working, goOn, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			caller := testCaller(testSnapshot(testNow), func(ctx context.Context, call *request.Call) error {
				call.Upstream = &catalogue.Upstream{Name: "desk-1"}
				if c.before != "" {
					_ = call.Writer.WriteHead(ctx, call, request.Head{Status: http.StatusOK, Header: http.Header{}})
					_ = call.Writer.WriteBytes(ctx, call, []byte(c.before))
				}
				close(working)
				<-goOn
				err := call.Writer.WriteEnd(ctx, call, request.End{})
				ended <- err
				return nil
			})
			hands := caller.Clock.(*clock.Manual)
			srv := serveTest(t, caller)
			go func() {
				<-working
				hands.Advance(5_000 + overdueGrace)
				if c.want == late {
					return
				}
				close(goOn)
			}()
			resp, body := ask(t, srv.URL, http.MethodPost, "/services/booking/tables", "six", map[string]string{HeaderRequestKey: "k-1"})
			got := verdict{Status: resp.StatusCode}
			if c.want == late {
				e := errorOf(t, body)
				got.Outcome, got.Reason = e.Outcome, e.Reason
				if n := caller.InFlight.Count(); n != 1 {
					t.Errorf("%d requests in flight while the call goes on, want 1", n)
				}
				close(goOn)
			}
			if c.want != late && body != c.before {
				t.Errorf("%d bytes came, want %d", len(body), len(c.before))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if err := <-ended; (err != nil) != (c.want == late) {
				t.Errorf("the end of the call was written with error %v", err)
			}
			if err := caller.InFlight.Wait(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
}
