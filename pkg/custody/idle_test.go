package custody

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

// arrivingListener accepts connections on which onRead is called as soon as the server has got bytes, before it has looked at them.
type arrivingListener struct {
	net.Listener
	onRead func()
}

type arrivingConn struct {
	net.Conn
	onRead func()
}

func (l *arrivingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &arrivingConn{Conn: conn, onRead: l.onRead}, nil
}

func (c *arrivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// awaitIdle waits until the only connection is idle, so that what arrives next can't be read while the response before is written.
func awaitIdle(t *testing.T, a *Account) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		a.mu.Lock()
		resting := len(a.conns) == 1
		for c := range a.conns {
			resting = resting && c.phase == phaseIdle && !c.writing
		}
		a.mu.Unlock()
		if resting {
			return
		}
	}
	t.Fatal("the connection isn't idle after 5 s")
}

// Guards against a whole request that ends without an answer because its connection rested for too long when the request arrived.
func TestRequestThatCrossesTheEndOfARestIsServed(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(a *Account, now clock.Millis)
	}{
		{"the time limit", func(a *Account, now clock.Millis) { a.sweep(now) }},
		{"another connection needs the room", func(a *Account, now clock.Millis) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.evict(now, &Conn{}, leastUseful)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := clock.NewManual(1000)
			a := &Account{Clock: m, Log: logr.Discard(), Bytes: ample, Conns: 10, Limits: func() Limits { return Limits{Head: 3000, Idle: 2000, Body: 10_000} }}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			reads := 0
			crossing := &arrivingListener{Listener: l, onRead: func() {
				if reads++; reads == 2 {
					m.Advance(2500)
					c.end(a, m.Now())
				}
			}}
			s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			Attach(s)
			go func() { _ = s.Serve(&Listener{Listener: crossing, Account: a}) }()
			t.Cleanup(func() { _ = s.Close() })
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			br := bufio.NewReader(conn)
			for i := range 3 {
				awaitIdle(t, a)
				if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				resp, err := http.ReadResponse(br, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("request %d got no answer: %v", i, err)
				}
			}
			if got := a.Stats(); got.Conns != 1 {
				t.Errorf("%d connections are accounted for, want the one that was served", got.Conns)
			}
		})
	}
}

// Guards against a request that is lost in a drain because it arrived, whole or in part, before the response to the request before it had ended.
func TestRequestThatArrivesDuringAResponseIsServedInADrain(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name string
		// first is what the client sends at once, and second what it sends while the first request is served.
		first, second string
	}{
		{"read ahead", request, request},
		{"pipelined", request + request, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &Account{Clock: clock.NewManual(1000), Log: logr.Discard(), Bytes: ample, Conns: 10}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			arrived := make(chan struct{}, 10)
			crossing := &arrivingListener{Listener: l, onRead: func() { arrived <- struct{}{} }}
			served, serving := 0, make(chan struct{})
			s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				conn := FromContext(r.Context())
				if !conn.BeginRequest(0, "", 1000) {
					t.Error("no room was left for a request")
				}
				conn.EndBody()
				if served++; served == 2 {
					select {
					case <-r.Context().Done():
						t.Error("the request was canceled")
					case <-time.After(100 * time.Millisecond):
					}
					return
				}
				<-arrived
				close(serving)
				if c.second != "" {
					<-arrived
				}
			})}
			Attach(s)
			follow := s.ConnState
			s.ConnState = func(conn net.Conn, state http.ConnState) {
				follow(conn, state)
				if state == http.StateIdle {
					a.closeIdle()
				}
			}
			go func() { _ = s.Serve(&Listener{Listener: crossing, Account: a}) }()
			t.Cleanup(func() { _ = s.Close() })
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write([]byte(c.first)); err != nil {
				t.Fatal(err)
			}
			<-serving
			if _, err := conn.Write([]byte(c.second)); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReader(conn)
			for i := range 2 {
				resp, err := http.ReadResponse(br, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("request %d got no answer: %v", i, err)
				}
			}
			if _, err := br.ReadByte(); err == nil {
				t.Error("the connection goes on after the second response")
			}
		})
	}
}

// Guards against connections that end before callers know of a new limit.
func TestALowerIdleLimitHoldsFromTheNextRestOn(t *testing.T) {
	limits := Limits{Head: 3000, Idle: 15_000, Body: 10_000}
	s := newScene(ample, 10)
	s.account.Limits = func() Limits { return limits }
	s.open("10.0.0.1")
	sweepAfter := func(idle clock.Millis) bool {
		s.clock.Advance(idle)
		s.account.sweep(s.clock.Now())
		return s.alive()[0]
	}
	limits.Idle = 2000
	if !sweepAfter(12_000) {
		t.Fatal("the connection ended within the limit under which its idle time began")
	}
	s.begin(0)
	s.conns[0].EndBody()
	s.conns[0].setState(http.StateIdle)
	if !sweepAfter(2000) || sweepAfter(1) {
		t.Error("the connection doesn't end by the limit under which its second idle time began")
	}
}

// Guards against answers that are cut off because the limit falls while a slow caller reads.
func TestALowerIdleLimitCutsNoAnswer(t *testing.T) {
	limits := Limits{Head: 3000, Idle: 15_000, Body: 10_000}
	s := newScene(ample, 10)
	s.account.Limits = func() Limits { return limits }
	s.open("10.0.0.1")
	s.begin(0)
	s.conns[0].EndBody()
	s.conns[0].beginWrite()
	limits.Idle = 500
	s.clock.Advance(3000)
	s.account.sweep(s.clock.Now())
	if !s.alive()[0] {
		t.Error("the answer was cut off by a limit that is younger than its request")
	}
}
