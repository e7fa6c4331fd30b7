package dispatch

import (
	"context"
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// fleetSnapshot returns a snapshot with n upstreams, every tenth of which serves a different version.
func fleetSnapshot(n int) *catalogue.Snapshot {
	s := snapshot(8)
	s.Upstreams = nil
	for i := range n {
		u := &catalogue.Upstream{
			Name: fmt.Sprintf("engine-%03d", i), Zone: string(rune('a' + i%6)), Versions: []catalogue.VersionID{version}, Share: 8,
			Load: catalogue.Load{At: 1, InFlight: i % 20, Bearable: 100},
		}
		if i%10 == 9 {
			u.Versions = []catalogue.VersionID{"other@1"}
		}
		s.Upstreams = append(s.Upstreams, u)
	}
	return s
}

var sizes = []int{10, 620}

func BenchmarkPick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " upstreams"), func(b *testing.B) {
			x := NewIndex(fleetSnapshot(n))
			var inFlight InFlightLimiter
			q := &Query{Now: 500, Zone: "a", Members: 9, Prefix: 12345, RequestID: "request-1"}
			b.ReportAllocs()
			for b.Loop() {
				q.Attempt++
				if Pick(q, x.ByVersion(version), &inFlight, nil) == nil {
					b.Fatal("Pick() = nil, want an upstream")
				}
			}
		})
	}
}

func BenchmarkPickWhenAllSharesAreTaken(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " upstreams"), func(b *testing.B) {
			s := fleetSnapshot(n)
			for _, u := range s.Upstreams {
				u.Share = 0
			}
			x := NewIndex(s)
			var inFlight InFlightLimiter
			q := &Query{Now: 500, Zone: "a", Members: 9, RequestID: "request-1"}
			b.ReportAllocs()
			for b.Loop() {
				Pick(q, x.ByVersion(version), &inFlight, nil)
			}
		})
	}
}

func BenchmarkIndex(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " upstreams"), func(b *testing.B) {
			s := fleetSnapshot(n)
			b.ReportAllocs()
			for b.Loop() {
				NewIndex(s)
			}
		})
	}
}

func BenchmarkAdmitAndBalance(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " upstreams"), func(b *testing.B) {
			s := fleetSnapshot(n)
			balancer := newBalancer(func() *catalogue.Snapshot { return s }, clock.NewReal())
			admit := &Admit{Common: balancer.Common, Snapshot: balancer.Snapshot, Admission: &Admission{Limit: 1000}}
			chain := request.Chain(admit, balancer, noopFilter{})
			c := newCall("request-1")
			b.ReportAllocs()
			for b.Loop() {
				if err := chain.Handle(context.Background(), c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// noopFilter is the last filter of the chain; it does nothing.
type noopFilter struct{}

func (noopFilter) Filter(context.Context, *request.Call, request.Handler) error { return nil }
