package custody

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
)

// client is the network side of a connection.
type client struct {
	net.Conn
	ip   string
	sent strings.Reader
}

func (c *client) RemoteAddr() net.Addr            { return &net.TCPAddr{IP: net.ParseIP(c.ip)} }
func (c *client) Close() error                    { return nil }
func (c *client) SetReadDeadline(time.Time) error { return nil }
func (c *client) Read(p []byte) (int, error)      { return c.sent.Read(p) }
func (c *client) Write(p []byte) (int, error)     { return len(p), nil }
func (c *client) open(a *Account) *Conn           { return a.admit(c, phaseIdle) }
func (c *client) send(conn *Conn, text string) error {
	c.sent.Reset(text)
	_, err := conn.Read(make([]byte, len(text)))
	return err
}

// scene is an account with connections, which are nil if they weren't admitted.
type scene struct {
	account *Account
	clock   *clock.Manual
	clients []*client
	conns   []*Conn
}

func newScene(bytes int64, conns int, ips ...string) *scene {
	m := clock.NewManual(1000)
	s := &scene{clock: m, account: &Account{
		Clock: m, Log: logr.Discard(), Bytes: bytes, Conns: conns, Limits: func() Limits { return Limits{Head: 3000, Idle: 15000, Body: 10000} },
	}}
	for _, ip := range ips {
		s.open(ip)
	}
	return s
}

func (s *scene) open(ip string) {
	c := &client{ip: ip}
	s.clients, s.conns = append(s.clients, c), append(s.conns, c.open(s.account))
}

// begin receives the head of a request on a connection.
func (s *scene) begin(i int) bool {
	if s.clients[i].send(s.conns[i], "GET / HTTP/1.1\r\n\r\n") != nil {
		return false
	}
	s.conns[i].setState(http.StateActive)
	return s.conns[i].BeginRequest(0, "", 30000)
}

// alive returns which connections are still open.
func (s *scene) alive() []bool {
	var alive []bool
	for _, c := range s.conns {
		_, found := s.account.conns[c]
		alive = append(alive, found)
	}
	return alive
}

const ample = 100 << 20

func TestAccount(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func() *scene
		want []bool
	}{
		{"a new connection is closed while none is slow", func() *scene {
			return newScene(ample, 2, "10.0.0.1", "10.0.0.2", "10.0.0.3")
		}, []bool{true, true, false}},
		{"the connection that is idle for the longest time makes room", func() *scene {
			s := newScene(ample, 2, "10.0.0.1")
			s.clock.Advance(500)
			s.open("10.0.0.2")
			s.clock.Advance(1500)
			s.open("10.0.0.3")
			return s
		}, []bool{false, true, true}},
		{"a body that stops makes room before an idle connection", func() *scene {
			s := newScene(ample, 2, "10.0.0.1")
			s.clock.Advance(5000)
			s.open("10.0.0.2")
			s.begin(1)
			s.clock.Advance(1500)
			s.open("10.0.0.3")
			return s
		}, []bool{true, false, true}},
		{"a request that is served makes no room", func() *scene {
			s := newScene(ample, 1, "10.0.0.1")
			s.begin(0)
			s.conns[0].EndBody()
			s.clock.Advance(60000)
			s.open("10.0.0.2")
			return s
		}, []bool{true, false}},
		{"a response that nobody reads makes room", func() *scene {
			s := newScene(ample, 1, "10.0.0.1")
			s.begin(0)
			s.conns[0].EndBody()
			s.conns[0].beginWrite()
			s.clock.Advance(2000)
			s.open("10.0.0.2")
			return s
		}, []bool{false, true}},
		{"one address can't take all connections", func() *scene {
			return newScene(ample, 8, "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.2")
		}, []bool{true, true, true, true, true, true, true, false, true}},
		{"a body that stops makes room for another body", func() *scene {
			s := newScene(1<<20, 10, "10.0.0.1", "10.0.0.2")
			s.begin(0)
			s.begin(1)
			s.conns[0].TakeBody(600 << 10)
			s.clock.Advance(2000)
			s.clients[1].send(s.conns[1], strings.Repeat("b", 64<<10))
			s.conns[1].TakeBody(400 << 10)
			return s
		}, []bool{false, true}},
		{"one key can't take all bytes", func() *scene {
			s := newScene(4<<20, 10, "10.0.0.1", "10.0.0.2", "10.0.0.3")
			for i := range s.conns {
				s.begin(i)
			}
			s.conns[0].BeginRequest(3000<<10, "k1", 0)
			if s.conns[1].BeginRequest(500<<10, "k1", 0) {
				_ = s.conns[1].Close()
			}
			if !s.conns[2].BeginRequest(500<<10, "k2", 0) {
				_ = s.conns[2].Close()
			}
			return s
		}, []bool{true, true, true}},
		{"a head of very many fields", func() *scene {
			s := newScene(1<<20, 10, "10.0.0.1", "10.0.0.2")
			s.clients[0].send(s.conns[0], strings.Repeat("a:\r\n", 3000))
			return s
		}, []bool{false, true}},
		{"time limits of heads, bodies, responses and idle connections", func() *scene {
			s := newScene(ample, 10, "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5")
			s.clock.Advance(20000)
			for i := range 4 {
				s.clients[i].send(s.conns[i], "GET")
			}
			s.begin(1)
			s.begin(2)
			s.conns[2].EndBody()
			s.conns[2].beginWrite()
			s.begin(3)
			s.conns[3].EndBody()
			s.clock.Advance(31000)
			s.account.sweep(s.clock.Now())
			return s
		}, []bool{false, false, false, true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.run().alive()); diff != "" {
				t.Errorf("open connections (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against callers whose connection ends without a word because others hold all the memory.
func TestSmallHeadIsReadWithoutRoom(t *testing.T) {
	for _, c := range []struct {
		name string
		head string
		read bool
	}{
		{"small", "POST / HTTP/1.1\r\n" + strings.Repeat("Name: value\r\n", 12), true},
		{"very many fields", strings.Repeat("a:\r\n", 100), false},
		{"small, with requests behind it", strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 100), true},
		{"small, with its body", "POST / HTTP/1.1\r\nHost: h\r\n\r\n" + strings.Repeat("line\n", 700), true},
		{"very many fields, with requests behind it", strings.Repeat("a:\r\n", 100) + "\r\nGET / HTTP/1.1\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(1<<20, 10, "10.0.0.1", "10.0.0.2")
			if !s.begin(0) || !s.conns[0].TakeBody(2<<20) {
				t.Fatal("the other connection can't take all bytes")
			}
			if read := s.clients[1].send(s.conns[1], c.head) == nil; read != c.read {
				t.Errorf("the head is read: %t, want %t", read, c.read)
			}
			if c.read && s.conns[1].BeginRequest(0, "", 0) {
				t.Error("the request is taken, want it refused")
			}
		})
	}
}

func TestBodies(t *testing.T) {
	s := newScene(1<<20, 10, "10.0.0.1", "10.0.0.2", "10.0.0.3")
	got := []bool{
		s.begin(0), s.conns[0].TakeBody(4 << 20), s.begin(1),
	}
	s.conns[0].GiveBody(4 << 20)
	got = append(got, s.begin(2), s.conns[2].TakeBody(700<<10), s.conns[0].TakeBody(100<<10), s.account.TryTake(100<<10))
	if diff := cmp.Diff([]bool{true, true, false, true, true, false, false}, got); diff != "" {
		t.Errorf("a body alone, a request beside it, and bodies after it was given back (-want +got):\n%s", diff)
	}
	for _, c := range s.conns {
		c.setState(http.StateIdle)
	}
	// The head of the second connection and its request are denied one after the other.
	want := Stats{Conns: 3, HeldBytes: 3 * ConnBytes, Denied: 4}
	if diff := cmp.Diff(want, s.account.Stats()); diff != "" {
		t.Errorf("counts after all responses (-want +got):\n%s", diff)
	}
	for _, c := range s.conns {
		_ = c.Close()
	}
	if diff := cmp.Diff(Stats{Denied: 4}, s.account.Stats()); diff != "" {
		t.Errorf("counts after all connections (-want +got):\n%s", diff)
	}
}
