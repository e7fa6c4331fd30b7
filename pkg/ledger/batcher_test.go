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

// countingLog counts the records of each append.
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

// verdict names what an append came to.
func verdict(err error) string {
	var full *FullError
	var down *DownError
	var closed *ClosedError
	switch {
	case err == nil:
		return "appended"
	case errors.As(err, &full):
		return "full"
	case errors.As(err, &down):
		return "down"
	case errors.As(err, &closed):
		return "closed"
	case Unknown(err):
		return "unknown"
	}
	return "not appended"
}

func TestP09BatcherUnderFaults(t *testing.T) {
	ctx := context.Background()
	scenarios := []struct {
		name  string
		play  func(b *Batcher, l *countingLog, stop context.CancelFunc) []string
		want  []string
		sizes []int
	}{
		{
			name: "records of many callers go in one append",
			play: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Delay: 50})
				return together(11, func(n int) string {
					time.Sleep(time.Duration(min(n, 1)) * time.Millisecond)
					return appendTo(ctx, b)
				})[:1]
			},
			want:  []string{"appended"},
			sizes: []int{1, 10},
		},
		{
			name: "answer lost",
			play: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{LoseAnswers: 1})
				return []string{appendTo(ctx, b), appendTo(ctx, b)}
			},
			want:  []string{"unknown", "down"},
			sizes: []int{1},
		},
		{
			name: "log down and up again",
			play: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Down: true})
				got := []string{appendTo(ctx, b), appendTo(ctx, b)}
				l.SetFaults(fake.Faults{})
				time.Sleep(time.Second)
				return append(got, appendTo(ctx, b))
			},
			want:  []string{"not appended", "down", "appended"},
			sizes: []int{1, 1},
		},
		{
			name: "queue full",
			play: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Delay: 1000})
				b.MaxQueue = 2
				return together(5, func(n int) string {
					time.Sleep(time.Duration(n) * time.Millisecond)
					return appendTo(ctx, b)
				})
			},
			want:  []string{"appended", "appended", "appended", "full", "full"},
			sizes: []int{1, 2},
		},
		{
			name: "append that hangs",
			play: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Delay: 100 * clock.Second})
				return []string{appendTo(ctx, b)}
			},
			want:  []string{"unknown"},
			sizes: []int{1},
		},
		{
			name: "callers give up",
			play: func(b *Batcher, l *countingLog, _ context.CancelFunc) []string {
				l.SetFaults(fake.Faults{Delay: 1000})
				return together(2, func(n int) string {
					time.Sleep(time.Duration(n) * time.Millisecond)
					ctx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
					defer cancel()
					return appendTo(ctx, b)
				})
			},
			want:  []string{"unknown", "not appended"},
			sizes: []int{1},
		},
		{
			name: "shut down",
			play: func(b *Batcher, _ *countingLog, stop context.CancelFunc) []string {
				stop()
				synctest.Wait()
				return []string{appendTo(ctx, b)}
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
				got := sc.play(b, l, stop)
				stop()
				wg.Wait()
				if diff := cmp.Diff(sc.want, got); diff != "" {
					t.Errorf("verdicts (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(sc.sizes, l.sizes); diff != "" {
					t.Errorf("records an append (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// appendTo appends one record and names what that came to.
func appendTo(ctx context.Context, b *Batcher) string {
	_, err := b.Append(ctx, []byte("x"))
	return verdict(err)
}

// together calls f n times at once and returns the results in order.
func together(n int, f func(n int) string) []string {
	var wg sync.WaitGroup
	got := make([]string, n)
	for i := range n {
		wg.Go(func() { got[i] = f(i) })
	}
	wg.Wait()
	return got
}

func TestP09BatcherKeepsItsShareOfTheRate(t *testing.T) {
	for _, instances := range []int{1, 9, 330} {
		synctest.Test(t, func(t *testing.T) {
			common := testCommon("a", "z1")
			l := &countingLog{Log: &fake.Log{Clock: common.Clock}}
			b := &Batcher{Common: common, Log: l, Stream: "s", Budget: 150, Instances: func() int { return instances }}
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
			if most := 60*150/instances + appendBurst + 1; len(l.sizes) > most || len(l.sizes) < most*8/10-3 {
				t.Errorf("%d instances: one sent %d appends in a minute, its share is %d", instances, len(l.sizes), most)
			}
		})
	}
}

func TestP09TailUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		common := testCommon("a", "z1")
		l := &fake.Log{Clock: common.Clock}
		add := func(n int) {
			for i := range n {
				_, _ = l.Append(context.Background(), "s", [][]byte{fmt.Append(nil, i)})
			}
		}
		var got []string
		note := func(_ clock.Millis, b backoffice.Batch) {
			line := fmt.Sprintf("%d entries, oldest %d, end %d", len(b.Entries), b.Oldest, b.End)
			if len(got) == 0 || got[len(got)-1] != line {
				got = append(got, line)
			}
		}
		add(5)
		l.Trim("s", 2)
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		tail := &Tail{Common: common, Log: l, Stream: "s"}
		wg.Go(func() { _ = tail.Run(ctx, note) })
		time.Sleep(2500 * time.Millisecond)
		l.SetFaults(fake.Faults{Down: true})
		time.Sleep(20 * time.Second)
		l.SetFaults(fake.Faults{})
		add(1)
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
