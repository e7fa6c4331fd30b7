package archive

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/standin"
)

// BenchmarkFold measures one change on a configuration with the given number of zones, and a replay of as many changes in one
// batch.
func BenchmarkFold(b *testing.B) {
	for _, objects := range []int{100, 300, 1000, 3000} {
		records := make([][]byte, objects)
		for i := range records {
			data, err := catalogue.EncodeChange(zoneChange(b, fmt.Sprint(i), fmt.Sprintf("zone-%d", i), true, 0))
			if err != nil {
				b.Fatal(err)
			}
			records[i] = data
		}
		replay := func() *catalogue.State {
			f := catalogue.NewState().Folder()
			for i, r := range records {
				f.FoldData(catalogue.Revision(i+1), r)
			}
			return f.State()
		}
		state := replay()
		next, err := catalogue.EncodeChange(&catalogue.Change{ID: "next", AsOf: state.Revision, Edits: []catalogue.Edit{
			{Kind: catalogue.KindZone, Name: "zone-7", AnyBase: true, Object: []byte(`{"Name":"zone-7","Out":false}`)},
		}})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("change/objects=%d", objects), func(b *testing.B) {
			for range b.N {
				f := state.Folder()
				f.FoldData(state.Revision+1, next)
				f.State()
			}
		})
		b.Run(fmt.Sprintf("replay/objects=%d", objects), func(b *testing.B) {
			for range b.N {
				replay()
			}
			data, err := catalogue.EncodeState(state)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "B/state")
		})
	}
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkLogRead measures one read of the log over HTTP, including the server, that returns the given number of 300-byte
// records.
func BenchmarkLogRead(b *testing.B) {
	for _, records := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			server := httptest.NewServer(standin.NewLog().Handler())
			defer server.Close()
			var n atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{c, &n}, err
			}
			log := &backoffice.Log{BaseURL: server.URL, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial}}}
			batch := make([][]byte, records)
			for i := range batch {
				batch[i] = make([]byte, 300)
			}
			if records > 0 {
				if _, err := log.Append(b.Context(), "s", batch); err != nil {
					b.Fatal(err)
				}
			}
			before := n.Load()
			b.ResetTimer()
			for range b.N {
				if _, err := log.Read(b.Context(), "s", 0, 1000, 0); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n.Load()-before)/float64(b.N), "B/read")
		})
	}
}
