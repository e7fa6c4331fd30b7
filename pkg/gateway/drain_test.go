package gateway

import (
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
				e := settings.DefaultEntry()
				in := &Instance{Settings: &e, Clock: clock.NewReal(), Log: logr.Discard(), Records: noRecords{}, inFlight: &desk.InFlight{}}
				in.control = &Control{Clock: in.Clock, Log: logr.Discard()}
				in.control.Run()
				defer in.control.Stop()
				in.cancelRequests = func() {}
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
