package delivery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/request"
)

const bookedResponse = bookedHead + "booked"

// TestP09TransportNeverSendsTwice closes a reused connection during a request that the HTTP transport would send again.
func TestP09TransportNeverSendsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{play: func(n int, _ *http.Request, conn net.Conn) {
			if n == 1 {
				conn.Close()
				return
			}
			_, _ = io.WriteString(conn, bookedResponse)
		}}
		s := newTestSender(u.dial)
		defer s.Close()
		for i, want := range []request.Outcome{"", request.MayHaveRun} {
			call := serviceCall(s, &recorder{}, http.MethodGet, true)
			call.Request.Body = nil
			var got request.Outcome
			if r := refusalOf(t, s.Filter(t.Context(), call, nil)); r != nil {
				got = r.Outcome
			}
			if got != want {
				t.Errorf("request %d: outcome %q, want %q", i, got, want)
			}
			synctest.Wait()
		}
		// The HTTP transport opens the second connection for its own retry; nothing may be written to it.
		if u.requests() != 2 || u.dials != 2 {
			t.Errorf("the upstream got %d requests on %d connections, want 2 on 2", u.requests(), u.dials)
		}
	})
}

func TestP09NonRepeatableRequestUsesNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{play: func(_ int, req *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, strings.Replace(bookedResponse, testID, req.Header.Get(requestIDHeader), 1))
		}}
		s := newTestSender(u.dial)
		defer s.Close()
		for i, repeatable := range []bool{true, true, false, false} {
			call := serviceCall(s, &recorder{}, http.MethodPost, repeatable)
			call.Request.ID = fmt.Sprint("r-", i)
			if err := s.Filter(t.Context(), call, nil); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if u.dials != 3 {
			t.Errorf("%d connections, want 1 for both repeatable requests and 1 for each other request", u.dials)
		}
	})
}

// TestP09SentRequestRunsToCompletion disconnects the caller, or lets its deadline pass, after the request was sent.
func TestP09SentRequestRunsToCompletion(t *testing.T) {
	for _, c := range []struct {
		name   string
		cancel time.Duration
		fail   error
		want   *request.Refusal
	}{
		{"context ends", 50 * time.Millisecond, nil, nil},
		{"deadline passes", 0, nil, nil},
		{"connection to the caller breaks", 0, errors.New("broken pipe"), &request.Refusal{Outcome: request.Ran, Reason: request.ReasonCallerGone}},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			u := &upstream{play: func(_ int, _ *http.Request, conn net.Conn) {
				time.Sleep(2 * time.Second)
				_, _ = io.WriteString(conn, bookedResponse)
			}}
			s := newTestSender(u.dial)
			defer s.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.cancel > 0 {
				time.AfterFunc(c.cancel, cancel)
			}
			rec := &recorder{fail: c.fail}
			call := serviceCall(s, rec, http.MethodPost, false)
			call.Request.Deadline = s.Clock.Now() + 1000
			r := refusalOf(t, s.Filter(ctx, call, nil))
			if (r == nil) != (c.want == nil) || r != nil && (r.Outcome != c.want.Outcome || r.Reason != c.want.Reason) {
				t.Errorf("refusal %v, want %v", r, c.want)
			}
			if diff := cmp.Diff("booked", rec.text.String()); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// TestP09TrickledResponseIsAborted has a service send a byte within each stall timeout and never finish. The attempt must end
// at the time limit of its context, with an unknown outcome, or else the instance could not drain.
func TestP09TrickledResponseIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{play: func(_ int, _ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\nX-Request-Id: r-1\r\n\r\n")
			for range 1000 {
				time.Sleep(time.Second)
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
			}
		}}
		s := newTestSender(u.dial)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		startedAt := s.Clock.Now()
		call := serviceCall(s, &recorder{}, http.MethodPost, false)
		call.Request.Deadline = startedAt + 1000
		r := refusalOf(t, s.Filter(ctx, call, nil))
		if r == nil || r.Outcome == request.NotRun {
			t.Errorf("refusal %v, want one with an outcome other than NotRun", r)
		}
		if took := s.Clock.Now() - startedAt; took > 21_000 {
			t.Errorf("aborted after %d ms, want about 20,000", took)
		}
		// The upstream notices the closed connection at its next write.
		time.Sleep(5 * time.Second)
	})
}

// TestP08RequestAbortedWhileConnectingIsNotSent completes the connection after the call was refused.
func TestP08RequestAbortedWhileConnectingIsNotSent(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			u := &upstream{play: writeAndClose(bookedResponse)}
			s := newTestSender(func(ctx context.Context, network, address string) (net.Conn, error) {
				time.Sleep(time.Second)
				return u.dial(ctx, network, address)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			r := refusalOf(t, s.Filter(ctx, serviceCall(s, &recorder{}, http.MethodPost, repeatable), nil))
			if r == nil || r.Outcome != request.NotRun {
				t.Errorf("refusal %v, want NotRun", r)
			}
			time.Sleep(5 * time.Second)
			synctest.Wait()
			if u.requests() != 0 {
				t.Errorf("the upstream got %d requests after the caller got NotRun", u.requests())
			}
			s.Close()
		})
	}
}

// TestConnectionReuseAfterCompleteResponse sends the end of the HTTP body after the end marker; the connection must be reused
// and the caller must not wait for it.
func TestConnectionReuseAfterCompleteResponse(t *testing.T) {
	response := tokenEvent(0, "karibu") + endEvent(1) + doneEvent
	chunked := strings.Replace(streamHead, "Connection: close", "Transfer-Encoding: chunked", 1) +
		fmt.Sprintf("%x\r\n%s\r\n", len(response), response)
	for _, c := range []struct {
		name  string
		last  string
		dials int
	}{
		{"body ends", "0\r\n\r\n", 1},
		{"body never ends", "", 3},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			u := &upstream{play: func(_ int, _ *http.Request, conn net.Conn) {
				_, _ = io.WriteString(conn, chunked)
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(conn, c.last)
			}}
			s := newTestSender(u.dial)
			for range 3 {
				startedAt := s.Clock.Now()
				if err := s.Filter(t.Context(), chatCall(s, &recorder{}), nil); err != nil {
					t.Error(err)
				}
				if took := s.Clock.Now() - startedAt; took != 0 {
					t.Errorf("the caller waited %d ms for the end of the body", took)
				}
				time.Sleep(2 * time.Second)
			}
			s.Close()
			if u.dials != c.dials {
				t.Errorf("%d connections, want %d", u.dials, c.dials)
			}
		})
	}
}
