package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// The timer of an attempt that had just been cut read the call while the next attempt changed it.
func TestPauseTimerOfAnEarlierAttempt(t *testing.T) {
	const limit = 4 * time.Second
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			x := newScriptedChain(resumableStream, fourUpstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
				if n > 1 {
					serveEvents(conn, req, 90, 0, 0)
					return
				}
				event := scriptedEvent(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event), event)
				time.Sleep(limit)
				_, _ = io.WriteString(conn, "broken")
			})
			took, err := x.handle(t.Context(), limit)
			x.expectWhole(t, took, err)
		})
	}
}
