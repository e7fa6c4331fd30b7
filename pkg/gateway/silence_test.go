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
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
)

// scriptedWire sends the number of the last event as a header, and takes status 503 for a declined request.
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

func (scriptedWire) Head(_ *request.Call, resp *http.Response) (request.Head, error) {
	if resp.StatusCode == http.StatusServiceUnavailable {
		return request.Head{}, &delivery.DeclinedError{Status: resp.StatusCode}
	}
	confidence := -1
	_, _ = fmt.Sscan(resp.Header.Get("Sure"), &confidence)
	return request.Head{Status: resp.StatusCode, Header: resp.Header, Confidence: confidence}, nil
}

// scriptedUpstream answers with five events or declines.
type scriptedUpstream struct {
	// declinesAfter is the number of runs after which requests are declined for busyFor; 0 means never.
	declinesAfter int32
	busyFor       time.Duration
	// busySince is the time of the last run, in nanoseconds.
	busySince atomic.Int64
	runs      atomic.Int32
	// declinesUntil is the time, since the start, up to which requests are declined.
	declinesUntil time.Duration
	// silentAfter is the number of events after which the upstream is silent for silence, once; 0 means before the head.
	silentAfter int
	silence     time.Duration
	silenced    atomic.Bool
}

const scriptedEvents = 5

const declinedResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

func scriptedEvent(i int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i) }

func (u *scriptedUpstream) serve(conn net.Conn, start time.Time) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if time.Since(start) < u.declinesUntil {
		_, _ = io.WriteString(conn, declinedResponse)
		return
	}
	if u.declinesAfter > 0 && u.runs.Load() >= u.declinesAfter && time.Now().UnixNano()-u.busySince.Load() < int64(u.busyFor) {
		_, _ = io.WriteString(conn, declinedResponse)
		return
	}
	u.runs.Add(1)
	u.busySince.Store(time.Now().UnixNano())
	after := 0
	_, _ = fmt.Sscan(req.Header.Get("After"), &after)
	if u.silentAfter == 0 {
		u.fallSilent()
	}
	sure := 90
	if req.Header.Get("Model") == "small" {
		sure = 0
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSure: %d\r\n\r\n", sure)
	for i := after + 1; i <= scriptedEvents; i++ {
		event := scriptedEvent(i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		if i == u.silentAfter {
			u.fallSilent()
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// fallSilent sleeps for the silence the first time.
func (u *scriptedUpstream) fallSilent() {
	if !u.silenced.Swap(true) {
		time.Sleep(u.silence)
	}
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

// A sound upstream is silent for a second or two while the others are full: its answer was given up for a retry that nobody took.
func TestSilentUpstreamLosesNoAnswer(t *testing.T) {
	const silence = 1900 * time.Millisecond
	stream := catalogue.Route{Streaming: true, Resumable: true, MaxAttempts: 3, Target: 2000, GapTarget: 1000}
	lookup := catalogue.Route{Repeatable: true, MaxAttempts: 2, Target: 300}
	full := func() *scriptedUpstream { return &scriptedUpstream{declinesUntil: time.Hour} }
	busy := func() *scriptedUpstream { return &scriptedUpstream{declinesUntil: 3 * time.Second} }
	for _, c := range []struct {
		name   string
		route  catalogue.Route
		first  *scriptedUpstream
		others func() *scriptedUpstream
	}{
		{"stream pauses, others are full", stream, &scriptedUpstream{silentAfter: 3, silence: silence}, full},
		{"stream pauses, others are busy for a while", stream, &scriptedUpstream{silentAfter: 3, silence: silence}, busy},
		{"stream begins late, others are full", stream, &scriptedUpstream{silence: silence}, full},
		{"stream begins late, others are busy for a while", stream, &scriptedUpstream{silence: silence}, busy},
		{"lookup is answered late, others are full", lookup, &scriptedUpstream{silence: silence}, full},
		{"stream pauses at all upstreams at once", stream, &scriptedUpstream{silentAfter: 3, silence: silence},
			func() *scriptedUpstream { return &scriptedUpstream{silentAfter: 4, silence: silence} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripts := map[string]*scriptedUpstream{"u1:1": c.first, "u2:1": c.others(), "u3:1": c.others(), "u4:1": c.others()}
				chain, call, w := silenceChain(c.route, scripts)
				err := chain.Handle(t.Context(), call)
				// The scripts end before the bubble does.
				time.Sleep(silence)
				want := ""
				for i := 1; i <= scriptedEvents; i++ {
					want += scriptedEvent(i)
				}
				if diff := cmp.Diff(want, w.body.String()); diff != "" || !w.end || err != nil {
					t.Errorf("answer ended %t with error %v (-want +got):\n%s", w.end, err, diff)
				}
			})
		})
	}
}

// silenceChain returns a chain of Dispatch and Relay to scripted upstreams, of which u1 is the least loaded.
func silenceChain(route catalogue.Route, scripts map[string]*scriptedUpstream) (request.Handler, *request.Call, *bodyWriter) {
	start, clk := time.Now(), clock.NewReal()
	s := &catalogue.Snapshot{
		Routes: &catalogue.RouteTable{Pools: map[string]*catalogue.Pool{"lm": {Name: "lm", ColdRate: 23}}},
		Pools:  map[string][]*catalogue.Upstream{},
		Moves:  map[string]*catalogue.ReleaseRollout{},
	}
	loads := &dispatch.LoadTracker{}
	for _, name := range []string{"u1", "u2", "u3", "u4"} {
		s.Pools["lm"] = append(s.Pools["lm"], &catalogue.Upstream{Name: name, Address: name + ":1", Zone: "a", Slots: 8, Service: "lm"})
		if name != "u1" {
			loads.StartRequest(name, 1e6)
		}
	}
	relay := &delivery.Relay{
		Clock: clk, Log: logr.Discard(), Wire: scriptedWire{}, Permit: func(*request.Call) error { return nil },
		Dial: func(_ context.Context, _, address string) (net.Conn, error) {
			client, server := net.Pipe()
			go scripts[address].serve(server, start)
			return client, nil
		},
	}
	relay.Open()
	budgets := &dispatch.RetryBudgets{Share: 5}
	for range 20 {
		budgets.Deposit("lm", clk.Now())
	}
	d := &dispatch.Dispatch{
		Clock: clk, Log: logr.Discard(), Zone: "a", Snapshot: func() *catalogue.Snapshot { return s }, Loads: loads,
		Outliers: &dispatch.OutlierDetector{}, Releases: &dispatch.Releases{SessionTimeout: 5000}, Budgets: budgets, Latency: &dispatch.LatencyTracker{},
	}
	route.Split = []catalogue.Split{{Service: "lm", Weight: 1}}
	w := &bodyWriter{}
	call := &request.Call{Request: &request.Request{ID: "r", Deadline: clk.Now() + 12_000}, Route: &route, Writer: w}
	return request.Chain(d, relay), call, w
}

// A stream was taken from a sound upstream that was silent for less time than the callers wait.
func TestSilentStreamStaysAtItsUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   catalogue.Route
		silence time.Duration
		runs    int
	}{
		{"shorter than half of the callers' patience", catalogue.Route{Target: 2000, GapTarget: 1000}, 3900 * time.Millisecond, 1},
		{"longer than half of it", catalogue.Route{Target: 2000, GapTarget: 1000}, 4100 * time.Millisecond, 2},
		{"patience of the shortest pauses", catalogue.Route{Target: 300, GapTarget: 100}, 1600 * time.Millisecond, 1},
		{"about to be abandoned", catalogue.Route{Target: 300, GapTarget: 100}, 1800 * time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.route.Streaming, c.route.Resumable, c.route.MaxAttempts = true, true, 3
				scripts := map[string]*scriptedUpstream{"u1:1": {silentAfter: 3, silence: c.silence}, "u2:1": {}, "u3:1": {}, "u4:1": {}}
				chain, call, w := silenceChain(c.route, scripts)
				err := chain.Handle(t.Context(), call)
				time.Sleep(c.silence)
				if err != nil || !w.end || call.Runs != c.runs {
					t.Errorf("ended %t with error %v after %d runs, want the whole answer after %d", w.end, err, call.Runs, c.runs)
				}
			})
		})
	}
}
