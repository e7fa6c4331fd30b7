package trace

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkStated replays each trace with several seeds and reports the measures that the trace bounds.
func BenchmarkStated(b *testing.B) {
	for _, name := range Names {
		for seed := uint64(1); seed <= 8; seed++ {
			b.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(b *testing.B) {
				for b.Loop() {
					reportMeasures(b, name, seed)
				}
			})
		}
	}
}

func reportMeasures(b *testing.B, name string, seed uint64) {
	tr, err := Make(name, seed)
	if err != nil {
		b.Fatal(err)
	}
	rep, err := Replay(context.Background(), tr, Options{})
	if err != nil {
		b.Fatal(err)
	}
	for _, s := range rep.Stated {
		b.ReportMetric(s.Got, s.Measure)
	}
}
