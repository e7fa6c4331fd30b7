package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// cutAfterFirstEvent begins a stream and ends its connection after one event.
func cutAfterFirstEvent(conn net.Conn) {
	event := scriptedEvent(1)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event), event)
}

// A begun stream was given up up to two seconds before its deadline, because the next pause didn't fit before it.
func TestBegunStreamIsTriedUntilItsDeadline(t *testing.T) {
	const free = 10600 * time.Millisecond
	for i := range 40 {
		synctest.Test(t, func(t *testing.T) {
			var x *scriptedChain
			x = newScriptedChain(resumableStream, fourUpstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
				switch {
				case n == 1:
					cutAfterFirstEvent(conn)
				case time.Since(x.start) < free:
					decline(conn)
				default:
					serveEvents(conn, req, 90, 0, 0)
				}
			})
			x.build()
			x.call.Request.ID = fmt.Sprint("r", i)
			took, err := x.run(t.Context(), 0)
			x.expectWhole(t, took, err)
		})
	}
}

// A call that reached no upstream was held to its deadline, because its connection attempt had been aborted with a retry in reserve.
func TestUnsentCallIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newScriptedChain(lookupRoute, fourUpstreams, func(_ string, _ int, conn net.Conn, _ *http.Request) { decline(conn) })
		x.dial = func(upstream string) error {
			if upstream != "u1" {
				return nil
			}
			time.Sleep(time.Second)
			return errors.New("no route")
		}
		took, err := x.handle(t.Context(), 2*time.Second)
		if err == nil || took > time.Second || x.call.Sent {
			t.Errorf("got %v after %v, want a refusal at once", err, took)
		}
	})
}

// Rounds of a call without any upstream took retries from the budget of others.
func TestPauseWithoutUpstreamsIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var x *scriptedChain
		x = newScriptedChain(resumableStream, fourUpstreams, func(_ string, _ int, conn net.Conn, _ *http.Request) {
			s := *x.snapshot.Load()
			s.Pools = map[string][]*catalogue.Upstream{}
			x.snapshot.Store(&s)
			cutAfterFirstEvent(conn)
		})
		_, _ = x.handle(t.Context(), 0)
		if got, want := x.retriesLeft(), x.retriesAtStart()-1; got < want {
			t.Errorf("%d retries left, want %d: one was reserved and none was sent", got, want)
		}
	})
}

// One begun stream that all upstreams decline used up the retries of all other requests.
func TestBegunStreamLeavesRetriesForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newScriptedChain(resumableStream, fourUpstreams, func(_ string, n int, conn net.Conn, _ *http.Request) {
			if n == 1 {
				cutAfterFirstEvent(conn)
				return
			}
			decline(conn)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, _ = x.handle(ctx, 0)
		// Three declines in the first round and one in each round after it.
		if spent := x.retriesAtStart() - x.retriesLeft(); spent > 9 {
			t.Errorf("%d retries spent in 3 s, want at most 9", spent)
		}
	})
}

// retriesLeft empties the budget and returns the number of retries that were left.
func (x *scriptedChain) retriesLeft() int {
	n := 0
	for x.budgets.TryWithdraw("lm", clock.NewReal().Now()) {
		n++
	}
	return n
}

// retriesAtStart returns the number of retries of a budget that only the first attempt of a call has touched.
func (x *scriptedChain) retriesAtStart() int {
	fresh := &scriptedChain{budgets: newBudget(x.share, x.deposits+1, clock.NewReal().Now())}
	return fresh.retriesLeft()
}

// A begun stream was taken for whole when the upstream that went on with it ended its connection without an event and without framing.
func TestBegunStreamIsNotEndedByAnEmptyUnframedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newScriptedChain(resumableStream, fourUpstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
			switch n {
			case 1:
				cutAfterFirstEvent(conn)
			case 2:
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			default:
				serveEvents(conn, req, 90, 0, 0)
			}
		})
		took, err := x.handle(t.Context(), 0)
		x.expectWhole(t, took, err)
	})
}
