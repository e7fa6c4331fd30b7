package delivery

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// An upstream that broke off a single answer was taken for one that crashed, and the parts of the prompt were quarantined.
func TestRelayTellsACrashFromACutAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	refuse := func() (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED} }
	unreachable := func() (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH} }
	acceptAndClose := func() (net.Conn, error) {
		client, server := net.Pipe()
		server.Close()
		return client, nil
	}
	accept := func() (net.Conn, error) {
		client, _ := net.Pipe()
		return client, nil
	}
	for _, c := range []struct {
		name     string
		response string
		again    func() (net.Conn, error)
		want     bool
	}{
		{"no answer, connections are refused", "", refuse, true},
		{"head alone, connections are refused", head, refuse, true},
		{"no answer, connections are accepted and closed", "", acceptAndClose, true},
		{"no answer, connections are accepted", "", accept, false},
		{"no answer, unreachable", "", unreachable, false},
		{"an event, connections are refused", head + "b\r\nid: 1\ndata\n\n\r\n", refuse, false},
		{"declined, connections are refused", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", refuse, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				f := &Relay{
					Clock: clock.NewReal(), Log: logr.Discard(), Wire: decliningWire{}, Permit: func(*request.Call) error { return nil },
					Dial: func(context.Context, string, string) (net.Conn, error) {
						if dials++; dials > 1 {
							return c.again()
						}
						client, server := net.Pipe()
						go func() {
							defer server.Close()
							_, _ = http.ReadRequest(bufio.NewReader(server))
							_, _ = io.WriteString(server, c.response)
						}()
						return client, nil
					},
				}
				f.Open()
				call := &request.Call{
					Request: &request.Request{ID: "r", Deadline: f.Clock.Now() + 20*clock.Second}, Route: &catalogue.Route{Streaming: true},
					Upstream: &catalogue.Upstream{Name: "u", Address: "u:1"}, Writer: discardWriter{},
				}
				err := f.Filter(t.Context(), call, nil)
				var r *request.Refusal
				if !errors.As(err, &r) || r.UpstreamDown != c.want {
					t.Errorf("got %v with upstream down %t, want a refusal with %t", err, r != nil && r.UpstreamDown, c.want)
				}
			})
		})
	}
}

// decliningWire takes status 503 for a declined request.
type decliningWire struct{ plainWire }

func (w decliningWire) Limit(*http.Response) request.NamedLimit { return request.NamedLimit{} }

func (w decliningWire) Room(*http.Response) request.Room { return request.Room{} }

func (decliningWire) Notice(*http.Response, clock.Millis) request.Notice { return request.Notice{} }

func (w decliningWire) Head(c *request.Call, resp *http.Response) (request.Head, error) {
	if resp.StatusCode == http.StatusServiceUnavailable {
		return request.Head{}, &DeclinedError{Status: resp.StatusCode}
	}
	return w.plainWire.Head(c, resp)
}
