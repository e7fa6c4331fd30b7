package entry

import (
	"context"
	"sort"

	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// maxLoadReadsPerSecond and minLoadReadsPerSecond bound the load reports that one instance reads per second. Between these
	// bounds, the instances share totalLoadReadsPerSecond equally.
	maxLoadReadsPerSecond   = 12
	minLoadReadsPerSecond   = 4
	totalLoadReadsPerSecond = 120
)

// LoadReader polls the load reports of the upstreams that this instance may send to, at a bounded rate.
type LoadReader struct {
	Common   settings.Common
	Snapshot func() *catalogue.Snapshot
	Loads    Loads
	// Report receives each report.
	Report func(*loadRead)

	// lastRead is the name of the upstream that was read last.
	lastRead string
}

// Round reads the reports at a bounded rate until ctx ends; the next round continues where this one stopped.
func (l *LoadReader) Round(ctx context.Context) error {
	s := l.Snapshot()
	rate := max(minLoadReadsPerSecond, min(maxLoadReadsPerSecond, totalLoadReadsPerSecond/max(1, len(s.Members))))
	due := l.upstreamsToRead(s)
	var g errgroup.Group
	for _, u := range due {
		l.lastRead = u.Name
		// A read that has started has its own timeout and may outlast ctx.
		g.Go(func() error { return l.read(context.WithoutCancel(ctx), u) })
		if len(due) > rate && clock.Sleep(ctx, l.Common.Clock, clock.Second/clock.Millis(rate)) != nil {
			break
		}
	}
	if err := g.Wait(); err != nil {
		l.Common.Log.WithName("load").V(1).Info("failed to read an upstream's load report", "error", err.Error())
	}
	return nil
}

// upstreamsToRead returns the upstreams to read, starting after the one that was read last.
func (l *LoadReader) upstreamsToRead(s *catalogue.Snapshot) []*catalogue.Upstream {
	due := make([]*catalogue.Upstream, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		// A warm upstream of which this instance has no share needs no report: the instances that do send to it publish a verdict
		// when it turns cold.
		if u.Cold || u.Share > 0 {
			due = append(due, u)
		}
	}
	first := sort.Search(len(due), func(i int) bool { return due[i].Name > l.lastRead })
	return append(due[first:len(due):len(due)], due[:first]...)
}

func (l *LoadReader) read(ctx context.Context, u *catalogue.Upstream) error {
	ctx, cancel := clock.WithTimeout(ctx, l.Common.Clock, callTimeout)
	defer cancel()
	r, err := l.Loads.Load(ctx, u.Address)
	if err != nil {
		return err
	}
	l.Report(&loadRead{Name: u.Name, Incarnation: u.Incarnation, Report: r, At: l.Common.Clock.Now()})
	return nil
}
