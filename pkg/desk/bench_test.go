package desk

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkCaller measures reading a chat completion and writing its response of two tokens, without sockets.
func BenchmarkCaller(b *testing.B) {
	for _, c := range []struct {
		name string
		body string
	}{
		{"whole", validChat},
		{"stream", strings.Replace(validChat, `{"model"`, `{"stream": true, "model"`, 1)},
	} {
		b.Run(c.name, func(b *testing.B) {
			caller := testCaller(testSnapshot(testNow), serveChat)
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader(c.body))
				r.Header.Set("Authorization", "Bearer "+workspaceKey)
				w := httptest.NewRecorder()
				caller.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatalf("got status %d, want 200: %s", w.Code, w.Body)
				}
			}
		})
	}
}
