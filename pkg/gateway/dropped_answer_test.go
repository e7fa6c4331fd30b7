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

// An answer was dropped for a larger model's with too little time left for it.
func TestAnswerIsKeptNearTheDeadline(t *testing.T) {
	const largeTakes = 700 * time.Millisecond
	for _, left := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(left.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newScriptedChain(sizedStream(), []string{"u1"}, func(_ string, _ int, conn net.Conn, req *http.Request) {
					if isSmall(req) {
						serveEvents(conn, req, 0, 0, 3*time.Second-left)
						return
					}
					serveEvents(conn, req, 90, 0, largeTakes)
				})
				x.timeLimit = 3000
				took, err := x.handle(t.Context(), largeTakes)
				x.expectWhole(t, took, err)
			})
		})
	}
}

// A stream that may run only once ran again on a larger model.
func TestAnswerThatMayNotBeRepeatedIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := sizedStream()
		route.Resumable = false
		x := newScriptedChain(route, fourUpstreams, func(_ string, _ int, conn net.Conn, req *http.Request) { serveEvents(conn, req, 0, 0, 0) })
		took, err := x.handle(t.Context(), 0)
		x.expectWhole(t, took, err)
		if n := x.requests.Load(); n != 1 {
			t.Errorf("ran %d times, want once", n)
		}
	})
}

// A call waited until its deadline for a larger model although the smallest one was free.
func TestSmallestModelIsAskedBeforeWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = 8 * time.Second
		route := sizedStream()
		route.MaxAttempts = 4
		x := newScriptedChain(route, fourUpstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
			switch {
			case isSmall(req):
				serveEvents(conn, req, 0, 0, 0)
			case n == 2:
				time.Sleep(silence)
			default:
				decline(conn)
			}
		})
		took, err := x.handle(t.Context(), silence)
		x.expectWhole(t, took, err)
		if took > 5*time.Second {
			t.Errorf("answered after %v, want the smallest model once the larger one was declined", took)
		}
	})
}
