package reservation

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// claimRecords returns the encoded claim and outcome records of one booking.
func claimRecords(b *testing.B, n int) (claim, done []byte) {
	b.Helper()
	key := digest("chai", "bookings", fmt.Sprint(n))
	id := uuid.NewString()
	claim, err := encode(&Record{Claim: &Claim{ID: id, Key: key, KeyAt: clock.Millis(n), Body: digest("body", fmt.Sprint(n)),
		Instance: "entry-17", Incarnation: 1796243523000, Request: uuid.NewString()}})
	if err != nil {
		b.Fatal(err)
	}
	done, err = encode(&Record{Done: &Done{ID: id, Key: key, Outcome: request.Ran,
		Answer: &Answer{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 120)}}})
	if err != nil {
		b.Fatal(err)
	}
	return claim, done
}

func BenchmarkApply(b *testing.B) {
	for _, keys := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			table := Table{Skew: 1 << 40, MaxAge: 1 << 40, MaxKeys: keys, MaxAnswerBytes: 1 << 40}
			offset, size := int64(0), 0
			apply := func(data []byte) {
				table.Apply(backoffice.Entry{Offset: offset, At: clock.Millis(offset), Data: data}, 1)
				offset++
			}
			before := heapBytes()
			for n := range keys {
				claim, done := claimRecords(b, n)
				size += len(claim) + len(done)
				apply(claim)
				apply(done)
			}
			kept := heapBytes() - before
			const batch = 1000
			var claims, dones [batch][]byte
			n, round := keys, 0
			b.ResetTimer()
			for b.Loop() {
				if round == 0 {
					b.StopTimer()
					for i := range batch {
						claims[i], dones[i] = claimRecords(b, n)
						n++
					}
					b.StartTimer()
				}
				apply(claims[round])
				apply(dones[round])
				round = (round + 1) % batch
			}
			b.ReportMetric(float64(size)/float64(keys), "log-B/key")
			b.ReportMetric(float64(kept)/float64(keys), "heap-B/key")
			runtime.KeepAlive(&table)
		})
	}
}

// BenchmarkBooking sends bookings through the filter with an in-memory log and a fake upstream.
func BenchmarkBooking(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := newSim(firstSeed)
			cfg := settings.Default()
			common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: s.clk}
			batcher := &ledger.Batcher{Common: common, Log: s.log, Stream: StreamName, AppendsPerSecond: 1e9}
			coordinator := &Coordinator{Common: common, Log: batcher, Tail: &ledger.Tail{Common: common, Log: s.log, Stream: StreamName}}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = batcher.Run(ctx) })
			wg.Go(func() { _ = coordinator.Run(ctx) })
			for !coordinator.Ready() {
				runtime.Gosched()
			}
			i := &instance{sim: s, coordinator: coordinator}
			next := request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
				_ = c.Writer.WriteHead(ctx, c, request.Head{Status: 201})
				_ = c.Writer.WriteBytes(ctx, c, []byte("table 4"))
				return c.Writer.WriteEnd(ctx, c, request.End{})
			})
			var n atomic.Int64
			before := cpuTime()
			b.ResetTimer()
			b.SetParallelism(callers)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := fmt.Sprint(n.Add(1))
					if got := i.submit(ctx, id, s.newKey(id), "for six", next); got.Outcome != request.Ran {
						b.Errorf("outcome is %+v, want Ran", got)
						return
					}
				}
			})
			b.ReportMetric(float64(cpuTime()-before)/float64(n.Load()), "cpu-ns/booking")
			cancel()
			wg.Wait()
		})
	}
}

// cpuTime returns the CPU time used by this process, both user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
