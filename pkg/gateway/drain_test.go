package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/custody"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/settings"
)

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect returns the callers' end of a new connection, or nil when the listener is closed.
func (l *pipeListener) connect() net.Conn {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client
	case <-l.closed:
		return nil
	}
}

// noRecords is a RecordWriter that writes nothing.
type noRecords struct{}

func (noRecords) Put(context.Context, archive.TopicName, string, []byte) error { return nil }

func (noRecords) PutIf(context.Context, archive.TopicName, string, []byte, int64) (int64, error) {
	return 0, nil
}

// newDrainInstance returns an instance that only drains; its control has to be stopped.
func newDrainInstance() *Instance {
	e := settings.DefaultEntry()
	in := &Instance{Settings: &e, Clock: clock.NewReal(), Log: logr.Discard(), Records: noRecords{}, inFlight: &desk.InFlight{}}
	in.control = &Control{Clock: in.Clock, Log: logr.Discard()}
	in.control.Run()
	in.cancelRequests = func() {}
	return in
}

// The load balancer goes on sending callers for a while: an instance that closes at once refuses them.
func TestDrainServesUntilTheLoadBalancerHasNoticed(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{"at once", time.Millisecond, true},
		{"before the load balancer has noticed", 2900 * time.Millisecond, true},
		{"after it", 3100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newDrainInstance()
				defer in.control.Stop()
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })}
				go func() { _ = s.Serve(l) }()
				done := make(chan error)
				go func() { done <- in.drain(s) }()
				time.Sleep(c.after)
				if in.ready() == nil {
					t.Error("the instance is ready while it drains")
				}
				conn := l.connect()
				if got := conn != nil; got != c.want {
					t.Errorf("accepted a connection: %t, want %t", got, c.want)
				}
				if conn != nil {
					conn.Close()
				}
				if err := <-done; err != nil {
					t.Errorf("drain() = %v", err)
				}
			})
		})
	}
}

// arrivingListener accepts connections that pause, once they have bytes, before they hand them over.
type arrivingListener struct {
	*pipeListener
	pause func()
}

type arrivingConn struct {
	net.Conn
	pause func()
}

func (l *arrivingListener) Accept() (net.Conn, error) {
	conn, err := l.pipeListener.Accept()
	if err != nil {
		return nil, err
	}
	return &arrivingConn{Conn: conn, pause: l.pause}, nil
}

func (c *arrivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pause()
	}
	return n, err
}

// Guards against a request that ends without an answer because it arrives on a kept connection as the instance closes those.
func TestRequestThatArrivesAsConnectionsCloseIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newDrainInstance()
		defer in.control.Stop()
		in.accounts.callers = &custody.Account{Clock: in.Clock, Log: logr.Discard(), Conns: 10, Bytes: 10 << 20}
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		arrivals := 0
		crossing := &arrivingListener{pipeListener: l, pause: func() {
			if arrivals++; arrivals == 2 {
				time.Sleep(100 * time.Millisecond)
			}
		}}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })}
		in.callerListener = &onceListener{Listener: crossing}
		in.serve("caller", s, in.callerListener, in.accounts.callers)
		conn := l.connect()
		br := bufio.NewReader(conn)
		request := func() error {
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return err
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return err
			}
			_, err = io.ReadAll(resp.Body)
			return err
		}
		if err := request(); err != nil {
			t.Fatal(err)
		}
		done := make(chan error)
		go func() { done <- in.drain(s) }()
		time.Sleep(loadBalancerNoticeTime.Duration() - 10*time.Millisecond)
		if err := request(); err != nil {
			t.Errorf("the request that arrived as the connections closed got no answer: %v", err)
		}
		if err := <-done; err != nil {
			t.Errorf("drain() = %v", err)
		}
	})
}
