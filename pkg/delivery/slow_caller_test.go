package delivery

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// slowCaller is a request.Writer that takes a pause with the first part of the response.
type slowCaller struct {
	discardWriter
	pause clock.Millis
	begun atomic.Bool
	bytes int
}

func (w *slowCaller) WriteBytes(_ context.Context, _ *request.Call, b []byte) error {
	if !w.begun.Swap(true) {
		time.Sleep(w.pause.Duration())
	}
	w.bytes += len(b)
	return nil
}

// Guards against a long response that is cut because its caller reads slowly: the timer of the first byte went on while the part beyond the buffer
// was passed on.
func TestFirstByteTimerEndsWithTheFirstByte(t *testing.T) {
	const timeout clock.Millis = 200
	body := strings.Repeat("x", 2*maxBufferedBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	f := openRelay(t, plainWire{})
	w := &slowCaller{pause: 3 * timeout}
	call := &request.Call{
		Request:          &request.Request{ID: "r", Deadline: f.Clock.Now() + 20*clock.Second},
		Route:            &catalogue.Route{Repeatable: true},
		Upstream:         &catalogue.Upstream{Name: "u", Address: strings.TrimPrefix(server.URL, "http://")},
		Writer:           w,
		FirstByteTimeout: timeout,
		ReserveRetry:     w.begun.Load,
	}
	err := f.Filter(t.Context(), call, nil)
	if diff := cmp.Diff(len(body), w.bytes); diff != "" || err != nil {
		t.Errorf("error %v, bytes (-want +got):\n%s", err, diff)
	}
}
