package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/pricing"
	"carawayknot.example/carawayknot/pkg/request"
)

// scriptedWire sends the ID of the last event and the model as headers, and takes status 503 for a declined request.
type scriptedWire struct{}

func (scriptedWire) Request(c *request.Call, _ clock.Millis) *http.Request {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.Upstream.Address+"/", http.NoBody)
	if err != nil {
		panic(err)
	}
	req.Header.Set("After", c.LastEventID)
	req.Header.Set("Model", c.Model)
	return req
}

func (scriptedWire) Limit(*http.Response) request.NamedLimit { return request.NamedLimit{} }

func (scriptedWire) Room(*http.Response) request.Room { return request.Room{} }

func (scriptedWire) Notice(*http.Response, clock.Millis) request.Notice { return request.Notice{} }

func (scriptedWire) Head(_ *request.Call, resp *http.Response) (request.Head, error) {
	if resp.StatusCode == http.StatusServiceUnavailable {
		return request.Head{}, &delivery.DeclinedError{Status: resp.StatusCode}
	}
	confidence := -1
	_, _ = fmt.Sscan(resp.Header.Get("Sure"), &confidence)
	return request.Head{Status: resp.StatusCode, Header: resp.Header, Confidence: confidence}, nil
}

// bodyWriter is a request.Writer that records the body and its end.
type bodyWriter struct {
	body strings.Builder
	end  bool
}

func (w *bodyWriter) WriteHead(context.Context, *request.Call, request.Head) error   { return nil }
func (w *bodyWriter) WriteChunk(context.Context, *request.Call, request.Chunk) error { return nil }
func (w *bodyWriter) WriteBytes(_ context.Context, _ *request.Call, b []byte) error {
	w.body.Write(b)
	return nil
}

func (w *bodyWriter) WriteEnd(context.Context, *request.Call, request.End) error {
	w.end = true
	return nil
}

// script answers one request that an upstream got; n counts the requests of all upstreams from 1 on.
type script func(upstream string, n int, conn net.Conn, req *http.Request)

// scriptedChain is a chain of filters with scripted upstreams, of which u1 is the least loaded; it is used in a synctest bubble.
type scriptedChain struct {
	route catalogue.Route
	// upstreams has the names of the upstreams.
	upstreams []string
	script    script
	// dial, if set, may fail a connection.
	dial func(upstream string) error
	// timeLimit is the time until the deadline, in milliseconds.
	timeLimit clock.Millis
	// avoided has the names of upstreams that failed just before.
	avoided []string
	// share is the share of retries in the budget, and deposits the number of earlier requests.
	share    float64
	deposits int

	start    time.Time
	snapshot atomic.Pointer[catalogue.Snapshot]
	requests atomic.Int32
	budgets  *dispatch.RetryBudgets
	call     *request.Call
	writer   *bodyWriter
	filters  []request.Filter
}

var (
	resumableStream = catalogue.Route{Streaming: true, Resumable: true, MaxAttempts: 3, Target: 2000, GapTarget: 1000}
	lookupRoute     = catalogue.Route{Repeatable: true, MaxAttempts: 2, Target: 300}
	fourUpstreams   = []string{"u1", "u2", "u3", "u4"}
)

// newScriptedChain returns a chain whose call may take 12 s.
func newScriptedChain(route catalogue.Route, upstreams []string, s script) *scriptedChain {
	return &scriptedChain{route: route, upstreams: upstreams, script: s, timeLimit: 12_000, share: 5, deposits: 20}
}

// build creates the filters and the call.
func (x *scriptedChain) build() {
	clk := clock.NewReal()
	x.start = time.Now()
	s := &catalogue.Snapshot{
		Routes: &catalogue.RouteTable{Pools: map[string]*catalogue.Pool{"lm": {Name: "lm", ColdRate: 23}}},
		Pools:  map[string][]*catalogue.Upstream{},
		Moves:  map[string]*catalogue.ReleaseRollout{},
	}
	loads := &dispatch.LoadTracker{}
	for i, name := range x.upstreams {
		s.Pools["lm"] = append(s.Pools["lm"], &catalogue.Upstream{Name: name, Address: name + ":1", Zone: "a", Slots: 8, Service: "lm"})
		if i > 0 {
			loads.StartRequest(name, 1e6)
		}
	}
	x.snapshot.Store(s)
	x.budgets = newBudget(x.share, x.deposits, clk.Now())
	outliers := &dispatch.OutlierDetector{}
	for _, name := range x.avoided {
		outliers.RecordFailure(name, clk.Now())
		outliers.RecordFailure(name, clk.Now())
	}
	relay := &delivery.Relay{
		Clock: clk, Log: logr.Discard(), Wire: scriptedWire{}, Permit: func(*request.Call) error { return nil }, Dial: x.connect,
	}
	relay.Open()
	d := &dispatch.Dispatch{
		Clock: clk, Log: logr.Discard(), Zone: "a", Snapshot: x.snapshot.Load, Loads: loads, Outliers: outliers,
		Releases: &dispatch.Releases{SessionTimeout: 5000}, Budgets: x.budgets, Latency: &dispatch.LatencyTracker{},
	}
	x.route.Split = []catalogue.Split{{Service: "lm", Weight: 1}}
	x.writer = &bodyWriter{}
	x.call = &request.Call{Request: &request.Request{ID: "r", Deadline: clk.Now() + x.timeLimit}, Route: &x.route, Writer: x.writer}
	x.filters = []request.Filter{delivery.FinalOutcome{}, d, relay}
	if len(x.route.Sizes) > 0 {
		var leastSuccess atomic.Int32
		leastSuccess.Store(75)
		x.call.Request.Prompt = &request.Prompt{Tokens: 100}
		x.filters = []request.Filter{delivery.FinalOutcome{}, &pricing.ConfidenceCascade{
			Log: logr.Discard(), Clock: clk, LeastSuccess: &leastSuccess, Calibration: &pricing.Calibration{}, Budgets: x.budgets,
		}, d, relay}
	}
}

// newBudget returns a budget after the given number of requests.
func newBudget(share float64, deposits int, now clock.Millis) *dispatch.RetryBudgets {
	b := &dispatch.RetryBudgets{Share: share, Window: 60 * clock.Second}
	for range deposits {
		b.Deposit("lm", now)
	}
	return b
}

// handle builds the chain, runs the call and returns its error and how long it took; goroutines of scripts end within settle.
func (x *scriptedChain) handle(ctx context.Context, settle time.Duration) (time.Duration, error) {
	x.build()
	return x.run(ctx, settle)
}

// run runs the call of a chain that is built.
func (x *scriptedChain) run(ctx context.Context, settle time.Duration) (time.Duration, error) {
	err := request.Chain(x.filters...).Handle(ctx, x.call)
	took := time.Since(x.start)
	time.Sleep(settle)
	return took, err
}

func (x *scriptedChain) connect(_ context.Context, _, address string) (net.Conn, error) {
	name := strings.TrimSuffix(address, ":1")
	if x.dial != nil {
		if err := x.dial(name); err != nil {
			return nil, err
		}
	}
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		req, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		x.script(name, int(x.requests.Add(1)), server, req)
	}()
	return client, nil
}

// expectWhole fails the test unless the caller got a whole stream of all events.
func (x *scriptedChain) expectWhole(t *testing.T, took time.Duration, err error) {
	t.Helper()
	want := ""
	for i := 1; i <= scriptedEvents; i++ {
		want += scriptedEvent(i)
	}
	if got := x.writer.body.String(); err != nil || !x.writer.end || got != want {
		t.Errorf("after %v and %d runs: ended %t with error %v and body %q, want a whole answer", took, x.call.Runs, x.writer.end, err, got)
	}
}

const scriptedEvents = 5

func scriptedEvent(i int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i) }

// decline answers that the request was not run.
func decline(conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// serveEvents answers with the events after the last one of the request, and is silent once after the given number of them.
func serveEvents(conn net.Conn, req *http.Request, confidence, silentAfter int, silence time.Duration) {
	after := 0
	_, _ = fmt.Sscan(req.Header.Get("After"), &after)
	if silentAfter == 0 {
		time.Sleep(silence)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSure: %d\r\n\r\n", confidence)
	for i := after + 1; i <= scriptedEvents; i++ {
		event := scriptedEvent(i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		if i == silentAfter {
			time.Sleep(silence)
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}
