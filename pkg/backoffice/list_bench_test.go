package backoffice_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/standin"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, bytes: &l.bytes}, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkListUnchanged measures the bytes sent and received for one read of an unchanged list.
func BenchmarkListUnchanged(b *testing.B) {
	for _, n := range []int{25, 173, 475, 950} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			list := standin.NewList()
			for i := range n {
				list.Put(backoffice.Instance{Name: fmt.Sprintf("entry-%03d", i), Role: "Entry", Address: "10.0.0.1:8080", Zone: "zone-a"})
			}
			srv := httptest.NewUnstartedServer(list.Handler())
			counting := &countingListener{Listener: srv.Listener}
			srv.Listener = counting
			srv.Start()
			defer srv.Close()
			client := &backoffice.List{BaseURL: srv.URL}
			if _, err := client.Instances(b.Context()); err != nil {
				b.Fatal(err)
			}
			before := counting.bytes.Load()
			for b.Loop() {
				if _, err := client.Instances(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(counting.bytes.Load()-before)/float64(b.N), "B/read")
		})
	}
}
