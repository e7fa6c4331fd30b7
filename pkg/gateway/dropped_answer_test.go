package gateway

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// sizedStream returns a route of streams that begin with the model "small", whose answers are unsure.
func sizedStream() catalogue.Route {
	r := resumableStream
	r.Sizes = []string{"small", "large"}
	return r
}

func isSmall(req *http.Request) bool { return req.Header.Get("Model") == "small" }

// An answer was dropped for that of a larger model, and the request refused because all upstreams were full for a moment then.
func TestDroppedAnswerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const busy = 1500 * time.Millisecond
		var x *scriptedChain
		x = newScriptedChain(sizedStream(), fourUpstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
			switch {
			case n == 1:
				serveEvents(conn, req, 0, 0, 0)
			case time.Since(x.start) < busy:
				decline(conn)
			default:
				serveEvents(conn, req, 90, 0, 0)
			}
		})
		took, err := x.handle(t.Context(), 0)
		x.expectWhole(t, took, err)
	})
}
