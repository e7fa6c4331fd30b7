package desk

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkCaller reads a chat completion and writes its answer of two tokens, without sockets.
func BenchmarkCaller(b *testing.B) {
	for _, c := range []struct {
		name string
		body string
	}{
		{"whole", goodChat},
		{"stream", strings.Replace(goodChat, `{"model"`, `{"stream": true, "model"`, 1)},
	} {
		b.Run(c.name, func(b *testing.B) {
			caller := testCaller(testSnapshot(testNow), answerChat)
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader(c.body))
				r.Header.Set("Authorization", "Bearer "+guestKey)
				w := httptest.NewRecorder()
				caller.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatalf("status %d: %s", w.Code, w.Body)
				}
			}
		})
	}
}
