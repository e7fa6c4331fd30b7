package delivery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	testID      = "r-1"
	testVersion = catalogue.VersionID("chai@2")
)

// recorder is a request.Writer that records what a caller would receive.
type recorder struct {
	mu         sync.Mutex
	status     int
	text       strings.Builder
	nextOffset int
	end        *request.End
	// fail is returned by each write after more than failAfter bytes were recorded; nil means that writes never fail.
	fail      error
	failAfter int
	// beforeWrite is called with the length of each write before it is recorded.
	beforeWrite func(n int)
}

func (r *recorder) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	r.status = h.Status
	return nil
}

func (r *recorder) WriteChunk(_ context.Context, c *request.Call, k request.Chunk) error {
	if k.Offset != r.nextOffset {
		return fmt.Errorf("chunk at offset %d, want %d", k.Offset, r.nextOffset)
	}
	r.nextOffset += k.Tokens
	c.BodyStarted = true
	return r.record(k.Text)
}

func (r *recorder) WriteBytes(_ context.Context, c *request.Call, b []byte) error {
	c.BodyStarted = true
	return r.record(string(b))
}

func (r *recorder) record(s string) error {
	if r.beforeWrite != nil {
		r.beforeWrite(len(s))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.WriteString(s)
	if r.fail != nil && r.text.Len() > r.failAfter {
		return r.fail
	}
	return nil
}

func (r *recorder) WriteEnd(_ context.Context, _ *request.Call, e request.End) error {
	r.end = &e
	return nil
}

// inBubble runs a subtest in a synctest bubble, that is, with a fake clock.
func inBubble(t *testing.T, name string, run func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, run) })
}

// allowAllGate is a Gate that permits every call.
type allowAllGate struct{}

func (allowAllGate) Permit(*request.Call) error { return nil }

// cancelRecorder is a Canceller that records the IDs of paused and cancelled requests.
type cancelRecorder struct {
	mu        sync.Mutex
	paused    []string
	cancelled []string
}

func (c *cancelRecorder) Cancel(_ context.Context, _, id string, keep bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if keep {
		c.paused = append(c.paused, id)
	} else {
		c.cancelled = append(c.cancelled, id)
	}
	return nil
}

// script handles one request to a scripted upstream; n counts the requests from 0.
type script func(n int, req *http.Request, conn net.Conn)

// upstream is a scripted upstream whose connections are in-memory pipes.
type upstream struct {
	play script
	// reset makes the end of each connection a reset instead of an orderly end.
	reset bool

	mu       sync.Mutex
	received []*http.Request
	dials    int
}

// dial returns the client end of a new pipe to the upstream.
func (u *upstream) dial(context.Context, string, string) (net.Conn, error) {
	u.mu.Lock()
	u.dials++
	u.mu.Unlock()
	clientConn, serverConn := net.Pipe()
	go u.serve(serverConn)
	if u.reset {
		return resetConn{clientConn}, nil
	}
	return clientConn, nil
}

// resetConn is a connection whose end is a reset.
type resetConn struct{ net.Conn }

func (c resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		u.mu.Lock()
		n := len(u.received)
		u.received = append(u.received, req)
		u.mu.Unlock()
		u.play(n, req, conn)
		if req.Close {
			return
		}
	}
}

func (u *upstream) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.received)
}

// newTestSender returns a Sender whose budget is large enough for small responses.
func newTestSender(dial dialFunc) *Sender {
	s := settings.Default()
	return &Sender{
		Common: settings.Common{Log: logr.Discard(), Settings: &s, Clock: clock.NewReal()},
		Gate:   allowAllGate{},
		Budget: &Budget{Total: 1 << 20, PerRequest: 128 << 10},
		Cancel: &cancelRecorder{},
		Dial:   dial,
		Suffix: func() string { return "" },
	}
}

func chatCall(s *Sender, w request.Writer) *request.Call {
	return &request.Call{
		Request: &request.Request{
			ID: testID, Workspace: "guests", Repeatable: true, Stream: true,
			Deadline: s.Clock.Now() + 60*clock.Second,
			Messages: []request.Message{{Role: "user", Content: "a table for six"}},
		},
		Profile:  &catalogue.Profile{Name: "chat", Task: "chat"},
		Version:  &catalogue.Version{ID: testVersion, InputCost: 1_000_000, OutputCost: 2_000_000},
		Upstream: &catalogue.Upstream{Name: "engine-1", Role: catalogue.RoleEngine, Address: "10.0.0.1:9000", Rule: catalogue.UpstreamRule{RefusalIsNotRun: true}},
		Writer:   w,
	}
}

func serviceCall(s *Sender, w request.Writer, method string, repeatable bool) *request.Call {
	return &request.Call{
		Request: &request.Request{
			ID: testID, Workspace: "guests", Repeatable: repeatable, Key: "k-1",
			Deadline: s.Clock.Now() + 60*clock.Second,
			Service:  "booking", Method: method, Path: "/tables", Header: http.Header{}, Body: []byte("six at noon"),
		},
		Service:  &catalogue.Service{Name: "booking"},
		Upstream: &catalogue.Upstream{Name: "desk-1", Role: catalogue.RoleService, Address: "10.0.0.2:9000", Rule: catalogue.UpstreamRule{RefusalIsNotRun: true}},
		Writer:   w,
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: r-1\r\nConnection: close\r\n\r\n"

// tokenEvent returns an event with one token.
func tokenEvent(offset int, text string) string {
	return fmt.Sprintf("data: {\"id\":\"r-1\",\"model\":\"chai@2\",\"offset\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", offset, text)
}

// endEvent returns the last event before the end marker.
func endEvent(offset int) string {
	return fmt.Sprintf("data: {\"id\":\"r-1\",\"model\":\"chai@2\",\"offset\":%d,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":%d}}\n\n", offset, offset)
}

const doneEvent = "data: [DONE]\n\n"

// writeAndClose returns a script that writes text and closes the connection.
func writeAndClose(text string) script {
	return func(_ int, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		conn.Close()
	}
}

// refusalOf returns err as a refusal; it returns nil if err is nil and fails the test for any other error.
func refusalOf(t *testing.T, err error) *request.Refusal {
	t.Helper()
	if err == nil {
		return nil
	}
	r, ok := err.(*request.Refusal)
	if !ok {
		t.Fatalf("error is %T %v, want a *request.Refusal", err, err)
	}
	return r
}
