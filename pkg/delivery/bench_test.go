package delivery

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

// benchTokens is the number of tokens of a response in the benchmarks.
const benchTokens = 100

func benchResponse() string {
	var s strings.Builder
	for i := range benchTokens {
		s.WriteString(tokenEvent(i, "table "))
	}
	s.WriteString(endEvent(benchTokens) + doneEvent)
	return s.String()
}

// BenchmarkChat sends a chat completion over a pipe and forwards a response of 100 tokens.
func BenchmarkChat(b *testing.B) {
	response := streamHead + benchResponse()
	u := &upstream{play: func(_ int, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, response)
		conn.Close()
	}}
	s := newTestSender(u.dial)
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Filter(b.Context(), chatCall(s, &recorder{}), nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
}

// BenchmarkEvents decodes and checks 100 events.
func BenchmarkEvents(b *testing.B) {
	response := []byte(benchResponse())
	b.ReportAllocs()
	for b.Loop() {
		check := &sequence{id: testID, version: testVersion}
		r := NewEventReader(bytes.NewReader(response))
		for range benchTokens {
			ev, err := r.Next()
			if err != nil {
				b.Fatal(err)
			}
			ce, err := parseChatEvent(ev)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := check.next(ce); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkQueue passes one token at a time through a queue.
func BenchmarkQueue(b *testing.B) {
	allocation, _ := (&Budget{Total: 1 << 20, PerRequest: 1 << 20}).Reserve(floorBytes)
	q := newQueue(allocation, clock.NewReal(), clock.Second, false)
	k, _ := (&sequence{id: testID, version: testVersion}).next(chatEvent{ID: testID, Model: testVersion, Offset: new(int), Choices: []choice{{}}})
	b.ReportAllocs()
	for b.Loop() {
		if err := q.put(b.Context(), k); err != nil {
			b.Fatal(err)
		}
		_, n, _ := q.take(b.Context())
		q.release(n)
	}
}
