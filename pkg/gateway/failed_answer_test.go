package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
)

// A stream was resumed at an upstream that answered with an error, whose body was appended to the stream as its end.
func TestErrorAnswerIsNoRestOfAStream(t *testing.T) {
	for _, status := range []string{"404 Not Found", "400 Bad Request", "409 Conflict", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newScriptedChain(resumableStream, fourUpstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
					switch n {
					case 1:
						cutAfterFirstEvent(conn)
					case 2:
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 3\r\n\r\nbad")
					default:
						serveEvents(conn, req, 90, 0, 0)
					}
				})
				took, err := x.handle(t.Context(), 0)
				x.expectWhole(t, took, err)
			})
		})
	}
}

// An upstream's own failure was replaced by a refusal when the retries were declined.
func TestFailureOfAnUpstreamIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newScriptedChain(lookupRoute, fourUpstreams, func(_ string, n int, conn net.Conn, _ *http.Request) {
			if n == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad")
				return
			}
			decline(conn)
		})
		_, err := x.handle(t.Context(), 0)
		if got := x.writer.body.String(); err != nil || !strings.Contains(got, "bad") {
			t.Errorf("got body %q and error %v, want the upstream's own answer", got, err)
		}
	})
}
