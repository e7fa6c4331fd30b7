package desk

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// serveOneToken is an engine that responds to each chat at once with one token.
func serveOneToken(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, `data: {"id":"`+id+`","model":"chai@1","offset":0,"choices":[{"index":0,"delta":{"content":"karibu"}}]}`+"\n\n"+
		`data: {"id":"`+id+`","model":"chai@1","offset":1,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
}

// BenchmarkAddedLatency sends one chat after another over loopback, directly to an engine and through the router. It reports
// percentiles of the time to the end of the response, in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(serveOneToken))
	defer engine.Close()
	var snap atomic.Pointer[catalogue.Snapshot]
	snap.Store(testSnapshot(0))
	router := httptest.NewUnstartedServer(nil)
	router.Config = NewServer(drainCaller(&snap, strings.TrimPrefix(engine.URL, "http://")))
	router.Start()
	defer router.Close()
	stream := strings.Replace(validChat, `{"model"`, `{"stream": true, "model"`, 1)
	for _, c := range []struct {
		name string
		base string
	}{
		{"direct", engine.URL},
		{"routed", router.URL},
	} {
		b.Run(c.name, func(b *testing.B) {
			latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for b.Loop() {
				startedAt := time.Now()
				req, err := http.NewRequest(http.MethodPost, c.base+chatPath, strings.NewReader(stream))
				if err != nil {
					b.Fatal(err)
				}
				req.Header.Set("Authorization", "Bearer "+workspaceKey)
				req.Header.Set("X-Request-Id", "r-1")
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
					b.Fatalf("got response %q and error %v, want one that ends with [DONE]", body, err)
				}
				_ = latencies.RecordValue(time.Since(startedAt).Microseconds())
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
		})
	}
}
