package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

func testCommon(name, zone string) settings.Common {
	cfg := settings.Default()
	cfg.Name, cfg.Zone = name, zone
	return settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewReal()}
}

// countingLog records the number of records of each append.
type countingLog struct {
	*fake.Log
	mu    sync.Mutex
	sizes []int
}

func (l *countingLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	l.mu.Lock()
	l.sizes = append(l.sizes, len(records))
	l.mu.Unlock()
	return l.Log.Append(ctx, stream, records)
}

// outcome classifies the error of an append.
func outcome(err error) string {
	var full *QueueFullError
	var backOff *BackOffError
	var closed *ClosedError
	switch {
	case err == nil:
		return "appended"
	case errors.As(err, &full):
		return "full"
	case errors.As(err, &backOff):
		return "backing off"
	case errors.As(err, &closed):
		return "closed"
	case OutcomeUnknown(err):
		return "unknown"
	}
	return "not appended"
}

func TestP09BatcherUnderFaults(t *testing.T) {
	ctx := context.Background()
	scenarios := []struct {
		name  string
		run   func(b *Batcher, l *countingLog, stop context.CancelFunc) []string
		want  []string
		sizes []int
	}{
		{
			name: "records of many callers share one append",
			run: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Delay: 50})
				return concurrently(11, func(n int) string {
					time.Sleep(time.Duration(min(n, 1)) * time.Millisecond)
					return appendOutcome(ctx, b)
				})[:1]
			},
			want:  []string{"appended"},
			sizes: []int{1, 10},
		},
		{
			name: "append applied but its response lost",
			run: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{LoseAnswers: 1})
				return []string{appendOutcome(ctx, b), appendOutcome(ctx, b)}
			},
			want:  []string{"unknown", "backing off"},
			sizes: []int{1},
		},
		{
			name: "log down and recovered",
			run: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Down: true})
				got := []string{appendOutcome(ctx, b), appendOutcome(ctx, b)}
				l.SetFaults(fake.Faults{})
				time.Sleep(time.Second)
				return append(got, appendOutcome(ctx, b))
			},
			want:  []string{"not appended", "backing off", "appended"},
			sizes: []int{1, 1},
		},
		{
			name: "queue full",
			run: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Delay: 1000})
				b.MaxQueue = 2
				return concurrently(5, func(n int) string {
					time.Sleep(time.Duration(n) * time.Millisecond)
					return appendOutcome(ctx, b)
				})
			},
			want:  []string{"appended", "appended", "appended", "full", "full"},
			sizes: []int{1, 2},
		},
		{
			name: "append that hangs",
			run: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Delay: 100 * clock.Second})
				return []string{appendOutcome(ctx, b)}
			},
			want:  []string{"unknown"},
			sizes: []int{1},
		},
		{
			name: "callers cancel",
			run: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Delay: 1000})
				return concurrently(2, func(n int) string {
					time.Sleep(time.Duration(n) * time.Millisecond)
					ctx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
					defer cancel()
					return appendOutcome(ctx, b)
				})
			},
			want:  []string{"unknown", "not appended"},
			sizes: []int{1},
		},
		{
			name: "shut down",
			run: func(b *Batcher, _ *countingLog, stop context.CancelFunc) []string {
				stop()
				synctest.Wait()
				return []string{appendOutcome(ctx, b)}
			},
			want: []string{"closed"},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				common := testCommon("a", "z1")
				l := &countingLog{Log: &fake.Log{Clock: common.Clock}}
				b := &Batcher{Common: common, Log: l, Stream: "s"}
				ctx, stop := context.WithCancel(ctx)
				var wg sync.WaitGroup
				wg.Go(func() { _ = b.Run(ctx) })
				got := sc.run(b, l, stop)
				stop()
				wg.Wait()
				if diff := cmp.Diff(sc.want, got); diff != "" {
					t.Errorf("outcomes (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(sc.sizes, l.sizes); diff != "" {
					t.Errorf("records per append (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// appendOutcome appends one record and classifies the result.
func appendOutcome(ctx context.Context, b *Batcher) string {
	_, err := b.Append(ctx, []byte("x"))
	return outcome(err)
}

// concurrently runs f(0) to f(n-1) at the same time and returns their results in order.
func concurrently(n int, f func(n int) string) []string {
	var wg sync.WaitGroup
	got := make([]string, n)
	for i := range n {
		wg.Go(func() { got[i] = f(i) })
	}
	wg.Wait()
	return got
}

func TestP09BatcherStaysWithinItsShareOfTheRate(t *testing.T) {
	for _, instances := range []int{1, 9, 330} {
		synctest.Test(t, func(t *testing.T) {
			common := testCommon("a", "z1")
			l := &countingLog{Log: &fake.Log{Clock: common.Clock}}
			b := &Batcher{Common: common, Log: l, Stream: "s", AppendsPerSecond: 150, Instances: func() int { return instances }}
			ctx, stop := context.WithTimeout(context.Background(), 60*time.Second)
			defer stop()
			var wg sync.WaitGroup
			wg.Go(func() { _ = b.Run(ctx) })
			for range 20 {
				wg.Go(func() {
					for ctx.Err() == nil {
						_, _ = b.Append(ctx, []byte("x"))
						time.Sleep(time.Millisecond)
					}
				})
			}
			wg.Wait()
			if limit := 60*150/instances + appendBurst + 1; len(l.sizes) > limit || len(l.sizes) < limit*8/10-3 {
				t.Errorf("%d instances: one of them sent %d appends in a minute, want at most %d and at least nearly 80%% of that", instances, len(l.sizes), limit)
			}
		})
	}
}

func TestP09TailUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		common := testCommon("a", "z1")
		l := &fake.Log{Clock: common.Clock}
		appendRecords := func(n int) {
			for i := range n {
				_, _ = l.Append(context.Background(), "s", [][]byte{fmt.Append(nil, i)})
			}
		}
		var got []string
		record := func(_ clock.Millis, b backoffice.Batch) {
			line := fmt.Sprintf("%d entries, oldest %d, end %d", len(b.Entries), b.Oldest, b.End)
			if len(got) == 0 || got[len(got)-1] != line {
				got = append(got, line)
			}
		}
		appendRecords(5)
		l.Trim("s", 2)
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		tail := &Tail{Common: common, Log: l, Stream: "s"}
		wg.Go(func() { _ = tail.Run(ctx, record) })
		time.Sleep(2500 * time.Millisecond)
		l.SetFaults(fake.Faults{Down: true})
		time.Sleep(20 * time.Second)
		l.SetFaults(fake.Faults{})
		appendRecords(1)
		time.Sleep(10 * time.Second)
		l.Truncate("s", 3)
		time.Sleep(10 * time.Second)
		stop()
		wg.Wait()
		want := []string{
			"0 entries, oldest 2, end 5",
			"3 entries, oldest 2, end 5",
			"0 entries, oldest 2, end 5",
			"1 entries, oldest 2, end 6",
			"0 entries, oldest 2, end 6",
			"0 entries, oldest 2, end 3",
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("batches (-want +got):\n%s", diff)
		}
	})
}
