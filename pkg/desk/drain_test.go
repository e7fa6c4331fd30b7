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

// drainUpstream is an engine and a plain service whose answers go on only once they are released.
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

// permitAll is a gate that is open.
type permitAll struct{}

func (permitAll) Permit(*request.Call) error { return nil }

// drainCaller returns a Caller that sends to the upstream.
func drainCaller(snap *atomic.Pointer[catalogue.Snapshot], upstream string) *Caller {
	common := testCommon()
	common.Clock = clock.NewReal()
	view := func() *catalogue.Snapshot {
		s := *snap.Load()
		s.At = common.Clock.Now()
		return &s
	}
	send := &delivery.Send{
		Common: common, Gate: permitAll{},
		Budget: &delivery.Budget{Total: 1 << 20, PerRequest: 128 << 10},
	}
	place := func(ctx context.Context, c *request.Call) error {
		c.Upstream = &catalogue.Upstream{Name: "desk-1", Role: catalogue.RoleService, Address: upstream}
		if c.Request.Service == "" {
			c.Version = &catalogue.Version{ID: "chai@1"}
			c.Upstream = &catalogue.Upstream{Name: "engine-1", Role: catalogue.RoleEngine, Address: upstream}
		}
		return send.Filter(ctx, c, nil)
	}
	identify := &Identify{Common: common, Snapshot: view}
	return &Caller{
		Common: common, Snapshot: view, Ready: func() error { return nil }, InFlight: &InFlight{},
		Line: request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
			return identify.Filter(ctx, c, request.HandlerFunc(place))
		}),
	}
}

// drainReply is what one caller got.
type drainReply struct {
	text  string
	whole bool
}

func TestP11DrainFinishesWhatIsInFlight(t *testing.T) {
	up := &drainUpstream{started: make(chan string, 8), release: make(chan struct{})}
	engine := serveTest(t, up)
	var snap atomic.Pointer[catalogue.Snapshot]
	snap.Store(testSnapshot(0))
	caller := drainCaller(&snap, strings.TrimPrefix(engine.URL, "http://"))
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = NewServer(caller)
	shutting := make(chan struct{})
	srv.Config.RegisterOnShutdown(func() { close(shutting) })
	srv.Start()
	t.Cleanup(srv.Close)

	stream := strings.Replace(goodChat, `{"model"`, `{"stream": true, "model"`, 1)
	replies := map[string]chan drainReply{}
	begin := func(id, path, body string, wait <-chan struct{}) {
		reply := make(chan drainReply, 1)
		replies[id] = reply
		go func() { reply <- askSlowly(t, srv.URL, id, path, body, wait) }()
		<-up.started
	}
	begin("stream", chatPath, stream, nil)
	begin("whole", chatPath, goodChat, nil)
	begin("booking", "/services/booking/tables", "six", nil)
	begin("slow reader", chatPath, stream, shutting)

	draining := *snap.Load()
	draining.Draining = true
	snap.Store(&draining)
	resp, body := ask(t, srv.URL, http.MethodPost, chatPath, goodChat, nil)
	if e := errorOf(t, body); e.Outcome != request.NotRun || e.Reason != request.ReasonDraining || !resp.Close {
		t.Errorf("a request that came while draining: %+v, connection closed: %t", e, resp.Close)
	}

	done := make(chan error, 1)
	go func() { done <- srv.Config.Shutdown(t.Context()) }()
	<-shutting
	if n := caller.InFlight.Count(); n != len(replies) {
		t.Errorf("%d requests in flight at the shutdown, want %d", n, len(replies))
	}
	close(up.release)

	var all strings.Builder
	for i := range drainTokens {
		all.WriteString(drainToken(i))
	}
	want := map[string]string{"stream": all.String(), "slow reader": all.String(), "whole": all.String(), "booking": "booked"}
	for id, reply := range replies {
		got := <-reply
		if !got.whole {
			t.Errorf("%s was cut after %d bytes", id, len(got.text))
			continue
		}
		if got.text != want[id] {
			t.Errorf("%s: got %d bytes, want %d", id, len(got.text), len(want[id]))
		}
	}
	if err := <-done; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if err := caller.InFlight.Wait(t.Context()); err != nil {
		t.Errorf("in flight: %v", err)
	}
}

// askSlowly reads the head of an answer, waits, and reads the rest.
func askSlowly(t *testing.T, base, id, path, body string, wait <-chan struct{}) drainReply {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return drainReply{}
	}
	req.Header.Set("Authorization", "Bearer "+guestKey)
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
	return drainReply{text: text, whole: err == nil && resp.StatusCode == http.StatusOK}
}

func readStream(body io.Reader) drainReply {
	var got drainReply
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if lines.Text() == "data: [DONE]" {
			got.whole = true
		}
		if _, rest, found := strings.Cut(lines.Text(), `"content":"`); found {
			text, _, _ := strings.Cut(rest, `"`)
			got.text += text
		}
	}
	return got
}

func TestInFlightWaits(t *testing.T) {
	f := &InFlight{}
	if entered := []bool{f.Enter(2), f.Enter(2), f.Enter(2)}; !slices.Equal(entered, []bool{true, true, false}) {
		t.Error("the limit does not hold")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.Wait(ctx); err == nil {
		t.Error("Wait came back with requests in flight")
	}
	done := make(chan error, 2)
	for range 2 {
		go func() { done <- f.Wait(t.Context()) }()
	}
	f.Leave()
	f.Leave()
	if diff := cmp.Diff([]error{nil, nil}, []error{<-done, <-done}); diff != "" {
		t.Error(diff)
	}
}
