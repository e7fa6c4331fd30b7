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
	// maxLoadReads and minLoadReads bound the load reports that one instance reads a second; loadReadsOfAll are shared between.
	maxLoadReads   = 12
	minLoadReads   = 4
	loadReadsOfAll = 120
)

// LoadReader reads the load reports of the upstreams that this instance sends to.
type LoadReader struct {
	Common   settings.Common
	Snapshot func() *catalogue.Snapshot
	Loads    Loads
	// Report is told each report.
	Report func(*loadRead)

	// last is the name of the upstream that was read last.
	last string
}

// Round reads the reports at a bounded rate until ctx ends; the next round goes on where this one stopped.
func (l *LoadReader) Round(ctx context.Context) error {
	s := l.Snapshot()
	rate := max(minLoadReads, min(maxLoadReads, loadReadsOfAll/max(1, len(s.Members))))
	due := l.due(s)
	var g errgroup.Group
	for _, u := range due {
		l.last = u.Name
		// A read that was begun has a time limit of its own.
		g.Go(func() error { return l.read(context.WithoutCancel(ctx), u) })
		if len(due) > rate && clock.Sleep(ctx, l.Common.Clock, clock.Second/clock.Millis(rate)) != nil {
			break
		}
	}
	if err := g.Wait(); err != nil {
		l.Common.Log.WithName("load").V(1).Info("an upstream did not report", "why", err.Error())
	}
	return nil
}

// due returns the upstreams to read, beginning after the one that was read last.
func (l *LoadReader) due(s *catalogue.Snapshot) []*catalogue.Upstream {
	due := make([]*catalogue.Upstream, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		// Other instances send to a warm one without a share, and their verdicts tell of a cold start.
		if u.Cold || u.Share > 0 {
			due = append(due, u)
		}
	}
	first := sort.Search(len(due), func(i int) bool { return due[i].Name > l.last })
	return append(due[first:len(due):len(due)], due[:first]...)
}

func (l *LoadReader) read(ctx context.Context, u *catalogue.Upstream) error {
	ctx, cancel := clock.WithTimeout(ctx, l.Common.Clock, callTime)
	defer cancel()
	r, err := l.Loads.Load(ctx, u.Address)
	if err != nil {
		return err
	}
	l.Report(&loadRead{Name: u.Name, Incarnation: u.Incarnation, Report: r, At: l.Common.Clock.Now()})
	return nil
}
