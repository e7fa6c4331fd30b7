package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// A request that ran at one upstream was refused as not run when the next ones declined it.
func TestRefusalCountsAllAttempts(t *testing.T) {
	cut := func(conn net.Conn) { conn.Close() }
	declineOnce := func(conn net.Conn) {
		decline(conn)
		conn.Close()
	}
	for _, c := range []struct {
		name        string
		first, then func(net.Conn)
		want        request.Outcome
	}{
		{"declined each time", declineOnce, declineOnce, request.NotRun},
		{"cut after it was sent, then declined", cut, declineOnce, request.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			var conns atomic.Int32
			in := newChainInstance(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				if conns.Add(1) == 1 {
					c.first(conn)
					return
				}
				c.then(conn)
			})
			call := &request.Call{
				Request: &request.Request{ID: "r", Host: "h", Path: "/look/", Header: http.Header{}, ArrivedAt: in.Clock.Now(), Deadline: in.Clock.Now() + 20*clock.Second},
				Writer:  &bodyWriter{},
			}
			err := in.filterChain().Handle(t.Context(), call)
			var r *request.Refusal
			if !errors.As(err, &r) || r.Outcome != c.want || conns.Load() < 2 {
				t.Errorf("got %v after %d attempts, want outcome %s after several", err, conns.Load(), c.want)
			}
		})
	}
}

// newChainInstance returns an instance with the configuration of one route and four upstreams, whose connections serve handles.
func newChainInstance(t *testing.T, serve func(net.Conn)) *Instance {
	t.Helper()
	e := settings.DefaultEntry()
	e.Bounds.RetrySlack = 200
	in := &Instance{
		Settings: &e, Clock: clock.NewReal(), Log: logr.Discard(), Wire: scriptedWire{},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go serve(server)
			return client, nil
		},
	}
	if err := in.build(); err != nil {
		t.Fatal(err)
	}
	in.control.Run()
	t.Cleanup(in.control.Stop)
	route := &catalogue.Route{
		Name: "look", Host: "h", Prefix: "/look/", Repeatable: true, Anonymous: true, MaxAttempts: 2, Target: 20 * clock.Second, TimeLimit: 20 * clock.Second,
		Split: []catalogue.Split{{Service: "desk", Weight: 1}},
	}
	ops := operations(true, catalogue.Operation{Kind: catalogue.OperationTable, Table: &catalogue.RouteTable{
		Version: 1, Routes: map[string][]*catalogue.Route{"h": {route}}, Pools: map[string]*catalogue.Pool{"desk": {Name: "desk"}},
	}})
	ops.AsOf = in.Clock.Now()
	in.control.Send(ops)
	in.control.Send(wholeList(in.Clock.Now(), "u1", "u2", "u3", "u4"))
	<-in.control.Loaded()
	return in
}

// wholeList returns a whole read of a list of upstreams of the service desk.
func wholeList(asOf clock.Millis, names ...string) archive.Batch[catalogue.Listing] {
	b := archive.Batch[catalogue.Listing]{Whole: true, AsOf: asOf}
	for _, name := range names {
		b.Items = append(b.Items, catalogue.Listing{Name: name, Upstream: &catalogue.Upstream{Name: name, Service: "desk", Address: name + ":1", Slots: 8}})
	}
	return b
}
