package delivery

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Guards against an answer of a faulty upstream whose status no protocol has, and against a handler that panics on it.
func TestAnswerWithoutAFinalStatusIsInvalid(t *testing.T) {
	for _, c := range []struct {
		status string
		valid  bool
	}{
		{"000", false}, {"001", false}, {"099", false}, {"101", false}, {"600", false}, {"999", false},
		{"200", true}, {"302", true}, {"418", true},
	} {
		t.Run(c.status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nContent-Length: 2\r\n\r\nok", c.status)
				_, _ = io.Copy(io.Discard, conn)
			}()
			f := openRelay(t, plainWire{})
			rec := &recorder{}
			call := &request.Call{
				Request: &request.Request{ID: "r", Deadline: f.Clock.Now() + 20*clock.Second}, Route: &catalogue.Route{},
				Upstream: &catalogue.Upstream{Name: "u", Address: l.Addr().String()}, Writer: rec,
			}
			err = f.Filter(t.Context(), call, nil)
			if c.valid {
				if err != nil || rec.text.String() != "ok" {
					t.Errorf("got %q and error %v, want the answer", rec.text.String(), err)
				}
				return
			}
			var r *request.Refusal
			if !errors.As(err, &r) || r.Reason != request.ReasonAnswerMismatch || r.Outcome != request.MayHaveRun || call.HeadWritten {
				t.Errorf("got error %v, head written %t, want a mismatch of a request that may have run", err, call.HeadWritten)
			}
		})
	}
}
