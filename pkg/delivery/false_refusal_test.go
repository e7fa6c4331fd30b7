package delivery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// refusingWire takes 429 and 503 for statuses that promise that a request hasn't run.
type refusingWire struct{ plainWire }

func (refusingWire) Head(_ *request.Call, resp *http.Response) (request.Head, error) {
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return request.Head{Status: resp.StatusCode, Header: resp.Header, FalselyRefused: refused}, nil
}

// headRecorder is a request.Writer that records the status of the response.
type headRecorder struct {
	discardWriter
	status int
}

func (w *headRecorder) WriteHead(_ context.Context, _ *request.Call, head request.Head) error {
	w.status = head.Status
	return nil
}

// Guards against callers that are told that their request hasn't run, and send it again, by an upstream that may have run it.
func TestFalseRefusalIsNotPassedOn(t *testing.T) {
	type result struct {
		// Status is that of the forwarded response, 0 if there is none.
		Status  int
		Outcome request.Outcome
		Reason  request.Reason
	}
	failed := result{Outcome: request.Ran, Reason: request.ReasonUpstreamFailed}
	for _, c := range []struct {
		name       string
		status     int
		repeatable bool
		want       result
	}{
		{"refused as overloaded", 503, false, failed},
		{"refused as too many", 429, false, failed},
		{"refused as overloaded, may be repeated", 503, true, result{Status: 503}},
		{"refused as too many, may be repeated", 429, true, result{Status: 429}},
		{"failed", 500, false, result{Status: 500}},
		{"not found", 404, false, result{Status: 404}},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(c.status) }))
			defer srv.Close()
			f := &Relay{
				Clock: clock.NewReal(), Log: logr.Discard(), Wire: refusingWire{}, Dial: (&net.Dialer{}).DialContext,
				Permit: func(*request.Call) error { return nil },
			}
			f.Open()
			defer f.Close()
			w := &headRecorder{}
			call := &request.Call{
				Request:  &request.Request{ID: "r", Deadline: f.Clock.Now() + 20*clock.Second},
				Route:    &catalogue.Route{Repeatable: c.repeatable},
				Upstream: &catalogue.Upstream{Name: "u", Address: strings.TrimPrefix(srv.URL, "http://")},
				Writer:   w,
			}
			err := f.Filter(t.Context(), call, nil)
			var response *FailedResponse
			if errors.As(err, &response) {
				err = response.Forward(t.Context(), call)
			}
			got := result{Status: w.status}
			var refusal *request.Refusal
			if errors.As(err, &refusal) {
				got.Outcome, got.Reason = refusal.Outcome, refusal.Reason
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}
