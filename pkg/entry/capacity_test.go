package entry

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// size is a number of entry instances and of upstreams.
type size struct{ members, upstreams int }

var sizes = []size{{9, 16}, {60, 110}, {165, 310}, {330, 620}}

func (s size) name() string { return fmt.Sprintf("%d-instances-%d-upstreams", s.members, s.upstreams) }

// list returns an instance list of that size.
func (s size) list(asOf clock.Millis) backoffice.Listing {
	l := backoffice.Listing{AsOf: asOf}
	for i := range s.members {
		name := fmt.Sprintf("entry-%03d", i)
		l.Instances = append(l.Instances, backoffice.Instance{
			Name: name, Role: catalogue.RoleEntry, Address: "10.0.0.1:8080", PeerAddress: "10.0.0.1:8082",
			Zone: fmt.Sprintf("zone-%d", i%6), Incarnation: 1_796_000_000_000,
		})
	}
	for i := range s.upstreams {
		l.Instances = append(l.Instances, backoffice.Instance{
			Name: fmt.Sprintf("engine-%03d", i), Role: catalogue.RoleEngine, Address: "10.0.1.1:9000",
			Zone: fmt.Sprintf("zone-%d", i%6), Incarnation: 1, Versions: []catalogue.VersionID{"estate@3", "leaf@1"},
		})
	}
	return l
}

// newBenchControl returns a Control that has handled an instance list of that size; its actor does not run.
func newBenchControl(s size) (*Control, *clock.Manual) {
	cfg := settings.Default()
	cfg.Name, cfg.Zone = "entry-000", "zone-0"
	now := clock.NewManual(1_796_000_000_000)
	common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: now}
	c := newControl(common, newSelf(common))
	c.loads = map[string]catalogue.Load{}
	c.publish()
	c.handleList(&listRead{SentAt: now.Now(), Listing: s.list(now.Wall())})
	for _, u := range c.upstreams {
		c.handleLoad(&loadRead{Name: u.Name, Incarnation: 1, Report: backoffice.LoadReport{Bearable: 32}, At: now.Now()})
	}
	return c, now
}

func BenchmarkPublish(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name(), func(b *testing.B) {
			c, _ := newBenchControl(s)
			b.ReportAllocs()
			for b.Loop() {
				c.publish()
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name(), func(b *testing.B) {
			c, now := newBenchControl(s)
			for i := range 21 {
				c.Ratings.RecordSample(request.Sample{
					Version: catalogue.VersionID(fmt.Sprintf("m@%d", i%7)), Task: fmt.Sprint("task", i%3),
					Result: request.ResultComplete, FirstToken: 100, Total: 1000, Tokens: 50,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				now.Advance(tickPeriod)
				c.handleTick()
			}
		})
	}
}

func BenchmarkHandleChangedList(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name(), func(b *testing.B) {
			c, now := newBenchControl(s)
			lists := []backoffice.Listing{s.list(0), s.list(0)}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now.Advance(1000)
				l := lists[i%2]
				l.AsOf = now.Wall()
				c.handleList(&listRead{SentAt: now.Now(), Listing: l})
				i++
			}
		})
	}
}

func BenchmarkHandleUnchangedList(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name(), func(b *testing.B) {
			c, now := newBenchControl(s)
			l := s.list(0)
			b.ReportAllocs()
			for b.Loop() {
				now.Advance(1000)
				l.AsOf = now.Wall()
				c.handleList(&listRead{SentAt: now.Now(), Listing: l})
			}
		})
	}
}

func BenchmarkRecordSample(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name(), func(b *testing.B) {
			c, now := newBenchControl(s)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				sample := request.Sample{
					At: now.Now(), RequestID: fmt.Sprint("r", i), Upstream: fmt.Sprintf("engine-%03d", i%s.upstreams),
					Version: "leaf@1", Task: "chat", Result: request.ResultComplete, FirstToken: 100, Total: 1000, Tokens: 50,
				}
				c.ColdStarts.RecordSample(sample)
				c.Ratings.RecordSample(sample)
				i++
			}
		})
	}
}
