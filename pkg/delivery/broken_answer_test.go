package delivery

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/request"
)

// brokenResult is what a caller of the own interface got of a broken answer.
type brokenResult struct {
	Outcome request.Outcome
	Text    string
	Ended   bool
}

func sendBroken(t *testing.T, s *Sender, rec *recorder, call *request.Call) brokenResult {
	t.Helper()
	got := brokenResult{Outcome: request.Ran}
	if r := refusalOf(t, s.Filter(t.Context(), call, nil)); r != nil {
		got.Outcome = r.Outcome
	}
	got.Text, got.Ended = rec.text.String(), rec.end != nil
	return got
}

// Guards against an answer whose head breaks off and that reaches the caller as a whole one with an empty or short body.
func TestP07AnswerCutInItsHeadIsNotPassedOn(t *testing.T) {
	for cut := 1; cut < len(bookedHead); cut++ {
		for _, kind := range []string{"chat", "repeatable service", "service"} {
			inBubble(t, fmt.Sprintf("%s, %d bytes missing", kind, cut), func(t *testing.T) {
				u := &upstream{play: writeAndClose(bookedHead[:len(bookedHead)-cut])}
				s := newTestSender(u.dial)
				defer s.Close()
				rec := &recorder{}
				call := serviceCall(s, rec, http.MethodPost, kind == "repeatable service")
				if kind == "chat" {
					call = chatCall(s, rec)
				}
				if diff := cmp.Diff(brokenResult{Outcome: request.MayHaveRun}, sendBroken(t, s, rec, call)); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		}
	}
}

// Guards against the text of an engine's error in a stream that had begun, and against such a stream that ends as if it were whole.
func TestP07ErrorAfterBrokenStreamIsNotPassedOn(t *testing.T) {
	const text = "the boom of an engine"
	for _, status := range []int{200, 201, 302, 400, 404, 408, 429, 500, 502, 503} {
		for _, id := range []string{"X-Request-Id: r-1\r\n", ""} {
			for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text)), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(text)), "\r\n"} {
				name := fmt.Sprintf("%d, %q, %q", status, id, strings.TrimSpace(framing))
				inBubble(t, name, func(t *testing.T) {
					u := &upstream{play: func(n int, _ *http.Request, conn net.Conn) {
						if n == 0 {
							_, _ = io.WriteString(conn, streamHead+tokenEvent(0, "a")+tokenEvent(1, "b"))
						} else {
							_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Error\r\n%s%s%s", status, id, framing, text)
						}
						conn.Close()
					}}
					s := newTestSender(u.dial)
					defer s.Close()
					rec := &recorder{}
					got := sendBroken(t, s, rec, chatCall(s, rec))
					if diff := cmp.Diff(brokenResult{Outcome: request.MayHaveRun, Text: "ab"}, got); diff != "" || u.requests() < 2 {
						t.Errorf("%d requests, (-want +got):\n%s", u.requests(), diff)
					}
				})
			}
		}
	}
}
