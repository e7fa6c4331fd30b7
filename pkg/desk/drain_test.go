package desk

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	drainTokens    = 300
	drainTokenSize = 2000
)

// drainUpstream is an engine and a plain service whose responses pause until they are released.
type drainUpstream struct {
	started chan string
	release chan struct{}
}

func (u *drainUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path != chatPath {
		u.started <- id
		<-u.release
		_, _ = io.WriteString(w, "booked")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-Offset"))
	for i := from; i < drainTokens; i++ {
		event := fmt.Sprintf(`{"id":%q,"model":"chai@1","offset":%d,"choices":[{"index":0,"delta":{"content":%q}}]}`, id, i, drainToken(i))
		if _, err := io.WriteString(w, "data: "+event+"\n\n"); err != nil {
			return
		}
		if i == 0 {
			_ = http.NewResponseController(w).Flush()
			u.started <- id
			<-u.release
		}
	}
	end := fmt.Sprintf(`{"id":%q,"model":"chai@1","offset":%d,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, id, drainTokens)
	_, _ = io.WriteString(w, "data: "+end+"\n\ndata: [DONE]\n\n")
}

func drainToken(i int) string { return fmt.Sprintf("%0*d", drainTokenSize, i) }

// permitAll is a delivery.Gate that permits every call.
type permitAll struct{}

func (permitAll) Permit(*request.Call) error { return nil }

// drainCaller returns a CallerHandler that sends all calls to the upstream.
func drainCaller(snap *atomic.Pointer[catalogue.Snapshot], upstream string) *CallerHandler {
	common := testCommon()
	common.Clock = clock.NewReal()
	view := func() *catalogue.Snapshot {
		s := *snap.Load()
		s.At = common.Clock.Now()
		return &s
	}
	sender := &delivery.Sender{
		Common: common, Gate: permitAll{},
		Budget: &delivery.Budget{Total: 1 << 20, PerRequest: 128 << 10},
	}
	sendToUpstream := func(ctx context.Context, c *request.Call) error {
		c.Upstream = &catalogue.Upstream{Name: "desk-1", Role: catalogue.RoleService, Address: upstream}
		if c.Request.Service == "" {
			c.Version = &catalogue.Version{ID: "chai@1"}
			c.Upstream = &catalogue.Upstream{Name: "engine-1", Role: catalogue.RoleEngine, Address: upstream}
		}
		return sender.Filter(ctx, c, nil)
	}
	identify := &Identify{Common: common, Snapshot: view}
	return &CallerHandler{
		Common: common, Snapshot: view, Ready: func() error { return nil }, InFlight: &InFlight{},
		Handler: request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
			return identify.Filter(ctx, c, request.HandlerFunc(sendToUpstream))
		}),
	}
}

// drainReply is the response that one caller received.
type drainReply struct {
	text     string
	complete bool
}

func TestP11DrainFinishesRequestsInFlight(t *testing.T) {
	upstream := &drainUpstream{started: make(chan string, 8), release: make(chan struct{})}
	engine := serveTest(t, upstream)
	var snap atomic.Pointer[catalogue.Snapshot]
	snap.Store(testSnapshot(0))
	caller := drainCaller(&snap, strings.TrimPrefix(engine.URL, "http://"))
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = NewServer(caller)
	shutdownBegun := make(chan struct{})
	srv.Config.RegisterOnShutdown(func() { close(shutdownBegun) })
	srv.Start()
	t.Cleanup(srv.Close)

	stream := strings.Replace(validChat, `{"model"`, `{"stream": true, "model"`, 1)
	replies := map[string]chan drainReply{}
	start := func(id, path, body string, wait <-chan struct{}) {
		reply := make(chan drainReply, 1)
		replies[id] = reply
		go func() { reply <- sendAndRead(t, srv.URL, id, path, body, wait) }()
		<-upstream.started
	}
	start("stream", chatPath, stream, nil)
	start("buffered", chatPath, validChat, nil)
	start("booking", "/services/booking/tables", "six", nil)
	start("slow reader", chatPath, stream, shutdownBegun)

	draining := *snap.Load()
	draining.Draining = true
	snap.Store(&draining)
	resp, body := sendRequest(t, srv.URL, http.MethodPost, chatPath, validChat, nil)
	if e := decodeError(t, body); e.Outcome != request.NotRun || e.Reason != request.ReasonDraining || !resp.Close {
		t.Errorf("request while draining: got %+v, connection closed %t; want NotRun, Draining and true", e, resp.Close)
	}

	done := make(chan error, 1)
	go func() { done <- srv.Config.Shutdown(t.Context()) }()
	<-shutdownBegun
	if n := caller.InFlight.Count(); n != len(replies) {
		t.Errorf("got %d requests in flight at shutdown, want %d", n, len(replies))
	}
	close(upstream.release)

	var all strings.Builder
	for i := range drainTokens {
		all.WriteString(drainToken(i))
	}
	want := map[string]string{"stream": all.String(), "slow reader": all.String(), "buffered": all.String(), "booking": "booked"}
	for id, reply := range replies {
		got := <-reply
		if !got.complete {
			t.Errorf("%s: response ended early after %d bytes", id, len(got.text))
			continue
		}
		if got.text != want[id] {
			t.Errorf("%s: got %d bytes, want %d", id, len(got.text), len(want[id]))
		}
	}
	if err := <-done; err != nil {
		t.Errorf("Shutdown() = %v", err)
	}
	if err := caller.InFlight.Wait(t.Context()); err != nil {
		t.Errorf("InFlight.Wait() = %v", err)
	}
}

// sendAndRead sends a request and reads the response; if wait is not nil, it waits for it after the headers.
func sendAndRead(t *testing.T, base, id, path, body string, wait <-chan struct{}) drainReply {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return drainReply{}
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set(HeaderRequestKey, "key-"+strings.ReplaceAll(id, " ", "-"))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return drainReply{}
	}
	defer resp.Body.Close()
	if wait != nil {
		<-wait
	}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(resp.Body)
	}
	b, err := io.ReadAll(resp.Body)
	text := string(b)
	if _, rest, found := strings.Cut(text, `"content":"`); found {
		text, _, _ = strings.Cut(rest, `"`)
	}
	return drainReply{text: text, complete: err == nil && resp.StatusCode == http.StatusOK}
}

func readStream(body io.Reader) drainReply {
	var got drainReply
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if lines.Text() == "data: [DONE]" {
			got.complete = true
		}
		if _, rest, found := strings.Cut(lines.Text(), `"content":"`); found {
			text, _, _ := strings.Cut(rest, `"`)
			got.text += text
		}
	}
	return got
}

func TestInFlightWait(t *testing.T) {
	f := &InFlight{}
	if acquired := []bool{f.TryAcquire(2), f.TryAcquire(2), f.TryAcquire(2)}; !slices.Equal(acquired, []bool{true, true, false}) {
		t.Error("TryAcquire did not enforce the limit of 2")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.Wait(ctx); err == nil {
		t.Error("Wait() = nil with requests in flight, want the error of the context")
	}
	done := make(chan error, 2)
	for range 2 {
		go func() { done <- f.Wait(t.Context()) }()
	}
	f.Release()
	f.Release()
	if diff := cmp.Diff([]error{nil, nil}, []error{<-done, <-done}); diff != "" {
		t.Error(diff)
	}
}
