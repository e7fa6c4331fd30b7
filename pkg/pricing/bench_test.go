package pricing

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// sevenVersionQuery returns a query over six rated versions and the new version of a rollout.
func sevenVersionQuery() *Query {
	q := newQuery()
	cfg := q.Snapshot.Config
	clear(cfg.Versions)
	w := cfg.Workspaces["desk"]
	w.Versions = nil
	for i := range 6 {
		id := catalogue.VersionID(fmt.Sprintf("model-%d@1", i))
		price := catalogue.Micros(100_000 * (i + 1))
		cfg.Versions[id] = &catalogue.Version{ID: id, InputCost: price, OutputCost: 4 * price, Quality: map[string]float64{task: 0.6 + 0.06*float64(i)}}
		w.Versions = append(w.Versions, id)
		q.setHealth(id, rated(500, 0.6+0.06*float64(i)))
	}
	q.addRollout("model-3", 0.5, false)
	q.Profile.Quality = 0.85
	return q
}

func BenchmarkPick(b *testing.B) {
	for _, cascade := range []bool{false, true} {
		b.Run(fmt.Sprint("cascade ", cascade), func(b *testing.B) {
			q := sevenVersionQuery()
			q.Profile.Cascade = cascade
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := Pick(q); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}

func BenchmarkPickPinned(b *testing.B) {
	q := sevenVersionQuery()
	q.Request.Session, q.Pinned = "s", "model-4@1"
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := Pick(q); refusal != nil {
			b.Fatal(refusal)
		}
	}
}

func BenchmarkVersionFilter(b *testing.B) {
	for _, n := range []int{10, 620} {
		b.Run(fmt.Sprint(n, " upstreams"), func(b *testing.B) {
			q := sevenVersionQuery()
			for i := range n {
				v := q.Snapshot.Config.Workspaces["desk"].Versions
				q.Snapshot.Upstreams = append(q.Snapshot.Upstreams, &catalogue.Upstream{Name: fmt.Sprint(i), Versions: v[i%len(v) : i%len(v)+1]})
			}
			cfg := settings.Default()
			f := &VersionFilter{
				Common:   settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewReal()},
				Snapshot: func() *catalogue.Snapshot { return q.Snapshot },
				Pins:     &fakePins{},
			}
			next := request.HandlerFunc(func(context.Context, *request.Call) error { return nil })
			c := &request.Call{Request: q.Request, Profile: q.Profile}
			b.ReportAllocs()
			for b.Loop() {
				if err := f.Filter(context.Background(), c, next); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
