package delivery

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// plainWire is a Wire that sends a GET request and accepts any response.
type plainWire struct{}

func (plainWire) Request(c *request.Call, _ clock.Millis) *http.Request {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.Upstream.Address+"/", http.NoBody)
	if err != nil {
		panic(err)
	}
	return req
}

func (plainWire) Limit(*http.Response) request.NamedLimit { return request.NamedLimit{} }

func (plainWire) Room(*http.Response) request.Room { return request.Room{} }

func (plainWire) Notice(*http.Response, clock.Millis) request.Notice { return request.Notice{} }

func (plainWire) Head(_ *request.Call, resp *http.Response) (request.Head, error) {
	return request.Head{Status: resp.StatusCode, Header: resp.Header}, nil
}

// discardWriter is a request.Writer that discards the response.
type discardWriter struct{}

func (discardWriter) WriteHead(context.Context, *request.Call, request.Head) error   { return nil }
func (discardWriter) WriteChunk(context.Context, *request.Call, request.Chunk) error { return nil }
func (discardWriter) WriteBytes(context.Context, *request.Call, []byte) error        { return nil }
func (discardWriter) WriteEnd(context.Context, *request.Call, request.End) error     { return nil }

func TestRelayReportsAttemptResult(t *testing.T) {
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	defer failing.Close()
	good := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer good.Close()
	cutting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cutting.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	for _, c := range []struct {
		name   string
		server *httptest.Server
		permit error
		want   request.Result
	}{
		{"successful response", good, nil, request.ResultComplete},
		{"error status", failing, nil, request.ResultFailed},
		{"connection closed without a response", cutting, nil, request.ResultFailed},
		{"connection refused", gone, nil, request.ResultUnreached},
		{"not permitted", good, request.Refuse(request.ReasonUnauthorized, 0, "the key is gone"), request.ResultUnreached},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got request.Sample
			f := &Relay{
				Clock: clock.NewReal(), Log: logr.Discard(), Wire: plainWire{},
				Permit:  func(*request.Call) error { return c.permit },
				Dial:    (&net.Dialer{}).DialContext,
				Observe: func(_ *request.Call, s request.Sample) { got = s },
			}
			f.Open()
			defer f.Close()
			call := &request.Call{
				Request:  &request.Request{ID: "r", Deadline: f.Clock.Now() + 20*clock.Second},
				Route:    &catalogue.Route{},
				Upstream: &catalogue.Upstream{Name: "u", Address: strings.TrimPrefix(c.server.URL, "http://")},
				Writer:   discardWriter{},
			}
			_ = f.Filter(context.Background(), call, nil)
			if got.Result != c.want {
				t.Errorf("result %s, want %s", got.Result, c.want)
			}
		})
	}
}

// Pattern: an engine that reads a long prompt answers later than expected, and no retry is left.
func TestSlowAnswerIsAwaitedWithoutARetry(t *testing.T) {
	for _, c := range []struct {
		name     string
		reserved bool
		want     request.Result
	}{
		{"no retry left", false, request.ResultComplete},
		{"retry reserved", true, request.ResultFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked, reached := make(chan struct{}), make(chan struct{})
			slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(reached)
				<-asked
				if c.reserved {
					<-r.Context().Done()
				}
			}))
			defer slow.Close()
			var got request.Sample
			f := &Relay{
				Clock: clock.NewReal(), Log: logr.Discard(), Wire: plainWire{}, Dial: (&net.Dialer{}).DialContext,
				Permit:  func(*request.Call) error { return nil },
				Observe: func(_ *request.Call, s request.Sample) { got = s },
			}
			f.Open()
			defer f.Close()
			call := &request.Call{
				Request:          &request.Request{ID: "r", Deadline: f.Clock.Now() + 20*clock.Second},
				Route:            &catalogue.Route{Repeatable: true},
				Upstream:         &catalogue.Upstream{Name: "u", Address: strings.TrimPrefix(slow.URL, "http://")},
				Writer:           discardWriter{},
				FirstByteTimeout: 1,
				ReserveRetry: func() bool {
					<-reached
					close(asked)
					return c.reserved
				},
			}
			_ = f.Filter(context.Background(), call, nil)
			if got.Result != c.want {
				t.Errorf("result %s, want %s", got.Result, c.want)
			}
		})
	}
}

func TestLowerQuartileGap(t *testing.T) {
	for _, c := range []struct {
		name string
		gaps []clock.Millis
		want clock.Millis
	}{
		{"none", nil, 0},
		{"too few", []clock.Millis{30, 30}, 0},
		{"long pauses while the engine reads other prompts", []clock.Millis{26, 900, 26, 25, 400}, 26},
		{"all long", []clock.Millis{120, 110, 130, 900}, 120},
		{"events that arrived together", []clock.Millis{0, 0, 0, 90}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := lowerQuartileGap(c.gaps); got != c.want {
				t.Errorf("got %d ms, want %d", got, c.want)
			}
		})
	}
}
